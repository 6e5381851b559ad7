#include "fleetfixture.h"
#include "noroomcache.h"
#include "workercosttable.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr int workers = 12;

StepSpec plainStep(std::int64_t processors)
{
    StepSpec step;
    step.count = 40;
    step.need = { Millicores(processors), Mebibytes(1000), AcceleratorCount(0) };
    return step;
}

StepSpec fillerStep(const std::string &image, std::int64_t processors)
{
    StepSpec step = plainStep(processors);
    step.isFiller = true;
    step.image = ImageName(image);
    return step;
}

StepSpec servingStep(const std::string &image)
{
    StepSpec step = plainStep(6000);
    step.isLasting = true;
    step.tailTarget = Milliseconds(50);
    step.image = ImageName(image);
    return step;
}

StepSpec spreadStep(std::int64_t processors, std::uint32_t limit)
{
    StepSpec step = plainStep(processors);
    step.spreadLimit = limit;
    return step;
}

PlacementRequest requestFor(const StepSpec &step)
{
    return { { JobId("job"), 0, 0 }, step, ServiceName("office"), nullptr, false, {}, {}, false, {} };
}

/** Occupies some workers with serving tasks, some with fillers, and some with both. */
void fillSome(FleetFixture &box)
{
    for (int number = 0; number < workers; ++number) {
        if (number % 2 == 0) {
            box.occupy(number, JobId("serving"), servingStep(number % 4 == 0 ? "shop" : "desk"));
        }
        if (number % 3 == 0) {
            box.occupy(number, JobId("filling"), fillerStep("press", 5000 + 1000 * number));
        }
    }
}

/** Places the tasks of @p step one by one with @p choose, and returns their workers. */
template<typename Choose>
std::vector<WorkerId> placeAll(const StepSpec &step, Choose choose)
{
    std::vector<WorkerId> places;
    const auto shared = std::make_shared<const StepSpec>(step);
    for (std::uint32_t index = 0; index < step.count; ++index) {
        WorkerLink *const link = choose();
        if (link == nullptr) {
            break;
        }
        LiveRun run;
        run.ref = { { { JobId("job"), 0, 0 }, index }, RunNumber(1) };
        run.step = shared;
        link->reserve(std::move(run));
        places.push_back(link->entry().id);
    }
    return places;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Placing)

