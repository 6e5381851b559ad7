#include "fleetfixture.h"
#include "rackwaitmodel.h"
#include "rackwaits.h"

#include <cmath>
#include <iomanip>
#include <iostream>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };
constexpr std::int64_t day = 86'400'000;

StepSpec plainStep(std::int64_t processors, Milliseconds estimate = Milliseconds(640))
{
    StepSpec step;
    step.count = 10;
    step.need = { Millicores(processors), Mebibytes(1000), AcceleratorCount(0) };
    step.estimate = estimate;
    return step;
}

StepSpec lastingStep(std::int64_t processors)
{
    StepSpec step = plainStep(processors);
    step.isLasting = true;
    step.tailTarget = Milliseconds(50);
    return step;
}

/** A step of ten tasks of 640 ms that has just found its rack full, where a place comes free every 100 ms. */
RackWaitInputs usualInputs()
{
    RackWaitInputs inputs;
    inputs.estimate = Milliseconds(640);
    inputs.slack = Milliseconds(10'000);
    inputs.tasks = 10;
    inputs.canEverFit = true;
    inputs.placesPerMs = 0.01;
    return inputs;
}

template<typename Change>
RackWaitInputs changedInputs(Change change)
{
    RackWaitInputs inputs = usualInputs();
    change(inputs);
    return inputs;
}

/** The load patterns of the specification, and errors of the estimates beside them. */
std::vector<RackWaitRow> rackWaitRows()
{
    const std::vector<PlacesFreed> tenPerSecond { { -3000, 12'000, 10 } };
    const std::vector<StepsArriving> onePerSecond { { 0, 5000, 1 } };
    // 60 % of 18.4 short jobs of 1.6 steps each, and what other work leaves of a rack.
    const std::vector<StepsArriving> hot { { 0, 5500, 17.7 } };
    const std::vector<PlacesFreed> rackInUse { { -3000, 12'000, 80 } };
    const Milliseconds days(2 * day);
    std::vector<RackWaitRow> rows {
        { .name = "a place every 100 ms", .freed = tenPerSecond, .arriving = onePerSecond },
        { .name = "the same, cheap elsewhere", .freed = tenPerSecond, .arriving = onePerSecond, .farFactor = 1.5 },
        { .name = "the same, dear elsewhere", .freed = tenPerSecond, .arriving = onePerSecond, .farFactor = 3 },
        { .name = "the same, capacity short",
          .freed = tenPerSecond,
          .arriving = onePerSecond,
          .isCapacityShort = true },
        { .name = "the same, little slack",
          .freed = tenPerSecond,
          .arriving = onePerSecond,
          .slack = Milliseconds(450) },
        { .name = "the same, no estimate",
          .freed = tenPerSecond,
          .arriving = onePerSecond,
          .estimate = Milliseconds(0) },
        { .name = "the same, no estimate and no duration",
          .freed = tenPerSecond,
          .arriving = onePerSecond,
          .estimate = Milliseconds(0),
          .duration = Milliseconds(0) },
        { .name = "the same, estimate a tenth",
          .freed = tenPerSecond,
          .arriving = onePerSecond,
          .estimate = Milliseconds(64) },
        { .name = "the same, estimate ten times",
          .freed = tenPerSecond,
          .arriving = onePerSecond,
          .estimate = Milliseconds(6400) },
        { .name = "the same, estimate of days",
          .freed = tenPerSecond,
          .arriving = onePerSecond,
          .estimate = Milliseconds(day),
          .slack = days },
        { .name = "the same, runs there end ten times faster",
          .freed = tenPerSecond,
          .arriving = onePerSecond,
          .estimateError = 0.1 },
        { .name = "the same, runs there end ten times slower",
          .freed = tenPerSecond,
          .arriving = onePerSecond,
          .estimateError = 10 },
        { .name = "permanently full", .freed = {}, .arriving = onePerSecond },
        { .name = "permanently full, estimate of days",
          .freed = {},
          .arriving = onePerSecond,
          .estimate = Milliseconds(day),
          .slack = days },
        { .name = "full from now on", .freed = { { -3000, 0, 80 } }, .arriving = onePerSecond },
        { .name = "full for a second", .freed = { { 1000, 12'000, 50 } }, .arriving = onePerSecond },
        { .name = "60 % of short jobs for 5.5 s", .freed = rackInUse, .arriving = hot },
        { .name = "60 % of short jobs, objective of 1.75 s",
          .freed = rackInUse,
          .arriving = hot,
          .slack = Milliseconds(750) },
        { .name = "60 % of short jobs, capacity short", .freed = rackInUse, .arriving = hot, .isCapacityShort = true },
        { .name = "60 % of short jobs, nothing else there", .freed = { { -3000, 12'000, 196 } }, .arriving = hot },
        { .name = "evacuated or unknown rack", .freed = {}, .arriving = onePerSecond, .canEverFit = false },
    };
    const std::vector<StepsArriving> once { { -1000, 10, 1 } };
    for (RackWaitRow gang :
         { RackWaitRow { .name = "gang wider than any rack", .freed = { { -100, 8000, 25 } }, .canEverFit = false },
           RackWaitRow { .name = "gang that has room in 400 ms", .freed = { { 0, 8000, 25 } } },
           RackWaitRow { .name = "gang that has room in 2 s", .freed = { { 0, 8000, 5 } } } }) {
        gang.arriving = once;
        gang.tasks = 10;
        gang.isGang = true;
        gang.areKept = gang.canEverFit;
        rows.push_back(gang);
    }
    return rows;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RackWait)

/** Each row guards against a wait that costs more than it can gain, or a run elsewhere that costs more than a wait. */
BOOST_AUTO_TEST_CASE(decisionsForSingleSteps)
{
    using Inputs = RackWaitInputs;
    using Reason = RackWaitReason;
    struct Case
    {
        const char *name;
        double farFactor;
        RackWaitInputs inputs;
        std::size_t waiting;
        Reason reason;
    };
    const std::vector<Case> cases {
        { "a place every 100 ms", 2, usualInputs(), 6, Reason::SomeWorthwhile },
        { "a cheap run elsewhere", 1.5, usualInputs(), 3, Reason::SomeWorthwhile },
        { "a dear run elsewhere", 3, usualInputs(), 10, Reason::Worthwhile },
        { "no cost elsewhere", 1, usualInputs(), 0, Reason::NoCost },
        { "nothing comes free", 2, changedInputs([](Inputs &one) { one.placesPerMs = 0; }), 0, Reason::TooSlow },
        { "unknown rack", 2, changedInputs([](Inputs &one) { one.canEverFit = false; }), 0, Reason::NeverFits },
        { "two places precede", 2, changedInputs([](Inputs &one) { one.placesAhead = 2; }), 1, Reason::SomeWorthwhile },
        { "four places precede", 2, changedInputs([](Inputs &one) { one.placesAhead = 4; }), 0, Reason::TooSlow },
        { "many precede", 2, changedInputs([](Inputs &one) { one.placesAhead = 60; }), 0, Reason::TooSlow },
        { "capacity is short", 2, changedInputs([](Inputs &one) { one.isCapacityShort = true; }), 10,
          Reason::Worthwhile },
        { "free places", 2, changedInputs([](Inputs &one) { one.freePlaces = 4; }), 10, Reason::Worthwhile },
        { "half waited", 2, changedInputs([](Inputs &one) { one.waited = Milliseconds(320); }), 3,
          Reason::SomeWorthwhile },
        { "waited enough", 2, changedInputs([](Inputs &one) { one.waited = Milliseconds(640); }), 0,
          Reason::WaitedEnough },
        { "late", 2, changedInputs([](Inputs &one) { one.slack = Milliseconds(-1); }), 0, Reason::NoSlack },
        { "elsewhere would be late, here not", 2, changedInputs([](Inputs &one) { one.slack = Milliseconds(300); }), 3,
          Reason::SomeWorthwhile },
        { "the wait must leave half of the slack", 2, changedInputs([](Inputs &one) { one.slack = Milliseconds(640); }),
          3, Reason::SomeWorthwhile },
        { "or time to run elsewhere", 2, changedInputs([](Inputs &one) { one.slack = Milliseconds(1160); }), 5,
          Reason::SomeWorthwhile },
        { "no time for any wait", 2, changedInputs([](Inputs &one) { one.slack = Milliseconds(50); }), 0,
          Reason::NoSlack },
        { "lasting", 2, changedInputs([](Inputs &one) { one.slack.reset(); }), 0, Reason::NoCost },
        { "no estimate", 2, changedInputs([](Inputs &one) { one.estimate = Milliseconds(0); }), 3,
          Reason::SomeWorthwhile },
        { "no estimate, dear elsewhere", 3, changedInputs([](Inputs &one) { one.estimate = Milliseconds(0); }), 3,
          Reason::SomeWorthwhile },
        { "an estimate of days", 2, changedInputs([](Inputs &one) {
              one.estimate = Milliseconds(day);
              one.slack = Milliseconds(2 * day);
              one.tasks = 100;
          }),
          30, Reason::SomeWorthwhile },
        { "days, waited for the longest time", 2, changedInputs([](Inputs &one) {
              one.estimate = Milliseconds(day);
              one.slack = Milliseconds(2 * day);
              one.waited = Milliseconds(3000);
          }),
          0, Reason::WaitedEnough },
        { "gang that fits in time", 2, changedInputs([](Inputs &one) {
              one.isGang = true;
              one.freePlaces = 5;
          }),
          10, Reason::Worthwhile },
        { "gang that doesn't", 2, changedInputs([](Inputs &one) { one.isGang = true; }), 0, Reason::TooSlow },
        { "gang while others take each place", 2, changedInputs([](Inputs &one) {
              one.isGang = true;
              one.freePlaces = 5;
              one.isCapacityShort = true;
          }),
          0, Reason::TooSlow },
    };
    for (const Case &one : cases) {
        const RackWaitDecision decision = RackWaitPolicy(one.farFactor).decide(one.inputs);
        BOOST_TEST(decision.waiting == one.waiting, one.name << ": " << decision.waiting);
        BOOST_TEST((decision.reason == one.reason), one.name << ": " << rackWaitReasonName(decision.reason));
    }
}

/**
 * Guards against a rate of freed capacity that is distorted by an idle time before the rack filled, or by ends long
 * past.
 */
BOOST_AUTO_TEST_CASE(turnoverFollowsTheRecentEnds)
{
    const Label rack("r0");
    const StepSpec step = plainStep(4000);
    RackTurnover turnover;
    TimePoint now = start + Milliseconds(60'000);
    const auto rate = [&turnover, &rack, &step, &now](double expected) {
        CapacitySum sum;
        sum.add(step.need, expected);
        return turnover.rate(rack, false, now, sum).placesFor(step.need);
    };
    BOOST_TEST(rate(0) == 0);
    BOOST_TEST(rate(0.1) == 0.1, boost::test_tools::tolerance(0.01));
    const auto endEvery = [&turnover, &rack, &step, &now](Milliseconds interval, int count) {
        for (int number = 0; number < count; ++number) {
            now += interval;
            turnover.noteEnd(rack, step, now);
        }
    };
    endEvery(Milliseconds(10), 300);
    BOOST_TEST(rate(0.1) == 0.1, boost::test_tools::tolerance(0.05));
    const double half = rate(0);
    BOOST_TEST(half == 0.05, boost::test_tools::tolerance(0.05));
    now += Milliseconds(20'000);
    BOOST_TEST(rate(0) < half / 4);
    endEvery(Milliseconds(100), 40);
    BOOST_TEST(rate(0.01) == 0.01, boost::test_tools::tolerance(0.1));
    endEvery(Milliseconds(3000), 40);
    BOOST_TEST(rate(1.0 / 3000) == 1.0 / 3000, boost::test_tools::tolerance(0.1));
    BOOST_TEST(turnover.rate(rack, true, now, {}).tasks == 0);
    BOOST_TEST(turnover.rate(Label("r1"), false, now, {}).tasks == 0);
}

/** Guards against waits for a rack on which no worker could ever take the tasks. */
BOOST_AUTO_TEST_CASE(racksThatCannotTakeTheTasks)
{
    // Three workers of 24 to 28 processors on each rack.
    struct Case
    {
        const char *name;
        StepSpec step;
        std::string rack;
        std::size_t tasks;
        std::size_t capacity;
    };
    StepSpec labelled = plainStep(4000);
    labelled.requiredLabel = Label("gpu");
    StepSpec spread = plainStep(4000);
    spread.spreadLimit = 1;
    const std::vector<Case> cases {
        { "usual", plainStep(4000), "r0", 10, 10 },
        { "unknown rack", plainStep(4000), "r9", 1, 0 },
        { "no rack", plainStep(4000), "", 1, 0 },
        { "too large for a worker", plainStep(30'000), "r0", 1, 0 },
        { "wider than the rack", plainStep(12'000), "r0", 10, 6 },
        { "label", labelled, "r0", 1, 0 },
        { "one on each worker", spread, "r0", 10, 3 },
        { "full of lasting runs", plainStep(4000), "r1", 1, 0 },
        { "draining", plainStep(4000), "r2", 1, 0 },
    };
    FleetFixture box(12);
    for (int number = 3; number < 6; ++number) {
        box.occupy(number, JobId("lasting"), lastingStep(25'000));
    }
    for (int number = 6; number < 9; ++number) {
        WorkerLink &link = *box.fleet().find(WorkerId(std::to_string(number)));
        WorkerEntry entry = link.entry();
        entry.standing = WorkerStanding::Draining;
        link.setEntry(entry);
    }
    for (const Case &one : cases) {
        RackSurvey survey(box.fleet(), box.now());
        const std::size_t capacity = survey.capacityFor(one.step, ServiceName("office"), Label(one.rack), one.tasks);
        BOOST_TEST(capacity == one.capacity, one.name << ": " << capacity);
        BOOST_TEST(survey.capacityFor(one.step, ServiceName("other"), Label(one.rack), one.tasks) == 0U, one.name);
    }
}

/**
 * Guards against counting batch runs as taken for good, and against expecting the end of runs that exceed their
 * estimates.
 */
BOOST_AUTO_TEST_CASE(batchRunsMakeARackFullButComeToAnEnd)
{
    FleetFixture box(12);
    const StepSpec step = plainStep(4000);
    const Label rack("r0");
    BOOST_TEST(!RackSurvey(box.fleet(), box.now()).isFull(step, rack));
    for (int number = 0; number < 3; ++number) {
        box.occupy(number, JobId("batch"), plainStep(22'000, Milliseconds(1000)));
    }
    RackSurvey survey(box.fleet(), box.now());
    BOOST_TEST(survey.isFull(step, rack) == false); // The largest worker has 26 processors.
    BOOST_TEST(survey.freePlaces(step, ServiceName("office"), rack) == 1U);
    const StepSpec larger = plainStep(5000);
    BOOST_TEST(survey.isFull(larger, rack));
    BOOST_TEST(survey.capacityFor(larger, ServiceName("office"), rack, 10) == 10U);
    BOOST_TEST(survey.expectedEnds(rack).ofOthers.placesFor(survey.scarceNeed(larger, rack)) == 3 * 22.0 / 5 / 1000,
               boost::test_tools::tolerance(0.001));
    // Runs that last for a multiple of their estimates tell nothing of when they end.
    RackSurvey later(box.fleet(), box.now() + Milliseconds(2500));
    BOOST_TEST(later.expectedEnds(rack).ofOthers.tasks == 0);
}

/**
 * Guards against waits that cost more than the fixed wait, which is expensive where a rack stays full or many steps
 * want it. The table shows the fixed wait, the policy, and the best that is possible with all times known in advance.
 */
BOOST_AUTO_TEST_CASE(policyCostsNoMoreThanAFixedWait)
{
    double fixedTotal = 0;
    double policyTotal = 0;
    std::cout << std::left << std::setw(46) << "load pattern" << std::right << std::setw(11) << "fixed ms"
              << std::setw(11) << "policy ms" << std::setw(11) << "best ms" << std::setw(12) << "fixed near"
              << std::setw(13) << "policy near" << '\n';
    for (const RackWaitRow &row : rackWaitRows()) {
        const RackWaitCost fixed = playRackWaits(row, RackWaitRule::FixedWait);
        const RackWaitCost policy = playRackWaits(row, RackWaitRule::Policy);
        const double best = bestRackWaits(row);
        std::cout << std::left << std::setw(46) << row.name << std::right << std::fixed << std::setprecision(0)
                  << std::setw(11) << fixed.total << std::setw(11) << policy.total << std::setw(11) << best
                  << std::setw(12) << fixed.near << std::setw(13) << policy.near << '\n';
        BOOST_TEST(policy.total <= fixed.total, row.name);
        BOOST_TEST(best <= policy.total, row.name);
        BOOST_TEST(policy.near + policy.away == fixed.near + fixed.away, row.name);
        // Nothing comes free, or none of it serves the step: any wait is lost.
        if (row.freed.empty() || !row.canEverFit) {
            BOOST_TEST(policy.total == best, row.name);
        }
        fixedTotal += fixed.total;
        policyTotal += policy.total;
        // A pass ends a wait up to 20 ms late.
        BOOST_TEST(policy.longestOverSlack <= 20, row.name);
    }
    BOOST_TEST(policyTotal < 0.75 * fixedTotal);
}

BOOST_AUTO_TEST_SUITE_END()
