#pragma once

#include "job.h"

#include <cstddef>
#include <map>

namespace currantring {

/**
 * Bytes that a writer holds for a job, estimated from above: its text, its steps, and its tasks under way.
 *
 * Thread safety: reentrant.
 */
std::size_t estimatedBytes(const Job &job);
/** The same for a job that is accepted now. Thread safety: reentrant. */
std::size_t estimatedBytes(const JobSpec &spec);

/** Sums of the estimated memory of jobs, over all and by queue. Thread safety: one thread at a time. */
class JobMemory
{
public:
    void add(const QueueName &queue, std::size_t bytes);
    /** Precondition: at least @p bytes of the queue were added. */
    void remove(const QueueName &queue, std::size_t bytes);
    [[nodiscard]] std::size_t total() const;
    [[nodiscard]] std::size_t of(const QueueName &queue) const;

private:
    std::map<QueueName, std::size_t> m_queues;
    std::size_t m_total = 0;
};

} // namespace currantring
