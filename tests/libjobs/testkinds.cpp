#include "jobevents.h"
#include "virtualjobs.h"
#include "virtualsite.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startTime { 1500 };

/** A site without faults whose writer is active. */
struct StartedSite
{
    StartedSite()
        : site(VirtualSiteOptions {})
    {
        site.run(startTime);
    }

    void requireCompleted(const JobSpec &job, Milliseconds limit)
    {
        BOOST_TEST(site.submit(job));
        BOOST_TEST(site.runUntil([this, &job] { return site.phaseOf(job.id) == JobPhase::Completed; }, limit));
        for (const std::string &violation : site.judge().violations()) {
            BOOST_ERROR(violation);
        }
    }

    VirtualSite site;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Kinds, StartedSite)

BOOST_AUTO_TEST_CASE(gangMembersStartAndEndTogether)
{
    requireCompleted(gangJob(1, 5), Milliseconds(3000));
    BOOST_TEST(site.judge().starts() == 5U);
    BOOST_TEST(site.judge().incompleteGangMembers() == 0U);
}

BOOST_AUTO_TEST_CASE(gangWaitsForCapacityForAllMembers)
{
    // Twelve tasks of 4 processors fill six workers of 8; a gang of three tasks of 6 fits once they have ended.
    BOOST_TEST(site.submit(batchJob(1, 1, 12, Milliseconds(1500), Millicores(4000))));
    JobSpec gang = gangJob(2);
    gang.steps.front().need.processors = Millicores(6000);
    requireCompleted(gang, Milliseconds(6000));
    BOOST_TEST(site.judge().starts() == 15U);
    BOOST_TEST(site.judge().incompleteGangMembers() == 0U);
}

BOOST_AUTO_TEST_CASE(failedGangIsRestartedAsAWhole)
{
    requireCompleted(withPayload(gangJob(1), "fail=1"), Milliseconds(6000));
    BOOST_TEST(site.judge().starts() == 6U);
}

BOOST_AUTO_TEST_CASE(gangIsPlacedOnOneRack)
{
    JobSpec gang = gangJob(1);
    gang.steps.front().wantsOneRack = true;
    gang.steps.front().need.processors = Millicores(7000);
    BOOST_TEST(site.submit(gang));
    BOOST_TEST(site.runUntil([this] { return site.judge().starts() == 3; }, Milliseconds(2000)));
    std::set<Label> racks;
    for (const WorkerId &worker : site.workers()) {
        if (site.worker(worker).runningCount() > 0) {
            racks.insert(site.worker(worker).entry().rack);
        }
    }
    BOOST_TEST(racks.size() == 1U);
}

BOOST_AUTO_TEST_CASE(tasksRunOnTheRackOfTheirData)
{
    JobSpec job = batchJob(1, 1, 3, Milliseconds(3000));
    job.steps.front().dataRack = Label("r1");
    BOOST_TEST(site.submit(job));
    BOOST_TEST(site.runUntil([this] { return site.judge().starts() == 3; }, Milliseconds(2000)));
    for (const WorkerId &worker : site.workers()) {
        const bool isRemote = site.worker(worker).entry().rack != Label("r1");
        BOOST_TEST((!isRemote || site.worker(worker).runningCount() == 0));
    }
}

BOOST_AUTO_TEST_CASE(taskOnASilentWorkerIsCopiedBeforeTheLeaseExpires)
{
    const JobSpec job = copiedJob(1);
    BOOST_TEST(site.submit(job));
    BOOST_TEST(site.runUntil([this] { return site.judge().starts() == 3; }, Milliseconds(2000)));
    for (const WorkerId &worker : site.workers()) {
        if (site.worker(worker).runningCount() > 0) {
            site.isolateWorker(worker, true);
            break;
        }
    }
    BOOST_TEST(
        site.runUntil([this, &job] { return site.phaseOf(job.id) == JobPhase::Completed; }, WorkerTiming {}.lease));
    BOOST_TEST(site.logCount(events::runCopied) > 0U);
    BOOST_TEST(site.judge().violations().empty());
}

BOOST_AUTO_TEST_CASE(stepsArePlacedOnlyOnAdmittedWorkers)
{
    requireCompleted(admittedJob(1, 6), Milliseconds(5000));
    BOOST_TEST(site.judge().starts() == 12U);
    BOOST_TEST(site.logCount(events::runRefused) == 0U);
    BOOST_TEST(site.logCount(events::admissionAnswered) == 2U);
}

