#include "rackwaitpolicy.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace currantring {

namespace {

/** Upper bound on the total wait of a step, in milliseconds: an estimate may be too large by any factor. */
constexpr double maxWait = 3000;
/** Used in place of a missing estimate, and bounds the wait of such a step; in milliseconds. */
constexpr double assumedEstimate = 300;
/** While capacity is short, each millisecond that a run takes longer is one that another task waits longer. */
constexpr double costFactorWhenShort = 2;
/**
 * Fraction of the cost of running elsewhere that a step waits for while other steps wait for the rack before it. A
 * longer queue places no more tasks on the rack, and each task in it delays those behind. In the model of many jobs
 * that want one rack, one half lowers the cost by a fifth.
 */
constexpr double waitFractionWhenContended = 0.5;

bool hasEstimate(const RackWaitInputs &inputs)
{
    return inputs.estimate.count() > 0;
}

/** How long the step may go on waiting before the wait costs more than running elsewhere. */
double remainingWaitBudget(const RackWaitInputs &inputs, double costElsewhere)
{
    const double worthwhile = costElsewhere * (inputs.placesAhead > 0 ? waitFractionWhenContended : 1);
    const double most = std::min(worthwhile, hasEstimate(inputs) ? maxWait : assumedEstimate);
    return most - static_cast<double>(inputs.waited.count());
}

/**
 * How long a wait may be expected to last so that the objective is met: where it can be met elsewhere as well, the wait
 * must leave time for that, or half of the slack in case capacity comes free later than expected.
 */
double maxWaitForObjective(double slack, double extraRunTime)
{
    return slack >= extraRunTime ? std::max(slack - extraRunTime, slack / 2) : slack;
}

/** Expected time until the rack has had @p places free for this step. */
double timeUntilFree(const RackWaitInputs &inputs, double places)
{
    const double missing = inputs.placesAhead + places - inputs.freePlaces;
    if (missing <= 0) {
        return 0;
    }
    return inputs.placesPerMs > 0 ? missing / inputs.placesPerMs : std::numeric_limits<double>::infinity();
}

/** How many tasks are expected to get a place within @p bound. */
std::size_t tasksWithin(const RackWaitInputs &inputs, double bound)
{
    const auto tasks = static_cast<double>(inputs.tasks);
    if (inputs.isGang) {
        return timeUntilFree(inputs, tasks) <= bound ? inputs.tasks : 0;
    }
    const double places = inputs.freePlaces + inputs.placesPerMs * bound - inputs.placesAhead;
    return static_cast<std::size_t>(std::clamp(std::floor(places), 0.0, tasks));
}

} // namespace

std::string_view rackWaitReasonName(RackWaitReason reason)
{
    switch (reason) {
    case RackWaitReason::Worthwhile:
        return "worthwhile";
    case RackWaitReason::SomeWorthwhile:
        return "some-worthwhile";
    case RackWaitReason::TooSlow:
        return "too-slow";
    case RackWaitReason::NeverFits:
        return "never-fits";
    case RackWaitReason::NoCost:
        return "no-cost";
    case RackWaitReason::WaitedEnough:
        return "waited-enough";
    case RackWaitReason::NoSlack:
        break;
    }
    return "no-slack";
}

RackWaitPolicy::RackWaitPolicy(double farFactor)
    : m_farFactor(farFactor)
{
}

/** How much longer a task runs on another rack. */
double RackWaitPolicy::extraRunTime(const RackWaitInputs &inputs) const
{
    const double estimate = hasEstimate(inputs) ? static_cast<double>(inputs.estimate.count()) : assumedEstimate;
    return estimate * std::max(m_farFactor - 1, 0.0);
}

RackWaitDecision RackWaitPolicy::decide(const RackWaitInputs &inputs) const
{
    const double ownExtraRunTime = extraRunTime(inputs);
    RackWaitDecision decision;
    decision.costElsewhere = ownExtraRunTime * (inputs.isCapacityShort ? costFactorWhenShort : 1);
    decision.expectedWait = timeUntilFree(inputs, inputs.isGang ? static_cast<double>(inputs.tasks) : 1);
    const auto runElsewhere = [&decision](RackWaitReason reason) {
        decision.reason = reason;
        return decision;
    };
    if (!inputs.canEverFit) {
        return runElsewhere(RackWaitReason::NeverFits);
    }
    if (!inputs.slack || ownExtraRunTime <= 0) {
        return runElsewhere(RackWaitReason::NoCost);
    }
    const double waitBudget = remainingWaitBudget(inputs, decision.costElsewhere);
    if (waitBudget <= 0) {
        return runElsewhere(RackWaitReason::WaitedEnough);
    }
    const double allowed = maxWaitForObjective(static_cast<double>(inputs.slack->count()), ownExtraRunTime);
    if (allowed <= 0) {
        return runElsewhere(RackWaitReason::NoSlack);
    }
    // While capacity is short, other tasks take each place that comes free before a gang has all of its own.
    const bool isTakenByOthers = inputs.isGang && inputs.isCapacityShort && decision.expectedWait > 0;
    decision.waiting = isTakenByOthers ? 0 : tasksWithin(inputs, std::min(waitBudget, allowed));
    if (decision.waiting == 0) {
        return runElsewhere(allowed < waitBudget && !isTakenByOthers && tasksWithin(inputs, waitBudget) > 0
                                ? RackWaitReason::NoSlack
                                : RackWaitReason::TooSlow);
    }
    decision.reason = decision.waiting == inputs.tasks ? RackWaitReason::Worthwhile : RackWaitReason::SomeWorthwhile;
    return decision;
}

} // namespace currantring
