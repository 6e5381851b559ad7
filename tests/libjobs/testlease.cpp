#include "heldroom.h"
#include "workerlease.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds longest { 6000 };
constexpr TimePoint claimed { Milliseconds(100'000) };
constexpr TimePoint inherited = claimed + Milliseconds(9000);

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

} // namespace

BOOST_AUTO_TEST_SUITE(Leases)

BOOST_AUTO_TEST_CASE(beforeAnAnswerTheFormerWritersGrantsHold)
{
    WorkerLease lease(longest, inherited);
    BOOST_TEST(!lease.knowsClock());
    BOOST_TEST((lease.overAt() >= inherited));
    lease.noteClock(WorkerTime(5000), claimed);
    BOOST_TEST((lease.overAt() >= inherited));
}

BOOST_AUTO_TEST_CASE(theFirstAnswerLeavesTheLongestLeaseThatAnyoneMayHaveGranted)
{
    WorkerLease lease(longest, inherited);
    lease.noteAnswer(WorkerTime(5000));
    lease.noteClock(WorkerTime(5000), claimed);
    // 2 % of 6 s.
    BOOST_TEST((lease.overAt() >= claimed + longest + Milliseconds(122)));
    BOOST_TEST((lease.overAt() < claimed + longest + Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(theLatestGrantCountsEvenIfAnEarlierOneIsSentLast)
{
    WorkerLease lease(longest, inherited);
    lease.noteAnswer(WorkerTime(0));
    lease.noteGrant(WorkerTime(20'000));
    lease.noteGrant(WorkerTime(15'000));
    lease.noteClock(WorkerTime(10'000), claimed);
    BOOST_TEST((lease.overAt() >= claimed + Milliseconds(10'000)));
}

BOOST_AUTO_TEST_CASE(aNewLifeKnowsOfNoGrant)
{
    WorkerLease lease(longest, inherited);
    lease.noteAnswer(WorkerTime(0));
    lease.noteGrant(WorkerTime(60'000));
    lease.beginLife();
    lease.noteAnswer(WorkerTime(10));
    lease.noteClock(WorkerTime(10), claimed);
    BOOST_TEST((lease.overAt() < claimed + longest + Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(theClockGoesOnBetweenAnswers)
{
    WorkerLease lease(longest, inherited);
    lease.noteClock(WorkerTime(700), claimed);
    BOOST_TEST((lease.clockAt(claimed + Milliseconds(250)) == WorkerTime(950)));
}

BOOST_AUTO_TEST_CASE(roomIsFreeAgainWhenAllRunsAreGone)
{
    StepSpec filler = stepOf(4000);
    filler.isFiller = true;
    StepSpec serving = stepOf(6000);
    serving.tailTarget = Milliseconds(50);
    const std::vector<LiveRun> runs { runOf(stepOf(2000)), runOf(filler), runOf(serving), LiveRun {} };
    HeldRoom room;
    for (const LiveRun &run : runs) {
        room.add(run);
    }
    BOOST_TEST(room.held().processors.value() == 8000);
    BOOST_TEST(room.held().memory.value() == 3000);
    BOOST_TEST(room.held().accelerators.value() == 3);
    BOOST_TEST(room.fillerDemand().value() == 4000);
    BOOST_TEST(room.servingDemand().value() == 6000);
    BOOST_TEST(room.servingRuns() == 1);
    BOOST_TEST(room.holdsUnknown());
    for (const LiveRun &run : runs) {
        room.remove(run);
    }
    BOOST_TEST((room.held() == Resources {}));
    BOOST_TEST(room.fillerDemand().value() == 0);
    BOOST_TEST(room.servingRuns() == 0);
    BOOST_TEST(!room.holdsUnknown());
}

BOOST_AUTO_TEST_SUITE_END()
