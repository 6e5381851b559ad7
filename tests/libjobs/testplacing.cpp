#include "fleetbox.h"
#include "pricelist.h"
#include "roommemo.h"

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

PlacementWish wishFor(const StepSpec &step)
{
    return { { JobId("job"), 0, 0 }, step, ServiceName("office"), nullptr, false, {}, {}, false, {} };
}

/** Some workers with serving tasks, some with fillers, some with both. */
void fillSome(FleetBox &box)
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

/** Where the tasks of @p step go one after the other, each by @p choose. */
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

BOOST_AUTO_TEST_CASE(pricesOfAStepLeadWherePricingAnewForEachTaskLeads)
{
    const std::vector<StepSpec> steps { plainStep(3000),          plainStep(20'000),        fillerStep("press", 4000),
                                        fillerStep("mill", 9000), servingStep("shop"),      servingStep("new"),
                                        spreadStep(2000, 1),      fillerStep("new", 12'000) };
    for (std::size_t number = 0; number < steps.size(); ++number) {
        const StepSpec &step = steps[number];
        BOOST_TEST_CONTEXT("step " << number)
        {
            FleetBox anew(workers);
            fillSome(anew);
            const std::vector<WorkerId> expected =
                placeAll(step, [&anew, &step] { return anew.placer().choose(wishFor(step), anew.now()); });
            FleetBox listed(workers);
            fillSome(listed);
            PriceList prices(listed.placer(), listed.fleet(), wishFor(step), listed.now());
            WorkerLink *last = nullptr;
            const std::vector<WorkerId> places = placeAll(step, [&prices, &last] {
                if (last != nullptr) {
                    prices.reprice(*last);
                }
                return last = prices.best();
            });
            BOOST_TEST(!places.empty());
            BOOST_TEST((places == expected));
        }
    }
}

BOOST_AUTO_TEST_CASE(pricesHoldForEqualTasksOnly)
{
    FleetBox box(workers);
    const StepSpec step = plainStep(1000);
    const PriceList prices(box.placer(), box.fleet(), wishFor(step), box.now());
    BOOST_TEST(prices.holdsFor(wishFor(step)));
    const std::set<WorkerId> failedOn { WorkerId("3") };
    PlacementWish failed = wishFor(step);
    failed.avoid = &failedOn;
    PlacementWish last = wishFor(step);
    last.isLastAttempt = true;
    PlacementWish copy = wishFor(step);
    copy.taken = { WorkerId("1") };
    PlacementWish near = wishFor(step);
    near.rack = Label("r1");
    for (const PlacementWish *wish : { &failed, &last, &copy, &near }) {
        BOOST_TEST(!prices.holdsFor(*wish));
    }
}

BOOST_AUTO_TEST_CASE(whatFoundNoRoomIsHopelessForLargerOnesOfItsKind)
{
    const StepSpec filler = fillerStep("press", 4000);
    RoomMemo memo;
    memo.noteNone(wishFor(filler));
    struct Case
    {
        std::string name;
        StepSpec step;
        bool isHopeless;
    };
    const std::vector<Case> cases { { "the same", filler, true },
                                    { "larger", fillerStep("press", 5000), true },
                                    { "smaller", fillerStep("press", 3000), false },
                                    { "another image", fillerStep("mill", 4000), false },
                                    { "no filler", plainStep(4000), false } };
    for (const Case &one : cases) {
        BOOST_TEST(memo.isHopeless(wishFor(one.step)) == one.isHopeless, one.name);
    }
    memo.clear();
    BOOST_TEST(!memo.isHopeless(wishFor(filler)));
}

BOOST_AUTO_TEST_CASE(whatIsKeptOffWorkersForReasonsOfItsOwnTellsNothing)
{
    const StepSpec step = plainStep(4000);
    const StepSpec spread = spreadStep(4000, 1);
    StepSpec labelled = step;
    labelled.requiredLabel = Label("gpu");
    PlacementWish copy = wishFor(step);
    copy.taken = { WorkerId("1") };
    PlacementWish near = wishFor(step);
    near.rack = Label("r1");
    near.isRackNeeded = true;
    RoomMemo memo;
    for (const PlacementWish &wish : { wishFor(spread), wishFor(labelled), copy, near }) {
        memo.noteNone(wish);
    }
    BOOST_TEST(!memo.isHopeless(wishFor(step)));
    memo.noteNone(wishFor(step));
    BOOST_TEST(memo.isHopeless(wishFor(plainStep(9000))));
}

BOOST_AUTO_TEST_SUITE_END()
