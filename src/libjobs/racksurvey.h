#pragma once

#include "rackturnover.h"
#include "workerfleet.h"

#include <map>
#include <vector>

namespace currantring {

/** Capacity that the runs of fillers, and other runs, free in a millisecond. */
struct ExpectedEnds
{
    CapacitySum ofFillers;
    CapacitySum ofOthers;
};

/**
 * The racks' schedulable workers and their runs, as of one placement pass; each rack is read when it is first asked
 * for.
 *
 * Precondition: the fleet outlives the object and doesn't change during its lifetime, except for runs that are added.
 * Thread safety: one thread at a time.
 */
class RackSurvey
{
public:
    RackSurvey(const WorkerFleet &fleet, TimePoint now);

    /** Tasks of @p step, at most @p maxCount, that the rack could hold at once if only lasting runs were there. */
    std::size_t capacityFor(const StepSpec &step, const ServiceName &service, const Label &rack, std::size_t maxCount);
    /** Tasks of @p step that the rack has free capacity for; 0 for fillers, whose room depends on interference. */
    std::size_t freePlaces(const StepSpec &step, const ServiceName &service, const Label &rack);
    /** Whether no worker of the rack had room for a task of @p step. */
    bool isFull(const StepSpec &step, const Label &rack);
    /** Capacity that comes free in a millisecond if the runs there take as long as estimated; reads all runs. */
    ExpectedEnds expectedEnds(const Label &rack);
    /** The resources of a task of @p step of which no worker of the rack had enough. */
    Resources scarceNeed(const StepSpec &step, const Label &rack);

private:
    struct Rack
    {
        std::vector<const WorkerLink *> workers;
        /** The most that any worker has free, for each resource. */
        Resources mostFree;
    };

    const Rack &read(const Label &rack);

    const WorkerFleet &m_fleet;
    TimePoint m_now;
    std::map<Label, Rack> m_racks;
};

} // namespace currantring
