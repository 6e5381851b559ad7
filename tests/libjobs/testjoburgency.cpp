#include "joburgency.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace currantring;

namespace {

constexpr WallTime acceptedAt { 1'000'000 };

StepSpec makeStep(std::uint32_t count, std::int64_t estimate, std::int64_t processors, bool isFiller = false)
{
    StepSpec step;
    step.count = count;
    step.estimate = Milliseconds(estimate);
    step.need.processors = Millicores(processors);
    step.isFiller = isFiller;
    return step;
}

/** A job of consecutive steps, of which the first tasks are done: @p done tasks of each step. */
Job makeJob(std::vector<StepSpec> steps, const std::vector<std::uint32_t> &done = {})
{
    auto spec = std::make_shared<JobSpec>();
    spec->id = JobId("job");
    spec->steps = std::move(steps);
    for (std::uint32_t step = 1; step < spec->steps.size(); ++step) {
        spec->steps[step].after = { step - 1 };
    }
    Job job(spec, acceptedAt);
    job.beginOccurrence();
    for (std::uint32_t step = 0; step < done.size(); ++step) {
        for (std::uint32_t task = 0; task < done[step]; ++task) {
            job.markDone({ { spec->id, 0, step }, task });
        }
    }
    return job;
}

QueueEntry makeQueue(std::uint32_t priority = 2)
{
    QueueEntry queue;
    queue.priority = priority;
    queue.stretch = 2;
    queue.targetLatency = Milliseconds(1000);
    return queue;
}

JobUrgency urgencyAfter(const Job &job, std::int64_t waited, std::uint32_t priority = 2)
{
    return urgencyOf(job, 0, makeQueue(priority), WallTime(acceptedAt.value() + waited));
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobUrgencies)

/**
 * Guards against judging the deadline state by the whole path or by the wrong bound. The objective is 2 x 1,000 + 1,000
 * ms. Best-effort work counts twice for on time only; counted twice against overdue, it would lose its precedence while
 * it can still have value.
 */
BOOST_AUTO_TEST_CASE(deadlineStateDependsOnRemainingPath)
{
    struct Case
    {
        std::string name;
        bool isFiller;
        std::vector<std::uint32_t> done;
        std::int64_t waited;
        DeadlineState state;
        std::int64_t latestStart;
    };
    const std::vector<Case> cases {
        { "last moment on time", false, {}, 2000, DeadlineState::OnTime, 2000 },
        { "late", false, {}, 2001, DeadlineState::Late, 8000 },
        { "last moment late", false, {}, 8000, DeadlineState::Late, 8000 },
        { "overdue", false, {}, 8001, DeadlineState::Overdue, 8000 },
        { "first step done", false, { 2 }, 2001, DeadlineState::OnTime, 2600 },
        { "a task of the first step done", false, { 1 }, 2001, DeadlineState::Late, 8000 },
        { "best effort, last moment on time", true, {}, 1000, DeadlineState::OnTime, 1000 },
        { "best effort, late", true, {}, 1001, DeadlineState::Late, 8000 },
        { "best effort, last moment late", true, {}, 8000, DeadlineState::Late, 8000 },
        { "best effort, overdue", true, {}, 8001, DeadlineState::Overdue, 8000 },
        { "best effort, first step done", true, { 2 }, 2200, DeadlineState::OnTime, 2200 },
    };
    for (const Case &one : cases) {
        const Job job =
            makeJob({ makeStep(2, 600, 1000, one.isFiller), makeStep(2, 400, 1000, one.isFiller) }, one.done);
        const JobUrgency urgency = urgencyAfter(job, one.waited);
        BOOST_TEST((urgency.deadlineState == one.state), one.name);
        BOOST_TEST(urgency.latestStart == acceptedAt.value() + one.latestStart, one.name);
    }
}

/** Guards against a key that isn't a finite, positive number, which would make the order inconsistent. */
BOOST_AUTO_TEST_CASE(scaledWorkIsRemainingWorkOverRootOfWholeWork)
{
    struct Case
    {
        std::string name;
        std::vector<StepSpec> steps;
        std::vector<std::uint32_t> done;
        double whole;
        double remaining;
    };
    constexpr std::int64_t day = 86'400'000;
    const std::vector<Case> cases {
        { "nothing done", { makeStep(4, 100, 2000) }, {}, 800'000, 800'000 },
        { "some tasks done", { makeStep(4, 100, 2000) }, { 3 }, 800'000, 200'000 },
        { "a step done", { makeStep(4, 100, 2000), makeStep(1, 500, 1000) }, { 4 }, 1'300'000, 500'000 },
        { "no estimate", { makeStep(4, 0, 2000) }, {}, 8000, 8000 },
        { "no processors", { makeStep(4, 100, 0) }, {}, 400, 400 },
        { "neither", { makeStep(1, 0, 0) }, {}, 1, 1 },
        { "days on many processors", { makeStep(1000, 30 * day, 64'000) }, {}, 64e6 * 30 * day, 64e6 * 30 * day },
    };
    for (const Case &one : cases) {
        const JobUrgency urgency = urgencyAfter(makeJob(one.steps, one.done), 0);
        BOOST_TEST(urgency.scaledWork == one.remaining / std::sqrt(one.whole), one.name);
    }
}

/** Guards against a change of precedence between kinds and states of work. Each row is placed before the next one. */
BOOST_AUTO_TEST_CASE(orderOfWaitingWork)
{
    struct Row
    {
        std::string name;
        JobUrgency urgency;
    };
    const Job small = makeJob({ makeStep(1, 500, 1000), makeStep(1, 500, 1000) });
    const Job large = makeJob({ makeStep(100, 500, 1000), makeStep(100, 500, 1000) });
    const Job begunLarge = makeJob({ makeStep(100, 500, 1000), makeStep(100, 500, 1000) }, { 95 });
    const Job nearlyDoneLarge = makeJob({ makeStep(100, 500, 1000), makeStep(100, 500, 1000) }, { 100, 99 });
    const Job longSteps = makeJob({ makeStep(1, 1000, 500), makeStep(1, 1000, 500) });
    const QueueEntry queue = makeQueue();
    const WallTime lastingSeenAt(acceptedAt.value() + 2000);
    const std::vector<Row> rows {
        { "higher priority, overdue", urgencyAfter(large, 9000, 1) },
        { "lasting, waits longer", urgencyOfLasting(queue, WallTime(acceptedAt.value() - 10), lastingSeenAt) },
        { "lasting, waits for long", urgencyOfLasting(queue, acceptedAt, lastingSeenAt) },
        { "large job, nearly done", urgencyAfter(nearlyDoneLarge, 2000) },
        { "small job", urgencyAfter(small, 2000) },
        { "small job that may start later", urgencyAfter(longSteps, 2000) },
        { "large job, begun", urgencyAfter(begunLarge, 2000) },
        { "large job", urgencyAfter(large, 2000) },
        { "lasting, waits briefly", urgencyOfLasting(queue, WallTime(lastingSeenAt.value() - 500), lastingSeenAt) },
        { "small job, late", urgencyAfter(small, 7000) },
        { "large job, late", urgencyAfter(large, 3000) },
        { "large job, longer overdue", urgencyOf(large, 0, queue, WallTime(acceptedAt.value() + 99'000)) },
        { "small job, overdue, with a later latest start", urgencyAfter(longSteps, 99'000) },
    };
    for (std::size_t row = 1; row < rows.size(); ++row) {
        BOOST_TEST((rows[row - 1].urgency < rows[row].urgency), rows[row - 1].name << " precedes " << rows[row].name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
