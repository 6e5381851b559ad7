#pragma once

#include "neighbourmodel.h"
#include "workerfleet.h"
#include "workerhealth.h"

#include <set>

namespace currantring {

/** What a task must have and avoid, beside its step's needs. */
struct PlacementWish
{
    StepRef ref;
    const StepSpec &step;
    ServiceName service;
    /** Workers where the task failed or came to nothing before. */
    const std::set<WorkerId> *avoid = nullptr;
    /** A further failure would be the end of the job. */
    bool isLastAttempt = false;
};

/**
 * Chooses the worker for one task.
 *
 * Thread safety: one thread at a time.
 */
class RunPlacer
{
public:
    /** Precondition: the arguments outlive the object. */
    RunPlacer(WorkerFleet &fleet, const NeighbourModel &neighbours, const WorkerHealth &health);

    /** Null when no worker has room now. */
    [[nodiscard]] WorkerLink *choose(const PlacementWish &wish, TimePoint now) const;
    /** Whether another worker than @p present would take the task, at a cost below @p mostCost. */
    [[nodiscard]] bool hasOther(const PlacementWish &wish, const WorkerLink &present, double mostCost,
                                TimePoint now) const;

private:
    [[nodiscard]] bool mayTake(const WorkerLink &link, const PlacementWish &wish) const;
    /** Nullopt when the worker is too unsound for the task. */
    [[nodiscard]] std::optional<double> riskCost(const WorkerLink &link, const PlacementWish &wish,
                                                 TimePoint now) const;
    [[nodiscard]] std::optional<double> cost(const WorkerLink &link, const PlacementWish &wish) const;
    [[nodiscard]] std::optional<double> fillerCost(const WorkerLink &link, const PlacementWish &wish) const;
    [[nodiscard]] double serverCost(const WorkerLink &link, const PlacementWish &wish) const;
    [[nodiscard]] static double plainCost(const WorkerLink &link);

    WorkerFleet &m_fleet;
    const NeighbourModel &m_neighbours;
    const WorkerHealth &m_health;
};

} // namespace currantring
