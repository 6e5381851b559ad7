#pragma once

#include "virtualcluster.h"

#include <cstdint>
#include <string>
#include <vector>

namespace currantring {

/** What one random schedule of work and faults led to. */
struct ScheduleResult
{
    /** Broken promises; empty when all hold. */
    std::vector<std::string> violations;
    std::size_t tasksAccepted = 0;
    std::size_t requestsAnswered = 0;
    std::size_t faults = 0;
};

/**
 * Runs a cluster under random work and faults, heals it, waits for what was accepted, and checks every promise.
 *
 * Everything follows from @p seed. Thread safety: reentrant.
 */
ScheduleResult runRandomSchedule(std::uint64_t seed);

} // namespace currantring
