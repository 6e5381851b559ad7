#include "virtualjobs.h"
#include "virtualsite.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startTime { 1500 };

void setStoreTroubleOnAllHosts(VirtualSite &site, StoreFault trouble)
{
    for (const HostId &host : site.hosts()) {
        site.setStoreFault(host, trouble);
    }
}

void isolateAllWorkers(VirtualSite &site, bool isCut)
{
    for (const WorkerId &worker : site.workers()) {
        site.isolateWorker(worker, isCut);
    }
}

std::optional<std::uint64_t> countWaiting(VirtualSite &site, const QueueName &queue)
{
    const std::size_t call = site.send(site.hosts().back(), CountWaiting { queue });
    site.runUntil([&site, call] { return site.calls()[call].answer.has_value(); }, Milliseconds(3100));
    const std::optional<CallAnswer> &answer = site.calls()[call].answer;
    return answer && answer->outcome == CallOutcome::Found ? std::optional(answer->waiting) : std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Answers)

/** A submission whose commit may have reached the store is answered as undecided, since its tasks may still start. */
BOOST_AUTO_TEST_CASE(whatMayBeOnRecordIsNotRefused)
{
    VirtualSite site({});
    site.run(startTime);
    const JobSpec job = batchJob(1);
    const std::size_t call = site.send(site.hosts().front(), SubmitJob { std::make_shared<const JobSpec>(job) });
    setStoreTroubleOnAllHosts(site, StoreFault::Silent);
    BOOST_TEST(site.runUntil([&site, call] { return site.calls()[call].answer.has_value(); }, Milliseconds(3100)));
    BOOST_TEST((site.calls()[call].answer->outcome == CallOutcome::Undecided));
    setStoreTroubleOnAllHosts(site, StoreFault::None);
    BOOST_TEST(site.runUntil([&site] { return site.judge().starts() == 2; }, Milliseconds(4000)));
}

/** A call that is refused while commits are stuck must not be carried out once the store recovers. */
BOOST_AUTO_TEST_CASE(callIsRefusedImmediatelyWhileACommitIsStuck)
{
    VirtualSite site({});
    site.run(startTime);
    site.send(site.hosts().front(), SubmitJob { std::make_shared<const JobSpec>(batchJob(1)) });
    setStoreTroubleOnAllHosts(site, StoreFault::Refusing);
    site.run(Milliseconds(1500));
    const std::size_t call = site.send(site.hosts().back(), SubmitJob { std::make_shared<const JobSpec>(batchJob(2)) });
    BOOST_TEST(site.runUntil([&site, call] { return site.calls()[call].answer.has_value(); }, Milliseconds(50)));
    BOOST_TEST((site.calls()[call].answer->outcome == CallOutcome::Refused));
    BOOST_TEST(site.calls()[call].answer->retryAfter.count() > 0);
    setStoreTroubleOnAllHosts(site, StoreFault::None);
    site.run(Milliseconds(5000));
    BOOST_TEST(site.judge().startsOf({ { batchJob(2).id, 0, 0 }, 0 }) == 0U);
}

/** A job whose end isn't committed yet must still read as running, since a new writer would not know of the end. */
BOOST_AUTO_TEST_CASE(completedIsShownOnlyOnceItIsOnRecord)
{
    VirtualSite site({});
    site.run(startTime);
    const JobSpec job = batchJob(1, 1, 2, Milliseconds(600));
    BOOST_TEST(site.submit(job));
    BOOST_TEST(site.runUntil([&site] { return site.judge().starts() == 2; }, Milliseconds(1000)));
    setStoreTroubleOnAllHosts(site, StoreFault::Silent);
    site.run(Milliseconds(1500));
    BOOST_TEST((site.phaseOf(job.id) == JobPhase::Running));
    setStoreTroubleOnAllHosts(site, StoreFault::None);
    BOOST_TEST(
        site.runUntil([&site, &job] { return site.phaseOf(job.id) == JobPhase::Completed; }, Milliseconds(6000)));
    BOOST_TEST(site.judge().violations().empty());
}

/** Jobs were no longer counted as waiting once they were placed, although their start orders reached no worker. */
BOOST_AUTO_TEST_CASE(jobWhoseStartReachedNoWorkerIsCountedAsWaiting)
{
    VirtualSite site({});
    site.run(startTime);
    const JobSpec job = batchJob(1);
    isolateAllWorkers(site, true);
    BOOST_TEST(site.submit(job));
    site.run(Milliseconds(6000));
    BOOST_TEST(site.judge().starts() == 0U);
    BOOST_TEST((countWaiting(site, job.queue) == 1U));
    BOOST_TEST((site.phaseOf(job.id) == JobPhase::Queued));
    site.killHost(*site.writer());
    site.run(Milliseconds(3000));
    BOOST_TEST((countWaiting(site, job.queue) == 1U));
    isolateAllWorkers(site, false);
    BOOST_TEST(site.runUntil([&site] { return site.judge().starts() == 2; }, Milliseconds(20'000)));
    site.run(Milliseconds(200));
    BOOST_TEST((countWaiting(site, job.queue) == 0U));
    BOOST_TEST(site.judge().violations().empty());
}

/** The next writer can't ask a worker that it doesn't reach whether a task of the job has started. */
BOOST_AUTO_TEST_CASE(jobThatHasBegunIsNotCountedAfterATakeover)
{
    VirtualSite site({});
    site.run(startTime);
    const JobSpec job = batchJob(1, 1, 2, Milliseconds(9000));
    BOOST_TEST(site.submit(job));
    BOOST_TEST(site.runUntil([&site] { return site.judge().starts() == 2; }, Milliseconds(1000)));
    site.run(Milliseconds(500));
    isolateAllWorkers(site, true);
    site.killHost(*site.writer());
    site.run(Milliseconds(3000));
    BOOST_TEST((countWaiting(site, job.queue) == 0U));
    BOOST_TEST((site.phaseOf(job.id) == JobPhase::Running));
}

/**
 * A host's next process numbers its calls from 1 again, and takes the writer's answer to a call of its former process
 * for the answer to its own.
 */
BOOST_AUTO_TEST_CASE(answerToAnEarlierProcessIsNotTaken)
{
    VirtualSite site({});
    site.run(startTime);
    const HostId writer = site.writer().value();
    const HostId other = site.hosts().front() == writer ? site.hosts().back() : site.hosts().front();
    // The writer is cut off from the store, which doesn't end leases meanwhile.
    site.store().suspendLeaseExpiry(true, site.now());
    site.setStoreFault(writer, StoreFault::Silent);
    // A count of an idle writer is answered after a look at the claim, which takes up to 1 s.
    site.run(Milliseconds(2100));
    site.send(other, CountWaiting { QueueName("batch") });
    site.run(Milliseconds(20));
    site.killHost(other);
    site.restartHost(other);
    BOOST_TEST(site.runUntil([&site, &other] { return site.isReady(other); }, Milliseconds(900)));
    const std::size_t call = site.send(other, SubmitJob { std::make_shared<const JobSpec>(batchJob(1)) });
    site.runUntil([&site, call] { return site.calls()[call].answer.has_value(); }, Milliseconds(1000));
    site.setStoreFault(writer, StoreFault::None);
    site.run(Milliseconds(5000));
    const std::optional<CallAnswer> &answer = site.calls()[call].answer;
    BOOST_TEST((answer && answer->outcome != CallOutcome::Refused));
    for (const std::string &violation : site.judge().violations()) {
        BOOST_ERROR(violation);
    }
}

BOOST_AUTO_TEST_SUITE_END()
