#pragma once

#include "runplacer.h"

#include <vector>

namespace currantring {

/**
 * Cost of each eligible worker for equivalent tasks of one step, at one point in time.
 *
 * Placing a task changes the cost of its worker only, so the costs of the others are reused for the next task.
 * Precondition: the arguments outlive the object, and nothing else changes the workers during its lifetime. Thread
 * safety: one thread at a time.
 */
class WorkerCostTable
{
public:
    WorkerCostTable(const RunPlacer &placer, const WorkerFleet &fleet, PlacementRequest request, TimePoint now);

    /** Whether the costs apply to @p request, which is for a task of the same step. */
    [[nodiscard]] bool isValidFor(const PlacementRequest &request) const;
    /** The worker with the lowest cost; null when none is eligible. */
    [[nodiscard]] WorkerLink *best() const;
    /** Recomputes the cost of @p link after a task was placed on it. */
    void update(const WorkerLink &link);

private:
    struct Row
    {
        WorkerLink *link = nullptr;
        double totalCost = 0;
    };

    const RunPlacer &m_placer;
    PlacementRequest m_request;
    TimePoint m_now;
    std::vector<Row> m_rows;
};

} // namespace currantring
