#pragma once

#include "workerfleet.h"

#include <set>

namespace currantring {

/** What a task must have and avoid, beside its step's needs. */
struct PlacementWish
{
    StepRef ref;
    const StepSpec &step;
    ServiceName service;
    /** Workers where the task failed before; taken only when there is no other. */
    const std::set<WorkerId> *avoid = nullptr;
};

/**
 * Chooses the worker for one task.
 *
 * Thread safety: one thread at a time.
 */
class RunPlacer
{
public:
    /** Precondition: @p fleet outlives the object. */
    explicit RunPlacer(WorkerFleet &fleet);

    /** Null when no worker has room now. */
    [[nodiscard]] WorkerLink *choose(const PlacementWish &wish) const;

private:
    [[nodiscard]] bool mayTake(const WorkerLink &link, const PlacementWish &wish) const;
    [[nodiscard]] static double cost(const WorkerLink &link, const PlacementWish &wish);

    WorkerFleet &m_fleet;
};

} // namespace currantring
