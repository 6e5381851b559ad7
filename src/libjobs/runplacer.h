#pragma once

#include "fillercost.h"
#include "interferencetable.h"
#include "workerfleet.h"
#include "workerhealth.h"

#include <functional>
#include <set>
#include <vector>

namespace currantring {

/** Constraints and preferences for placing a task, in addition to its step's requirements. */
struct PlacementRequest
{
    StepRef ref;
    const StepSpec &step;
    ServiceName service;
    /** Workers where a run of the task failed, stalled or was refused as unhealthy; may be null. */
    const std::set<WorkerId> *failedWorkers = nullptr;
    /** Whether one more failure of the task fails the job. */
    bool isLastAttempt = false;
    /** Workers that already have a run of the task. */
    std::vector<WorkerId> excludedWorkers;
    /** Preferred rack; empty if there is none. */
    Label rack;
    /** Whether only workers of the preferred rack are eligible. */
    bool isRackNeeded = false;
    /** If set, returns whether the task is admitted to a worker. */
    std::function<bool(const WorkerLink &worker)> isAdmitted;
    /** For fillers. */
    FillerThrottling throttling = FillerThrottling::Avoided;

    /** Whether some workers are closed to this task that may be open to others of its step. */
    [[nodiscard]] bool hasTaskConstraints() const
    {
        return (failedWorkers != nullptr && !failedWorkers->empty()) || isLastAttempt || !excludedWorkers.empty();
    }
    void dropTaskConstraints()
    {
        failedWorkers = nullptr;
        isLastAttempt = false;
        excludedWorkers.clear();
    }
    /** Whether only the step and the rack determine which workers are eligible. */
    [[nodiscard]] bool hasOnlyStepConstraints() const
    {
        return !hasTaskConstraints() && !isAdmitted;
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
    RunPlacer(WorkerFleet &fleet, InterferenceTable &interference, const WorkerHealth &health);

    /** The worker with the lowest cost; null when none is eligible. */
    [[nodiscard]] WorkerLink *choose(const PlacementRequest &request, TimePoint now) const;
    /** The eligible workers in order of rising cost. */
    [[nodiscard]] std::vector<const WorkerLink *> candidates(const PlacementRequest &request, TimePoint now) const;
    /** How many tasks of the step, at most @p maxCount, an eligible worker has room for; at least 1. */
    [[nodiscard]] static std::size_t roomFor(const PlacementRequest &request, const WorkerLink &link,
                                             std::size_t maxCount);
    /** The racks with workers for @p service, in order of falling free processors. */
    [[nodiscard]] std::vector<Label> racks(const ServiceName &service) const;
    /** Whether tasks other than fillers reserve at most half of the processors of the workers for @p service. */
    [[nodiscard]] bool isMostlyUnused(const ServiceName &service) const;
    /** Whether the best worker isn't @p present, isn't closed by its health and has a load cost below @p maxCost. */
    [[nodiscard]] bool hasOther(const PlacementRequest &request, const WorkerLink &present, double maxCost,
                                TimePoint now) const;
    /** Sum of risk, load and rack cost; nullopt when the worker isn't eligible. */
    [[nodiscard]] std::optional<double> totalCost(const WorkerLink &link, const PlacementRequest &request,
                                                  TimePoint now) const;

private:
    [[nodiscard]] bool isEligible(const WorkerLink &link, const PlacementRequest &request) const;
    /** Whether tasks that don't last are kept off the worker because of its health. */
    [[nodiscard]] bool isClosedByHealth(const WorkerLink &link, TimePoint now) const;
    [[nodiscard]] bool isClosedToLasting(const WorkerLink &link, TimePoint now) const;
    /** Nullopt when the worker's health excludes it for the task. */
    [[nodiscard]] std::optional<double> riskCost(const WorkerLink &link, const PlacementRequest &request,
                                                 TimePoint now) const;
    [[nodiscard]] std::optional<double> loadCost(const WorkerLink &link, const PlacementRequest &request) const;
    [[nodiscard]] std::optional<double> fillerCost(const WorkerLink &link, const PlacementRequest &request) const;
    [[nodiscard]] double servingCost(const WorkerLink &link, const PlacementRequest &request) const;
    [[nodiscard]] static double batchCost(const WorkerLink &link);

    WorkerFleet &m_fleet;
    InterferenceTable &m_interference;
    const WorkerHealth &m_health;
};

} // namespace currantring
