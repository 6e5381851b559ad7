#pragma once

#include "joburgency.h"

#include <tuple>
#include <vector>

namespace currantring {

/**
 * Sums of the work that waits for workers of one class of capacity, in the order in which it will be placed: by
 * priority, then deadline state, then the remaining work of its job.
 *
 * The sums are computed once for each placement pass that is looked at; a query takes logarithmic time. Thread safety:
 * one thread at a time.
 */
class WaitingWork
{
public:
    struct Amount
    {
        /** Work of tasks that could start now. */
        double open = 0;
        /** Work of later steps of the same jobs. */
        double later = 0;
    };

    /** @p jobWork: remaining work of the job that the waiting tasks belong to; @p work: that of the tasks. */
    void add(const JobUrgency &urgency, double jobWork, const Amount &work);
    /** Computes the sums; to be called after the last add(). */
    void sum();
    /** The waiting work that precedes a job with this urgency and remaining work, or is equal to it in the order. */
    [[nodiscard]] Amount preceding(const JobUrgency &urgency, double jobWork) const;

private:
    struct Entry
    {
        std::uint32_t priority = 0;
        DeadlineState deadlineState = DeadlineState::OnTime;
        double jobWork = 0;
        /** Before sum(): the work of the entry; after it: that of all entries up to this one. */
        Amount work;

        [[nodiscard]] auto rank() const
        {
            return std::tuple(priority, deadlineState, jobWork);
        }
    };

    std::vector<Entry> m_entries;
};

} // namespace currantring
