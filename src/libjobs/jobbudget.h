#pragma once

#include "jobmemory.h"
#include "workrate.h"

#include <optional>
#include <string_view>

namespace currantring {

/** Whether the memory allows a job to be accepted. */
enum class JobRoom {
    Free,
    /** It will fit once other jobs are over. */
    Full,
    /** It doesn't fit into what one queue may hold of an empty budget. */
    NeverFits,
};

/** Name for logs. Thread safety: reentrant. */
std::string_view jobRoomName(JobRoom room);

/**
 * Refuses jobs that would take the writer's memory beyond a budget, before anything of them is recorded.
 *
 * For callers who submit faster than jobs end, large jobs, or jobs that never end: without it each process that becomes
 * the writer runs out of memory in turn. A queue may hold as much as is left free after it, so that a single one takes
 * half of the budget at most, and what others hold lowers the share of each. Jobs that were accepted under a larger
 * budget stay. Thread safety: one thread at a time.
 */
class JobBudget
{
public:
    /** Nullopt: there is no limit. */
    using Bytes = std::optional<std::size_t>;

    /** Whether @p bytes more of @p queue fit beside what is held. */
    [[nodiscard]] static JobRoom roomFor(std::size_t bytes, const QueueName &queue, const JobMemory &held,
                                         const Bytes &budget);
    /** Records a job that is accepted, and with it what has become free since the last call. */
    void noteAccepted(std::size_t bytes, const JobMemory &held, TimePoint now);
    /** When @p bytes will have become free at the recent rate. */
    Milliseconds retryAfter(std::size_t bytes, const JobMemory &held, TimePoint now);

private:
    void noteFreed(const JobMemory &held, TimePoint now);

    /** What would be held if nothing had become free since the last call. */
    std::size_t m_expected = 0;
    WorkRate m_freed;
};

} // namespace currantring
