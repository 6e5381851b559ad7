#pragma once

#include "rackwaitpolicy.h"

#include <string>
#include <vector>

namespace currantring {

/** Places that come free on a rack at an even rate for a time. */
struct PlacesFreed
{
    double from = 0;
    double to = 0;
    double perSecond = 0;
};

/** Steps that want the rack, at an even rate for a time. */
struct StepsArriving
{
    double from = 0;
    double to = 0;
    double perSecond = 0;
};

/** One load pattern of the model; times are in milliseconds from the beginning. */
struct RackWaitRow
{
    std::string name;
    std::vector<PlacesFreed> freed {};
    std::vector<StepsArriving> arriving {};
    std::uint32_t tasks = 10;
    double farFactor = 2;
    Milliseconds estimate { 640 };
    /** How long a task really takes on the rack. */
    Milliseconds duration { 640 };
    /** How long after its arrival a step may start and still meet its job's objective. */
    Milliseconds slack { 10'000 };
    /** Ratio of the rate by the estimates of the runs on the rack to the true one. */
    double estimateError = 1;
    bool isGang = false;
    bool canEverFit = true;
    /** Other work waits without a place, and waits longer for each millisecond that a run takes longer. */
    bool isCapacityShort = false;
    /** Whether a place that no step takes at once stays free; otherwise other work takes it. */
    bool areKept = false;
};

/** What a rule costs in a row: all that tasks wait, run longer, and take from others. */
struct RackWaitCost
{
    double total = 0;
    std::size_t near = 0;
    std::size_t away = 0;
    /** The longest wait beyond a step's slack. */
    double longestOverSlack = 0;
};

enum class RackWaitRule {
    /** Each step waits as long as its estimate, from 300 to 3,000 ms. */
    FixedWait,
    Policy,
};

/**
 * Plays a row: racks with places that come free at given times, and steps in the order of their arrival. Places
 * elsewhere are always free. Thread safety: reentrant.
 */
RackWaitCost playRackWaits(const RackWaitRow &row, RackWaitRule rule);
/** The lowest cost that any rule could have that knows all times in advance. Thread safety: reentrant. */
double bestRackWaits(const RackWaitRow &row);

} // namespace currantring
