#pragma once

#include "ids.h"
#include "units.h"

namespace currantring {

/**
 * Names the processors that a task competes for: those that a service's workers reserve for tasks, or those that they
 * leave idle, which best-effort tasks use.
 */
struct CapacityClass
{
    ServiceName service;
    /** The tasks are best effort; see StepSpec::isFiller. */
    bool isBestEffort = false;

    auto operator<=>(const CapacityClass &) const = default;
};

/** Processors of a service's schedulable workers. */
struct ServiceCapacity
{
    Millicores total;
    /** Reserved by running tasks other than best-effort ones. */
    Millicores counted;
    /** Demanded by running best-effort tasks. */
    Millicores bestEffort;
};

} // namespace currantring
