#include "fleetfixture.h"
#include "jobevents.h"
#include "rackwaits.h"
#include "virtualjobs.h"
#include "virtualsite.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

/** A job that takes all processors of the three workers of the rack r0. */
JobSpec fullRack(std::uint64_t number, bool isLasting, Milliseconds work)
{
    JobSpec spec = isLasting ? lastingJob(number, 3) : batchJob(number, 1, 3, work);
    spec.steps.front().need.processors = Millicores(8000);
    spec.steps.front().requiredLabel = Label("r0");
    return spec;
}

/** A job of one task that runs faster on the rack r0. */
JobSpec nearJob(std::uint64_t number, Milliseconds work)
{
    JobSpec spec = batchJob(number, 1, 1, work);
    spec.steps.front().dataRack = Label("r0");
    return spec;
}

Milliseconds timeUntilRunning(VirtualSite &site, const JobId &job)
{
    const TimePoint since = site.now();
    const TaskRef first { { job, 0, 0 }, 0 };
    BOOST_TEST(site.runUntil([&site, &first] { return site.isRunning(first); }, Milliseconds(10'000)));
    return site.now() - since;
}

bool runsOnNearRack(VirtualSite &site, const JobSpec &spec)
{
    const std::vector<WorkerId> workers = site.workers();
    return std::ranges::any_of(workers, [&site, &spec](const WorkerId &worker) {
        return site.worker(worker).runs({ { spec.id, 0, 0 }, 0 })
            && site.worker(worker).entry().hasLabel(spec.steps.front().dataRack);
    });
}

/** RackWaits beside a fleet of racks of three workers, whose events and counters are kept. */
struct WaitsFixture
{
    FleetFixture box { 12 };
    std::map<std::string, int> counts;
    JobContext context { 1, makeDriver() };
    RackWaits waits { 2, box.fleet(), context };
    StepSpec step;

    WaitsFixture()
    {
        context.setTime(box.now(), WallTime(0));
        step.count = 10;
        step.need = { Millicores(8000), Mebibytes(1000), AcceleratorCount(0) };
        step.estimate = Milliseconds(400);
        StepSpec running = step;
        running.estimate = Milliseconds(380);
        for (int number = 0; number < 3; ++number) {
            for (const char *const job : { "a", "b", "c" }) {
                box.occupy(number, JobId(job), running);
            }
        }
    }

    JobDriver makeDriver()
    {
        JobDriver driver;
        driver.count = [this](std::string_view name, std::string_view /*reason*/) {
            ++counts[std::string(name)];
        };
        driver.log = [this](const LogEvent &event) {
            ++counts[event.name];
        };
        return driver;
    }

    std::size_t decide(const std::string &job, std::size_t tasks, Milliseconds waited)
    {
        return waits.decide(
            { { JobId(job), 0, 0 }, step, ServiceName("office"), { Label("r0") }, tasks, waited, Milliseconds(5000) });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RackPlacing)

/** Guards against a log line in each pass, and against counters that don't tell whether waits were worthwhile. */
BOOST_AUTO_TEST_CASE(decisionsAreLoggedOnceAndWaitsAreCounted)
{
    WaitsFixture box;
    const Label rack("r0");
    const StepRef step { JobId("wanting"), 0, 0 };
    box.waits.beginPass();
    BOOST_TEST(box.waits.isFull(box.step, rack));
    // Nine runs of 380 ms free 9 places in 400 ms.
    BOOST_TEST(box.decide("wanting", 10, Milliseconds(0)) == 9U);
    BOOST_TEST(box.waits.hasWaiting());
    const WorkerLink &away = *box.box.fleet().find(WorkerId("5"));
    box.waits.notePlaced(step, rack, away);
    box.waits.notePlaced(step, rack, *box.box.fleet().find(WorkerId("1")));
    BOOST_TEST(box.counts["tasks_off_rack"] == 1);
    BOOST_TEST(box.counts["rack_waits_paid"] == 1);
    box.waits.beginPass();
    BOOST_TEST(!box.waits.hasWaiting());
    BOOST_TEST(box.decide("wanting", 8, Milliseconds(400)) == 0U);
    BOOST_TEST(box.counts["rack_waits_in_vain"] == 8);
    BOOST_TEST(box.counts["rack_wait_decided"] == 1);
    BOOST_TEST(box.waits.trackedSteps() == 1U);
    box.waits.forgetJob(step.job);
    BOOST_TEST(box.waits.trackedSteps() == 0U);
}

/**
 * Guards against many steps that each count on the same places, and against taking capacity for short because of a task
 * that is too large for any worker.
 */
BOOST_AUTO_TEST_CASE(stepsStandBehindThoseThatPrecede)
{
    WaitsFixture box;
    box.waits.beginPass();
    BOOST_TEST(box.decide("first", 10, Milliseconds(0)) == 9U);
    box.waits.addWaiting(Label("r0"), box.step, 2);
    BOOST_TEST(box.decide("second", 10, Milliseconds(0)) == 2U);
    box.waits.addWaiting(Label("r0"), box.step, 9);
    BOOST_TEST(box.decide("third", 10, Milliseconds(0)) == 0U);
    box.waits.beginPass();
    BOOST_TEST(box.decide("second", 10, Milliseconds(0)) == 9U);
    StepSpec huge = box.step;
    huge.need.processors = Millicores(1'000'000);
    box.waits.noteShortage(huge);
    BOOST_TEST(box.decide("third", 20, Milliseconds(0)) == 9U);
    box.waits.noteShortage(box.step);
    BOOST_TEST(box.decide("third", 20, Milliseconds(0)) == 18U);
}

/** Guards against requesting tickets only for the workers of a rack that stays full. */
BOOST_AUTO_TEST_CASE(ticketsAreRequestedElsewhereWhereNoWaitHelps)
{
    VirtualSite site({ .farFactor = 2 });
    site.run(Milliseconds(1500));
    BOOST_REQUIRE(site.submit(fullRack(1, true, Milliseconds(0))));
    site.run(Milliseconds(500));
    JobSpec wanting = admittedJob(2, 1);
    for (StepSpec &step : wanting.steps) {
        step.dataRack = Label("r0");
        step.estimate = Milliseconds(3000);
    }
    BOOST_REQUIRE(site.submit(wanting));
    BOOST_TEST(timeUntilRunning(site, wanting.id).count() <= 1500);
}

/** Guards against a wait as long as the estimate, 1.5 s, for a rack that only lasting runs are on. */
BOOST_AUTO_TEST_CASE(stepDoesNotWaitForARackThatStaysFull)
{
    for (const auto &[farFactor, soonest, latest] :
         { std::tuple(std::optional<double>(), Milliseconds(1400), Milliseconds(2500)),
           std::tuple(std::optional<double>(2), Milliseconds(0), Milliseconds(500)) }) {
        VirtualSite site({ .farFactor = farFactor });
        site.run(Milliseconds(1500));
        BOOST_REQUIRE(site.submit(fullRack(1, true, Milliseconds(0))));
        site.run(Milliseconds(500));
        const JobSpec wanting = nearJob(2, Milliseconds(1500));
        BOOST_REQUIRE(site.submit(wanting));
        const Milliseconds wait = timeUntilRunning(site, wanting.id);
        BOOST_TEST(wait.count() >= soonest.count());
        BOOST_TEST(wait.count() <= latest.count());
        BOOST_TEST(site.logCount(events::rackWaitDecided) == (farFactor ? 1U : 0U));
        BOOST_TEST(!runsOnNearRack(site, wanting));
    }
}

/** Guards against running elsewhere for twice as long when a place on the rack is expected soon. */
BOOST_AUTO_TEST_CASE(stepWaitsForARackThatSoonHasRoom)
{
    VirtualSite site({ .farFactor = 2 });
    site.run(Milliseconds(1500));
    BOOST_REQUIRE(site.submit(fullRack(1, false, Milliseconds(500))));
    site.run(Milliseconds(200));
    const JobSpec wanting = nearJob(2, Milliseconds(2500));
    BOOST_REQUIRE(site.submit(wanting));
    BOOST_TEST(timeUntilRunning(site, wanting.id).count() <= 1000);
    BOOST_TEST(site.logCount(events::rackWaitDecided) == 1U);
    BOOST_TEST(runsOnNearRack(site, wanting));
}

/**
 * Guards against waits for a rack that doesn't exist or whose workers are gone or drain, and against waits of late
 * jobs.
 */
BOOST_AUTO_TEST_CASE(stepDoesNotWaitForARackWithoutWorkers)
{
    for (const bool isUnknown : { true, false }) {
        VirtualSite site({ .farFactor = 2 });
        site.run(Milliseconds(1500));
        for (const char *const worker : { "w0", "w1", "w2" }) {
            site.drainWorker(WorkerId(worker), Milliseconds(60'000));
        }
        site.run(Milliseconds(1500));
        JobSpec wanting = nearJob(2, Milliseconds(1500));
        wanting.steps.front().dataRack = Label(isUnknown ? "r77" : "r0");
        BOOST_REQUIRE(site.submit(wanting));
        BOOST_TEST(timeUntilRunning(site, wanting.id).count() <= 500);
    }
}

/** Guards against a wait of 3 s by a gang that no rack is large enough for. */
BOOST_AUTO_TEST_CASE(gangWiderThanAnyRackRunsAtOnce)
{
    VirtualSite site({ .farFactor = 2 });
    site.run(Milliseconds(1500));
    JobSpec gang = gangJob(1, 5);
    gang.steps.front().wantsOneRack = true;
    gang.steps.front().need.processors = Millicores(8000);
    gang.steps.front().estimate = Milliseconds(3000);
    BOOST_REQUIRE(site.submit(gang));
    BOOST_TEST(timeUntilRunning(site, gang.id).count() <= 500);
}

/** Guards against decisions that are kept after their jobs, so that the writer's memory grows without bound. */
BOOST_AUTO_TEST_CASE(decisionsAreForgottenWithTheirJobs)
{
    VirtualSite site({ .farFactor = 2 });
    site.run(Milliseconds(1500));
    for (std::uint64_t number = 1; number <= 6; ++number) {
        JobSpec wanting = nearJob(number, Milliseconds(400));
        wanting.steps.front().count = 10;
        BOOST_REQUIRE(site.submit(wanting));
    }
    const auto isSettled = [&site] {
        return site.trackedWork() == std::size_t(0);
    };
    BOOST_TEST(!isSettled());
    BOOST_TEST(site.runUntil(isSettled, Milliseconds(30'000)));
    BOOST_TEST(site.logCount(events::rackWaitDecided) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
