#pragma once

#include "jobids.h"
#include "units.h"

#include <string>
#include <vector>

namespace currantring {

/** Whether a worker stays. */
enum class WorkerStanding { Ready, Draining };

/** One worker as it describes itself in the platform's list. */
struct WorkerEntry
{
    WorkerId id;
    WorkerLife life;
    Address address;
    DataCentreId dataCentre;
    /** The service whose queues the worker's tasks come from. */
    ServiceName service;
    /** Kind and rack. */
    std::vector<Label> labels;
    Label rack;
    Resources capacity;
    WorkerStanding standing = WorkerStanding::Ready;
    /** Draining: least time that is left when the entry was written. */
    Milliseconds remaining {};

    [[nodiscard]] bool hasLabel(const Label &label) const;
    bool operator==(const WorkerEntry &) const = default;
};

} // namespace currantring
