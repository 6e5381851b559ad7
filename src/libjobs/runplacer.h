#pragma once

#include "neighbourmodel.h"
#include "workerfleet.h"
#include "workerhealth.h"

#include <functional>
#include <set>
#include <vector>

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
    /** Workers that a copy of the task runs on; not taken. */
    std::vector<WorkerId> taken;
    /** The rack that the task does best on; empty when any will do. */
    Label rack;
    /** Another rack isn't taken. */
    bool isRackNeeded = false;
    /** When given, whether the task is admitted to a worker. */
    std::function<bool(const WorkerId &worker)> isAdmitted;

    /** Whether nothing but the step and the rack decides which workers will do. */
    [[nodiscard]] bool isPlain() const
    {
        return (avoid == nullptr || avoid->empty()) && !isLastAttempt && taken.empty() && !isAdmitted;
    }
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
    /** The workers that may take the task by room and soundness, the best first. */
    [[nodiscard]] std::vector<WorkerId> candidates(const PlacementWish &wish, std::size_t most, TimePoint now) const;
    /** The racks that have workers, those with the most free processors first. */
    [[nodiscard]] std::vector<Label> racks(const ServiceName &service) const;
    /** Whether another worker than @p present would take the task, at a cost below @p mostCost. */
    [[nodiscard]] bool hasOther(const PlacementWish &wish, const WorkerLink &present, double mostCost,
                                TimePoint now) const;
    /** Risk and cost together; nullopt when the worker can't take the task now. */
    [[nodiscard]] std::optional<double> price(const WorkerLink &link, const PlacementWish &wish, TimePoint now) const;

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
