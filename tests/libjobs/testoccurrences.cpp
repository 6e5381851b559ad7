#include "jobevents.h"
#include "jobrecord.h"
#include "virtualjobs.h"
#include "virtualsite.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startTime { 1500 };
/** Values of the platform's store are at most this long. */
constexpr std::size_t maxValueBytes = 1'048'576;

/** Job whose @p repetitions of one small task are all due @p delay from now. */
JobSpec jobDueTogether(const VirtualSite &site, std::uint32_t repetitions, Milliseconds delay)
{
    JobSpec spec = repeatedJob(1, WallTime(site.wallNow().value() + delay.count()), Milliseconds(0));
    spec.schedule->repetitions = repetitions;
    spec.steps.resize(1);
    spec.steps.front().count = 1;
    spec.steps.front().need = { Millicores(100), Mebibytes(16), AcceleratorCount(0) };
    return spec;
}

/** Time until a job of another owner is completed, submitted now. */
Milliseconds timeOfOtherJob(VirtualSite &site, std::uint64_t number)
{
    const JobSpec other = batchJob(number, 2);
    const TimePoint from = site.now();
    BOOST_TEST(site.submit(other));
    BOOST_TEST(
        site.runUntil([&site, &other] { return site.phaseOf(other.id) == JobPhase::Completed; }, Milliseconds(20'000)));
    return site.now() - from;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Occurrences)

/** Each due occurrence was started by a call within the one before, which used up the stack of every writer in turn. */
BOOST_AUTO_TEST_CASE(manyDueTogetherLeaveOtherJobsTheirTurn)
{
    Milliseconds alone {};
    for (const std::uint32_t repetitions : { 1U, 20'000U, 100'000U }) {
        VirtualSite site({ .listedEnds = platformListedEnds, .valueBytes = platformValueBytes });
        site.run(startTime);
        BOOST_TEST(site.submit(jobDueTogether(site, repetitions, Milliseconds(500))));
        site.run(Milliseconds(700));
        const Milliseconds taken = timeOfOtherJob(site, 2);
        alone = repetitions == 1 ? taken : alone;
        BOOST_TEST_MESSAGE(repetitions << " due together: the other job takes " << taken.count() << " ms");
        // The other job is served in turn, in addition to the tasks that wait already.
        BOOST_TEST((taken <= 2 * alone + Milliseconds(1000)), repetitions << ": " << taken.count() << " ms");
        BOOST_TEST(site.logCount(events::shardActive) == 1U);
        // Those that begin together are told in one line.
        BOOST_TEST(site.logCount(events::occurrenceDue) <= 100U);
        for (const std::string &violation : site.judge().violations()) {
            BOOST_ERROR(repetitions << ": " << violation);
        }
    }
}

/** The next writer loaded the job and ended in the same way. */
BOOST_AUTO_TEST_CASE(manyDueAtATakeoverLeaveOtherJobsTheirTurn)
{
    VirtualSite site({ .listedEnds = platformListedEnds, .valueBytes = platformValueBytes });
    site.run(startTime);
    BOOST_TEST(site.submit(jobDueTogether(site, 100'000, Milliseconds(1500))));
    site.killHost(site.writer().value());
    site.run(Milliseconds(4000));
    BOOST_TEST(timeOfOtherJob(site, 2).count() < 5000);
    BOOST_TEST((site.phaseOf(jobDueTogether(site, 1, {}).id) == JobPhase::Running));
    BOOST_TEST(site.judge().violations().empty());
}

/** Each occurrence runs once, also when the writer changes in between. */
BOOST_AUTO_TEST_CASE(manyDueTogetherAreAllCompleted)
{
    VirtualSite site({ .listedEnds = platformListedEnds, .valueBytes = platformValueBytes });
    site.run(startTime);
    const JobSpec job = jobDueTogether(site, 2500, Milliseconds(200));
    BOOST_TEST(site.submit(job));
    site.run(Milliseconds(3000));
    site.stopHost(site.writer().value());
    site.run(Milliseconds(3000));
    site.killHost(site.writer().value());
    BOOST_TEST(
        site.runUntil([&site, &job] { return site.phaseOf(job.id) == JobPhase::Completed; }, Milliseconds(60'000)));
    for (const std::string &violation : site.judge().violations()) {
        BOOST_ERROR(violation);
    }
}

/** The progress of a job of many occurrences has to fit into one value of the store, or no writer can go on. */
BOOST_AUTO_TEST_CASE(progressOfManyOccurrencesIsStoredAndRead)
{
    constexpr std::uint32_t occurrences = 100'000;
    JobSpec spec = repeatedJob(1, WallTime(0));
    spec.schedule->repetitions = occurrences;
    spec.steps.resize(1);
    spec.steps.front().count = 2;
    const auto job = std::make_shared<Job>(std::make_shared<const JobSpec>(spec), WallTime(0));
    for (std::uint32_t number = 0; number + 1 < occurrences; ++number) {
        job->beginOccurrence();
        job->markDone({ { spec.id, number, 0 }, 0 });
        if (number % 1000 != 7) {
            job->markDone({ { spec.id, number, 0 }, 1 });
        }
        job->compactOccurrences();
    }
    const std::string bytes = encodeJobSlot({ 1, 1, { JobSnapshot { job } } });
    BOOST_TEST(bytes.size() < maxValueBytes / 4);
    const std::optional<JobSlot> slot = decodeJobSlot(bytes);
    BOOST_REQUIRE(slot.has_value());
    const Job &read = *std::get<JobSnapshot>(slot->records.front()).job;
    BOOST_TEST(read.occurrences.size() == occurrences - 1);
    BOOST_TEST(read.doneOccurrences == job->doneOccurrences);
    BOOST_TEST(!read.task({ { spec.id, 7, 0 }, 1 }).isDone);
    BOOST_TEST(read.task({ { spec.id, 8, 0 }, 1 }).isDone);
    BOOST_TEST(&read.task({ { spec.id, 8, 0 }, 1 }) == &settledTask());
    BOOST_TEST(!read.isStepOpen(8, 0));
}

/** A job that would fill the memory of the writer is refused when it is handed in. */
BOOST_AUTO_TEST_CASE(jobsWithTooManyTasksAreRefused)
{
    JobSpec spec = batchJob(1, 10, 10'000);
    BOOST_TEST(checkJob(spec).empty());
    spec.steps.push_back(spec.steps.front());
    BOOST_TEST(checkJob(spec).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
