#pragma once

#include "joburgency.h"

#include <tuple>
#include <vector>

namespace currantring {

/**
 * Sums of the work that waits for workers of one class of capacity, in the order in which it will be placed.
 *
 * The sums are computed once for each placement pass that is looked at; a query takes logarithmic time. Thread safety:
 * one thread at a time.
 */
class WaitingWork
{
public:
    /** In millicore-milliseconds. */
    struct Amount
    {
        /** Work of tasks that could start now. */
        double open = 0;
        /** Work of later steps of the same jobs. */
        double later = 0;
    };

    /** @p urgency: that of the job; @p work: that of its waiting tasks. */
    void add(const JobUrgency &urgency, const Amount &work);
    /** Computes the sums; to be called after the last add(). */
    void sum();
    /**
     * The waiting work that precedes a job with this urgency, or differs from it in the latest start at most.
     * Precondition: sum() was called after the last add().
     */
    [[nodiscard]] Amount preceding(const JobUrgency &urgency) const;

private:
    struct Entry
    {
        std::uint32_t priority = 0;
        DeadlineState deadlineState = DeadlineState::OnTime;
        double scaledWork = 0;
        /** Before sum(): the work of the entry; after it: that of all entries up to this one. */
        Amount work;

        /** Without the kind of work, as lasting work isn't added. */
        [[nodiscard]] auto rank() const
        {
            return std::tuple(priority, deadlineState, scaledWork);
        }
    };

    std::vector<Entry> m_entries;
};

} // namespace currantring