BOOST_AUTO_TEST_CASE(costTableChoosesSameWorkersAsIndividualPlacement)
{
    const std::vector<StepSpec> steps { plainStep(3000),          plainStep(20'000),        fillerStep("press", 4000),
                                        fillerStep("mill", 9000), servingStep("shop"),      servingStep("new"),
                                        spreadStep(2000, 1),      fillerStep("new", 12'000) };
    for (std::size_t number = 0; number < steps.size(); ++number) {
        const StepSpec &step = steps[number];
        BOOST_TEST_CONTEXT("step " << number)
        {
            FleetFixture individual(workers);
            fillSome(individual);
            const std::vector<WorkerId> expected = placeAll(
                step, [&individual, &step] { return individual.placer().choose(requestFor(step), individual.now()); });
            FleetFixture tabulated(workers);
            fillSome(tabulated);
            WorkerCostTable costs(tabulated.placer(), tabulated.fleet(), requestFor(step), tabulated.now());
            WorkerLink *last = nullptr;
            const std::vector<WorkerId> places = placeAll(step, [&costs, &last] {
                if (last != nullptr) {
                    costs.update(*last);
                }
                return last = costs.best();
            });
            BOOST_TEST(!places.empty());
            BOOST_TEST((places == expected));
        }
    }
}

BOOST_AUTO_TEST_CASE(costTableIsValidForEquivalentRequestsOnly)
{
    FleetFixture box(workers);
    const StepSpec step = plainStep(1000);
    const WorkerCostTable costs(box.placer(), box.fleet(), requestFor(step), box.now());
    BOOST_TEST(costs.isValidFor(requestFor(step)));
    const std::set<WorkerId> failedOn { WorkerId("3") };
    PlacementRequest failed = requestFor(step);
    failed.failedWorkers = &failedOn;
    PlacementRequest last = requestFor(step);
    last.isLastAttempt = true;
    PlacementRequest copy = requestFor(step);
    copy.excludedWorkers = { WorkerId("1") };
    PlacementRequest near = requestFor(step);
    near.rack = Label("r1");
    for (const PlacementRequest *request : { &failed, &last, &copy, &near }) {
        BOOST_TEST(!costs.isValidFor(*request));
    }
}

BOOST_AUTO_TEST_CASE(noRoomCacheCoversEqualAndLargerRequests)
{
    const StepSpec filler = fillerStep("press", 4000);
    NoRoomCache cache;
    cache.recordNoRoom(requestFor(filler));
    struct Case
    {
        std::string name;
        StepSpec step;
        bool isKnownNotToFit;
    };
    const std::vector<Case> cases { { "the same", filler, true },
                                    { "larger", fillerStep("press", 5000), true },
                                    { "smaller", fillerStep("press", 3000), false },
                                    { "another image", fillerStep("mill", 4000), false },
                                    { "no filler", plainStep(4000), false } };
    for (const Case &one : cases) {
        BOOST_TEST(cache.isKnownNotToFit(requestFor(one.step)) == one.isKnownNotToFit, one.name);
    }
    cache.clear();
    BOOST_TEST(!cache.isKnownNotToFit(requestFor(filler)));
}

BOOST_AUTO_TEST_CASE(noRoomCacheIgnoresRequestsWithOtherConstraints)
{
    const StepSpec step = plainStep(4000);
    const StepSpec spread = spreadStep(4000, 1);
    StepSpec labelled = step;
    labelled.requiredLabel = Label("gpu");
    PlacementRequest copy = requestFor(step);
    copy.excludedWorkers = { WorkerId("1") };
    PlacementRequest near = requestFor(step);
    near.rack = Label("r1");
    near.isRackNeeded = true;
    NoRoomCache cache;
    for (const PlacementRequest &request : { requestFor(spread), requestFor(labelled), copy, near }) {
        cache.recordNoRoom(request);
    }
    BOOST_TEST(!cache.isKnownNotToFit(requestFor(step)));
    cache.recordNoRoom(requestFor(step));
    BOOST_TEST(cache.isKnownNotToFit(requestFor(plainStep(9000))));
}

/**
 * Guards against a search through all workers by each of many steps that wait for one rack, and against taking a full
 * rack for a full fleet.
 */
BOOST_AUTO_TEST_CASE(noRoomOnARackIsKnownForThatRackOnly)
{
    const StepSpec step = plainStep(4000);
    PlacementRequest near = requestFor(step);
    near.rack = Label("r1");
    near.isRackNeeded = true;
    PlacementRequest preferred = near;
    preferred.isRackNeeded = false;
    PlacementRequest other = near;
    other.rack = Label("r2");
    NoRoomCache cache;
    cache.recordNoRoom(near);
    BOOST_TEST(cache.isKnownNotToFit(near));
    for (const PlacementRequest &request : { preferred, other, requestFor(step) }) {
        BOOST_TEST(!cache.isKnownNotToFit(request));
    }
    cache.recordNoRoom(preferred);
    for (const PlacementRequest &request : { near, preferred, other, requestFor(step) }) {
        BOOST_TEST(cache.isKnownNotToFit(request));
    }
}

BOOST_AUTO_TEST_CASE(requestsWithoutRoomDoNotExcludeLastingTasksThatMoreWorkersAreOpenTo)
{
    StepSpec lasting = plainStep(4000);
    lasting.isLasting = true;
    NoRoomCache cache;
    cache.recordNoRoom(requestFor(plainStep(4000)));
    BOOST_TEST(!cache.isKnownNotToFit(requestFor(lasting)));
    cache.recordNoRoom(requestFor(lasting));
    BOOST_TEST(cache.isKnownNotToFit(requestFor(lasting)));
    BOOST_TEST(cache.isKnownNotToFit(requestFor(plainStep(4000))));
}

/**
 * Guards against a filler that waits for as long as serving tasks that it disturbs run on all workers, though most
 * processors are unused.
 */
BOOST_AUTO_TEST_CASE(fillersThatDisturbEverywhereRunThrottledWhileMostIsUnused)
{
    FleetFixture box(2);
    NeighbourKnowledge knowledge;
    knowledge.servers = { { ImageName("shop"), { 10, 0.6 } } };
    knowledge.coefficients = { { { ImageName("press"), ImageName("shop") }, { 2.0, 0.01 } } };
    box.neighbours().adopt(knowledge);
    StepSpec server = servingStep("shop");
    server.need.processors = Millicores(1000);
    box.occupy(0, JobId("serving"), server);
    box.occupy(1, JobId("serving"), server);
    const StepSpec filler = fillerStep("press", 4000);
    PlacementRequest request = requestFor(filler);
    BOOST_TEST((box.placer().choose(request, box.now()) == nullptr));
    BOOST_TEST(box.placer().isMostlyUnused(request.service));
    NoRoomCache cache;
    cache.recordNoRoom(request);
    request.throttling = FillerThrottling::Accepted;
    BOOST_TEST((box.placer().choose(request, box.now()) != nullptr));
    BOOST_TEST(!cache.isKnownNotToFit(request));
    for (int worker = 0; worker < 2; ++worker) {
        for (int run = 0; run < 10; ++run) {
            box.occupy(worker, JobId("more" + std::to_string(run)), plainStep(2000));
        }
    }
    BOOST_TEST(!box.placer().isMostlyUnused(request.service));
}

/** A lasting task waited out the quarantine of the only worker with room, long after that worked again. */
BOOST_AUTO_TEST_CASE(longQuarantineIsShorterForLastingTasksWithoutOtherRoom)
{
    FleetFixture box(2);
    const WorkerId worker = box.fleet().links().begin()->first;
    const TaskRef task { { JobId("job"), 0, 0 }, 0 };
    TimePoint last = box.now();
    box.health().noteFailure(worker, task, last);
    while (!box.health().isQuarantined(worker, last + Milliseconds(3000))) {
        last += Milliseconds(10);
        if (!box.health().isQuarantined(worker, last)) {
            box.health().noteFailure(worker, task, last);
        }
    }
    const TimePoint soon = last + Milliseconds(1000);
    const TimePoint later = last + Milliseconds(2500);
    StepSpec lasting = plainStep(6000);
    lasting.isLasting = true;
    BOOST_TEST_REQUIRE(box.health().isQuarantined(worker, later));
    BOOST_TEST(box.placer().choose(requestFor(lasting), later)->entry().id != worker);
    const WorkerLink &other = *std::next(box.fleet().links().begin())->second;
    for (int run = 0; box.placer().totalCost(other, requestFor(lasting), later); ++run) {
        box.occupy(1, JobId(std::to_string(run)), lasting);
    }
    BOOST_TEST(box.placer().choose(requestFor(lasting), soon) == nullptr);
    BOOST_TEST_REQUIRE(box.placer().choose(requestFor(lasting), later) != nullptr);
    BOOST_TEST(box.placer().choose(requestFor(lasting), later)->entry().id == worker);
    BOOST_TEST(box.placer().choose(requestFor(plainStep(6000)), later) == nullptr);
    BOOST_TEST(!box.placer().hasOther(requestFor(lasting), other, 1000, later));
}

/** The writer of a large site had no time left for short jobs, as each placement assessed the runs of all workers. */
BOOST_AUTO_TEST_CASE(workerIsAssessedAgainOnlyAfterItsRunsChanged)
{
    FleetFixture box(workers);
    fillSome(box);
    const StepSpec filler = fillerStep("mill", 4000);
    const StepSpec server = servingStep("desk");
    for (int pass = 0; pass < 10; ++pass) {
        BOOST_TEST((box.placer().choose(requestFor(filler), box.now()) != nullptr));
        BOOST_TEST((box.placer().choose(requestFor(server), box.now()) != nullptr));
    }
    BOOST_TEST(box.interference().assessments() == static_cast<std::uint64_t>(workers));
    box.occupy(3, JobId("serving"), servingStep("desk"));
    BOOST_TEST((box.placer().choose(requestFor(filler), box.now()) != nullptr));
    BOOST_TEST(box.interference().assessments() == static_cast<std::uint64_t>(workers) + 1);
}

BOOST_AUTO_TEST_CASE(interferenceOfAWorkerMatchesTheModel)
{
    FleetFixture box(workers);
    NeighbourKnowledge knowledge;
    knowledge.servers = { { ImageName("shop"), { 8, 0.3 } }, { ImageName("desk"), { 12, 0.5 } } };
    knowledge.coefficients = { { { ImageName("press"), ImageName("desk") }, { 0.4, 0.1 } } };
    box.neighbours().adopt(knowledge);
    fillSome(box);
    const auto tolerance = boost::test_tools::tolerance(1e-9);
    WorkerLink &link = *box.fleet().find(WorkerId("0"));
    for (std::uint32_t index = 0; index < 3; ++index) {
        LiveRun run;
        run.ref = { { { JobId("reported"), 0, 0 }, index }, RunNumber(1) };
        run.step = std::make_shared<const StepSpec>(servingStep("desk"));
        run.gauge = 20 + 10 * index;
        link.reserve(std::move(run));
    }
    const WorkerInterference worker = box.interference().of(link);
    BOOST_TEST(worker.servers.size() == 2U);
    for (const WorkerInterference::Servers &servers : worker.servers) {
        const double added = box.neighbours().addedStress(link, servers.image);
        BOOST_TEST(box.interference().addedStress(worker, servers.image) == added, tolerance);
        std::uint32_t count = 0;
        double stress = -1;
        double peak = -1;
        for (const auto &[ref, run] : link.runs()) {
            if (run.isServing() && run.step->image == servers.image) {
                const double limit = box.neighbours().limit(*run.step);
                ++count;
                stress = std::max(stress, box.neighbours().stress(run).value_or(0) - limit);
                peak = std::max(peak, box.neighbours().expectedLoad(ref.task.step, *run.step) + added - limit);
            }
        }
        BOOST_TEST(servers.count == count);
        BOOST_TEST(servers.stressOverLimit == stress, tolerance);
        BOOST_TEST(servers.peakOverLimit == peak, tolerance);
    }
}

/** What a worker can carry changes without a change of its runs. */
BOOST_AUTO_TEST_CASE(changedCapacityIsAssessedAgain)
{
    FleetFixture box(2);
    StepSpec filler;
    filler.count = 1;
    filler.need = { Millicores(6000), Mebibytes(1000), AcceleratorCount(0) };
    filler.isFiller = true;
    filler.image = ImageName("press");
    box.occupy(0, JobId("filling"), filler);
    WorkerLink &link = *box.fleet().find(WorkerId("0"));
    const double before = box.interference().of(link).fillers.front().share;
    WorkerEntry entry = link.entry();
    entry.capacity.processors = Millicores(entry.capacity.processors.value() / 4);
    link.setEntry(entry);
    BOOST_TEST(box.interference().of(link).fillers.front().share == before * 4, boost::test_tools::tolerance(1e-9));
}

/** The table keeps the coefficients of one filler; what the model learns later has to show in them. */
BOOST_AUTO_TEST_CASE(coefficientsFollowTheModel)
{
    FleetFixture box(workers);
    fillSome(box);
    box.occupy(0, JobId("other"), servingStep("desk"));
    const WorkerLink &link = *box.fleet().find(WorkerId("0"));
    const auto checkAll = [&box, &link] {
        const WorkerInterference worker = box.interference().of(link);
        BOOST_TEST(worker.servers.size() == 2U);
        for (const char *const filler : { "mill", "press", "mill" }) {
            for (const WorkerInterference::Servers &servers : worker.servers) {
                BOOST_TEST(box.interference().coefficient(ImageName(filler), servers)
                           == box.neighbours().coefficient(ImageName(filler), servers.image));
            }
        }
    };
    checkAll();
    NeighbourKnowledge knowledge;
    knowledge.coefficients[{ ImageName("mill"), ImageName("desk") }] = { 0.25, 0.1 };
    box.neighbours().adopt(knowledge);
    BOOST_TEST(box.neighbours().coefficient(ImageName("mill"), ImageName("desk")) == 0.25);
    checkAll();
    box.interference().clear();
    checkAll();
}

BOOST_AUTO_TEST_SUITE_END()
