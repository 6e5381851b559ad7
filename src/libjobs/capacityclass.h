#pragma once

#include "ids.h"
#include "units.h"

namespace currantring {

/** The processors that tasks compete for: those of a service's workers, either counted or what others leave idle. */
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
    /** Held by running tasks that count, and asked for by running best-effort tasks. */
    Millicores counted;
    Millicores bestEffort;
};

} // namespace currantring
