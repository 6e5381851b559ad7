#pragma once

#include "neighbourmodel.h"
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
    /** Precondition: @p fleet and @p neighbours outlive the object. */
    RunPlacer(WorkerFleet &fleet, const NeighbourModel &neighbours);

    /** Null when no worker has room now. */
    [[nodiscard]] WorkerLink *choose(const PlacementWish &wish) const;

private:
    [[nodiscard]] bool mayTake(const WorkerLink &link, const PlacementWish &wish) const;
    [[nodiscard]] std::optional<double> cost(const WorkerLink &link, const PlacementWish &wish) const;
    [[nodiscard]] std::optional<double> fillerCost(const WorkerLink &link, const PlacementWish &wish) const;
    [[nodiscard]] double serverCost(const WorkerLink &link, const PlacementWish &wish) const;
    [[nodiscard]] static double plainCost(const WorkerLink &link);

    WorkerFleet &m_fleet;
    const NeighbourModel &m_neighbours;
};

} // namespace currantring
