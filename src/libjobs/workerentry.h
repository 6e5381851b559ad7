#pragma once

#include "jobids.h"
#include "units.h"

#include <string>
#include <vector>

namespace currantring {

/** Whether a worker is in service or about to leave. */
enum class WorkerStanding { Ready, Draining };

/** A worker's own entry in the platform's list. */
struct WorkerEntry
{
    WorkerId id;
    WorkerLife life;
    Address address;
    DataCentreId dataCentre;
    /** The service whose queues supply the worker's tasks. */
    ServiceName service;
    /** Machine kind and rack. */
    std::vector<Label> labels;
    Label rack;
    Resources capacity;
    WorkerStanding standing = WorkerStanding::Ready;
    /** Draining workers: minimum time left, counted from when the entry was written. */
    Milliseconds remaining {};

    [[nodiscard]] bool hasLabel(const Label &label) const;
    bool operator==(const WorkerEntry &) const = default;
};

} // namespace currantring
