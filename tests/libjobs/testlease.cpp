#include "provenauthority.h"
#include "reservedresources.h"
#include "workerlease.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds longestLease { 6000 };
constexpr TimePoint claimedAt { Milliseconds(100'000) };
constexpr TimePoint inheritedUntil = claimedAt + Milliseconds(9000);

LiveRun runOf(const StepSpec &step)
{
    LiveRun run;
    run.step = std::make_shared<const StepSpec>(step);
    return run;
}

StepSpec stepOf(std::int64_t processors)
{
    StepSpec step;
    step.need = { Millicores(processors), Mebibytes(1000), AcceleratorCount(1) };
    return step;
}

/** Grants a lease of @p duration when the writer claims. */
WorkerTime grantFor(WorkerLease &lease, Milliseconds duration)
{
    return lease.grant(*provenAuthority([] { return claimedAt; }, duration).grantLease());
}

} // namespace

BOOST_AUTO_TEST_SUITE(Leases)

BOOST_AUTO_TEST_CASE(previousWritersLeasesApplyUntilTheFirstAnswer)
{
    WorkerLease lease(longestLease, inheritedUntil);
    BOOST_TEST(!lease.hasClockSample());
    BOOST_TEST((lease.expiryTime() >= inheritedUntil));
    lease.noteClock(WorkerTime(5000), claimedAt);
    BOOST_TEST((lease.expiryTime() >= inheritedUntil));
}

BOOST_AUTO_TEST_CASE(firstAnswerBoundsThePreviousWritersLeases)
{
    WorkerLease lease(longestLease, inheritedUntil);
    lease.noteAnswer(WorkerTime(5000), claimedAt);
    lease.noteClock(WorkerTime(5000), claimedAt);
    // A clock that runs 2 % slow stretches the 6 s lease by about 122 ms.
    BOOST_TEST((lease.expiryTime() >= claimedAt + longestLease + Milliseconds(122)));
    BOOST_TEST((lease.expiryTime() < claimedAt + longestLease + Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(latestExpiryAppliesWhateverTheOrderOfGrants)
{
    WorkerLease lease(longestLease, inheritedUntil);
    lease.noteAnswer(WorkerTime(10'000), claimedAt);
    lease.noteClock(WorkerTime(10'000), claimedAt);
    BOOST_TEST((grantFor(lease, Milliseconds(10'000)) == WorkerTime(20'000)));
    BOOST_TEST((grantFor(lease, Milliseconds(5000)) == WorkerTime(15'000)));
    BOOST_TEST((lease.expiryTime() >= claimedAt + Milliseconds(10'000)));
}

BOOST_AUTO_TEST_CASE(workerRestartDiscardsGrants)
{
    WorkerLease lease(longestLease, inheritedUntil);
    lease.noteAnswer(WorkerTime(0), claimedAt);
    lease.noteClock(WorkerTime(0), claimedAt);
    BOOST_TEST((grantFor(lease, Milliseconds(60'000)) == WorkerTime(60'000)));
    lease.noteRestart();
    lease.noteAnswer(WorkerTime(10), claimedAt);
    lease.noteClock(WorkerTime(10), claimedAt);
    BOOST_TEST((lease.expiryTime() < claimedAt + longestLease + Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(workerClockIsExtrapolatedBetweenAnswers)
{
    WorkerLease lease(longestLease, inheritedUntil);
    lease.noteClock(WorkerTime(700), claimedAt);
    BOOST_TEST((lease.clockAt(claimedAt + Milliseconds(250)) == WorkerTime(950)));
}

BOOST_AUTO_TEST_CASE(removingAllRunsReleasesAllResources)
{
    StepSpec filler = stepOf(4000);
    filler.isFiller = true;
    StepSpec serving = stepOf(6000);
    serving.tailTarget = Milliseconds(50);
    const std::vector<LiveRun> runs { runOf(stepOf(2000)), runOf(filler), runOf(serving), LiveRun {} };
    ReservedResources reserved;
    for (const LiveRun &run : runs) {
        reserved.add(run);
    }
    BOOST_TEST(reserved.held().processors.value() == 8000);
    BOOST_TEST(reserved.held().memory.value() == 3000);
    BOOST_TEST(reserved.held().accelerators.value() == 3);
    BOOST_TEST(reserved.fillerDemand().value() == 4000);
    BOOST_TEST(reserved.servingDemand().value() == 6000);
    BOOST_TEST(reserved.servingRuns() == 1);
    BOOST_TEST(reserved.hasRunOfUnknownSize());
    for (const LiveRun &run : runs) {
        reserved.remove(run);
    }
    BOOST_TEST((reserved.held() == Resources {}));
    BOOST_TEST(reserved.fillerDemand().value() == 0);
    BOOST_TEST(reserved.servingRuns() == 0);
    BOOST_TEST(!reserved.hasRunOfUnknownSize());
}

BOOST_AUTO_TEST_SUITE_END()
