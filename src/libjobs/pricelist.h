#pragma once

#include "runplacer.h"

#include <vector>

namespace currantring {

/**
 * What each worker costs for the equal tasks of one step, at one moment.
 *
 * Placing a task changes the price of its worker only, so that the others needn't be priced again for the next one.
 * Precondition: the arguments outlive the object, and nothing else changes the workers meanwhile. Thread safety: one
 * thread at a time.
 */
class PriceList
{
public:
    PriceList(const RunPlacer &placer, const WorkerFleet &fleet, PlacementWish wish, TimePoint now);

    /** Whether the prices hold for @p wish, which is for a task of the same step. */
    [[nodiscard]] bool holdsFor(const PlacementWish &wish) const;
    /** The cheapest worker; null when none has room. */
    [[nodiscard]] WorkerLink *best() const;
    /** A task was placed on @p link. */
    void reprice(const WorkerLink &link);

private:
    struct Row
    {
        WorkerLink *link = nullptr;
        double price = 0;
    };

    const RunPlacer &m_placer;
    PlacementWish m_wish;
    TimePoint m_now;
    std::vector<Row> m_rows;
};

} // namespace currantring