BOOST_AUTO_TEST_CASE(ticketOfAnEarlierIncarnationIsRenewed)
{
    BOOST_TEST(site.submit(admittedJob(1, 6)));
    BOOST_TEST(site.runUntil([this] { return site.judge().starts() > 0; }, Milliseconds(2000)));
    for (const WorkerId &worker : site.workers()) {
        site.crashWorker(worker, false);
        site.restartWorker(worker);
    }
    BOOST_TEST(
        site.runUntil([this] { return site.phaseOf(admittedJob(1).id) == JobPhase::Completed; }, Milliseconds(15'000)));
    BOOST_TEST(site.judge().violations().empty());
}

BOOST_AUTO_TEST_CASE(occurrencesStartOnSchedule)
{
    const WallTime first(site.wallNow().value() + 1000);
    const JobSpec job = repeatedJob(1, first, Milliseconds(1500));
    BOOST_TEST(site.submit(job));
    site.run(Milliseconds(900));
    BOOST_TEST(site.judge().starts() == 0U);
    for (std::uint32_t occurrence = 0; occurrence < 3; ++occurrence) {
        const bool isDue = site.runUntil(
            [this, &job, occurrence] {
                return site.judge().startsOf({ { job.id, occurrence, 0 }, 0 }) == 1;
            },
            Milliseconds(1600));
        BOOST_TEST(isDue);
        BOOST_TEST(site.wallNow().value() - first.value() - 1500 * occurrence < 250);
    }
    BOOST_TEST(site.runUntil([this, &job] { return site.phaseOf(job.id) == JobPhase::Completed; }, Milliseconds(3000)));
    BOOST_TEST(site.judge().starts() == 12U);
    BOOST_TEST(site.judge().violations().empty());
}

BOOST_AUTO_TEST_CASE(occurrencesContinueAfterAWriterFailure)
{
    const JobSpec job = repeatedJob(1, WallTime(site.wallNow().value() + 500), Milliseconds(2000));
    BOOST_TEST(site.submit(job));
    for (int kill = 0; kill < 2; ++kill) {
        site.run(Milliseconds(1200));
        const HostId writer = site.writer().value_or(site.hosts().front());
        site.killHost(writer);
        site.restartHost(writer);
    }
    BOOST_TEST(
        site.runUntil([this, &job] { return site.phaseOf(job.id) == JobPhase::Completed; }, Milliseconds(20'000)));
    BOOST_TEST(site.judge().violations().empty());
}

BOOST_AUTO_TEST_CASE(tasksRunOnlyOnWorkersWithTheRequiredLabel)
{
    // Two tasks fit on a worker and three workers have the label, so all but six tasks wait.
    JobSpec job = batchJob(1, 1, 10, Milliseconds(1500), Millicores(4000));
    job.steps.front().requiredLabel = Label("r1");
    BOOST_TEST(site.submit(job));
    site.run(Milliseconds(800));
    BOOST_TEST(site.judge().starts() == 6U);
    BOOST_TEST(site.runUntil([this, &job] { return site.phaseOf(job.id) == JobPhase::Completed; }, Milliseconds(6000)));
    BOOST_TEST(site.judge().violations().empty());
}

BOOST_AUTO_TEST_CASE(tasksOfASilentWorkerAreRestartedAfterItsLeaseExpires)
{
    JobSpec job = lastingJob(1, 5);
    job.steps.front().spreadLimit = 1;
    BOOST_TEST(site.submit(job));
    BOOST_TEST(site.runUntil([this] { return site.judge().starts() == 5; }, Milliseconds(2000)));
    for (const WorkerId &worker : site.workers()) {
        if (site.worker(worker).runningCount() > 0) {
            site.isolateWorker(worker, true);
            break;
        }
    }
    BOOST_TEST(site.runUntil([this] { return site.logCount(events::workerSilent) == 1; }, Milliseconds(3000)));
    site.run(Milliseconds(500));
    BOOST_TEST(site.judge().starts() == 5U);
    BOOST_TEST(site.runUntil([this] { return site.judge().starts() == 6; }, Milliseconds(8000)));
    BOOST_TEST(site.judge().violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
