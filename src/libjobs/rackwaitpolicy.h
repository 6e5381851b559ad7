#pragma once

#include "units.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace currantring {

/** What is known of a step that prefers a rack, and of that rack, at one point in time. */
struct RackWaitInputs
{
    /** The submitter's estimate of a task's run time on the rack; 0 when there is none. */
    Milliseconds estimate {};
    /** How long the step has waited already. */
    Milliseconds waited {};
    /** Time until the latest start that meets the job's objective; nullopt for work without one. */
    std::optional<Milliseconds> slack;
    /** Tasks of the step that have no place. */
    std::size_t tasks = 1;
    /** Whether the tasks need all their places at once. */
    bool isGang = false;
    /** Whether the rack's schedulable workers could hold a task, or all of a gang, once the batch runs there end. */
    bool canEverFit = false;
    /** Whether other work of the class found no place anywhere. */
    bool isCapacityShort = false;
    /** Places for such tasks that are free on the rack. */
    double freePlaces = 0;
    /** Places that waiting work which precedes the step takes there. */
    double placesAhead = 0;
    /** Places that come free there in a millisecond. */
    double placesPerMs = 0;
};

/** Why a step's tasks wait for a rack, or don't. */
enum class RackWaitReason {
    /** The expected wait costs less than running elsewhere. */
    Worthwhile,
    /** Some tasks wait; capacity for the others comes free too late. */
    SomeWorthwhile,
    /** Capacity comes free too late for all of them. */
    TooSlow,
    /** No wait helps: the rack is unknown, has no schedulable worker, or is too small. */
    NeverFits,
    /** Running elsewhere costs nothing, or the work has no objective to measure a wait by. */
    NoCost,
    /** The step has waited for as long as running elsewhere would have cost. */
    WaitedEnough,
    /** A wait would miss the job's objective. */
    NoSlack,
};

/** Thread safety: reentrant. */
std::string_view rackWaitReasonName(RackWaitReason reason);

struct RackWaitDecision
{
    /** How many of the tasks wait for the rack; the others run elsewhere if there is room. */
    std::size_t waiting = 0;
    RackWaitReason reason = RackWaitReason::NoCost;
    /** Expected wait of the first task, or of the whole gang, in milliseconds; infinite when nothing comes free. */
    double expectedWait = 0;
    /** Expected cost of running one task elsewhere, in milliseconds. */
    double costElsewhere = 0;
};

/**
 * Decides how many tasks of a step wait for capacity on the rack that they run faster on.
 *
 * Load pattern: more tasks want a rack than it has room for, for a moment (other work ends there soon) or for long
 * (many jobs name the same rack). A task waits only if its expected wait, behind all work that precedes it, costs less
 * than the longer run elsewhere. That counts twice while other work waits for any place, and half where other steps
 * wait for the rack before it. A step never waits for longer in total than that, nor for longer than the job's
 * objective allows. Thread safety: reentrant.
 */
class RackWaitPolicy
{
public:
    /** @p farFactor: by how much a task's run time grows on another rack. */
    explicit RackWaitPolicy(double farFactor);

    [[nodiscard]] RackWaitDecision decide(const RackWaitInputs &inputs) const;

private:
    [[nodiscard]] double extraRunTime(const RackWaitInputs &inputs) const;

    double m_farFactor;
};

} // namespace currantring
