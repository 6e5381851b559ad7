#include "loadmodel.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

/** The former key: on time, late or overdue by the estimates alone, then the latest start. */
JobUrgency formerUrgencyOf(const Job &job, std::uint32_t occurrence, const QueueEntry &queue, WallTime now)
{
    const std::int64_t objective = objectiveOf(*job.spec, queue);
    const std::int64_t latestOnTime =
        job.acceptedAt.value() + objective - remainingCriticalPath(job, occurrence).count();
    const std::int64_t latest = latestOnTime + (lateFactor - 1) * objective;
    if (now.value() <= latestOnTime) {
        return { queue.priority, DeadlineState::OnTime, WorkKind::Job, 0, latestOnTime };
    }
    const DeadlineState state = now.value() <= latest ? DeadlineState::Late : DeadlineState::Overdue;
    return { queue.priority, state, WorkKind::Job, 0, latest };
}

std::string describe(const Count &count)
{
    return std::to_string(count.onTime) + "/" + std::to_string(count.late) + "/" + std::to_string(count.never);
}

std::string describe(const Outcome &outcome)
{
    return describe(outcome.all) + ", " + describe(outcome.largestTenth) + ", " + describe(outcome.fifthBelow);
}

struct Rows
{
    Outcome former;
    Outcome present;
    int bound = 0;
};

/** Plays both orders, and prints the row of the table. */
Rows play(const Load &load)
{
    LoadModel model(load);
    Rows rows { model.play(formerUrgencyOf), model.play(urgencyOf), model.bound() };
    BOOST_TEST_MESSAGE(load.name << ": " << rows.present.all.jobs
                                 << " jobs; on time/late/never of all, largest tenth, fifth below"
                                 << "\n  former key    " << describe(rows.former) << "\n  new key       "
                                 << describe(rows.present) << "\n  bound on time " << rows.bound);
    return rows;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadOrder)

/**
 * Guards, under load above capacity, against starting each job only when it has no slack left, so that most end late,
 * and against an order by work that starves large jobs.
 */
BOOST_AUTO_TEST_CASE(overloadLeavesMoreJobsOnTimeAndLargeOnesServed)
{
    const std::vector<Load> loads {
        { .name = "batch load x 2.2 for 5.4 s" },
        { .name = "a third of the capacity lost at the peak", .lostCapacity = 1.0 / 3 },
        { .name = "estimates wrong by 0.9", .error = 0.9 },
        // Wide jobs nearly all have a slow task, so that at a higher load fewer of them are served whatever the order.
        { .name = "estimates wrong by 0.9 and slow tasks, second deployment",
          .jobsPerSecond = 22.3,
          .estimateMs = 1400,
          .processors = 1800,
          .usualLoad = 0.8,
          .burstFactor = 2.6,
          .burstMs = 4000,
          .error = 0.9,
          .slowdown = 1,
          .slowOneIn = 33 },
        { .name = "a few huge jobs among many small ones", .hugeOneIn = 60 },
        { .name = "short jobs, load x 1.7 for 3 s",
          .isFiller = false,
          .stretch = 1.5,
          .targetMs = 250,
          .jobsPerSecond = 18.4,
          .steps = 1.6,
          .width = 10,
          .estimateMs = 640,
          .processors = 5100,
          .burstFactor = 1.7,
          .burstMs = 3000,
          .error = 0.5 },
    };
    for (const Load &load : loads) {
        const Rows rows = play(load);
        BOOST_TEST(rows.former.all.onTime < rows.bound, load.name << ": isn't an overload");
        BOOST_TEST(rows.present.all.onTime > rows.former.all.onTime, load.name);
        BOOST_TEST(rows.present.all.onTime <= rows.bound, load.name);
        BOOST_TEST(rows.present.largestTenth.served() * 2 >= rows.present.all.served(), load.name);
        BOOST_TEST(rows.present.fifthBelow.served() * 2 >= rows.present.all.served(), load.name);
        BOOST_TEST(rows.present.unfinished == 0, load.name);
    }
}

/**
 * Guards against a high cost in a burst that the slack of the jobs absorbs, where the order by latest start is the best
 * one: at most a tenth of the jobs on time may be lost, and none may be without value.
 */
BOOST_AUTO_TEST_CASE(burstThatSlackAbsorbsCostsFewJobs)
{
    const Rows rows = play({ .name = "batch load x 2.2 for 5.4 s, absorbed", .usualLoad = 0.8, .slowdown = 1 });
    BOOST_TEST(rows.present.all.onTime * 10 >= rows.former.all.onTime * 9);
    BOOST_TEST(rows.present.all.never == 0);
}

/** Guards against an effect of the key while all waiting tasks have room. */
BOOST_AUTO_TEST_CASE(orderMakesNoDifferenceWithoutOverload)
{
    const Rows rows = play({ .name = "usual load", .usualLoad = 0.3, .burstFactor = 1.2 });
    BOOST_TEST(describe(rows.present) == describe(rows.former));
    BOOST_TEST(rows.present.all.onTime == rows.present.all.jobs);
}

BOOST_AUTO_TEST_SUITE_END()
