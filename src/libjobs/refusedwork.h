#pragma once

#include "capacityclass.h"
#include "jobids.h"

#include <map>
#include <set>
#include <utility>

namespace currantring {

/**
 * The work of jobs that were refused and are expected to be submitted again at a time that their callers were told.
 *
 * Bounded in number: beyond the limit the jobs that return first are forgotten, which lets later ones return sooner.
 * Thread safety: one thread at a time.
 */
class RefusedWork
{
public:
    /**
     * Notes that @p job will return at @p returnsAt with @p work, in millicore-milliseconds; replaces its earlier
     * entry.
     */
    void note(const JobId &job, const CapacityClass &capacity, std::uint32_t priority, double work,
              TimePoint returnsAt);
    void forget(const JobId &job);
    /** Forgets the jobs whose time has come: those that returned are waiting now. */
    void forgetReturned(TimePoint now);
    /** Work of the jobs that will return, of @p priority or a higher one. */
    [[nodiscard]] double expected(const CapacityClass &capacity, std::uint32_t priority) const;

private:
    struct Entry
    {
        CapacityClass capacity;
        std::uint32_t priority = 0;
        double work = 0;
        TimePoint returnsAt {};
    };

    std::map<JobId, Entry> m_jobs;
    std::set<std::pair<TimePoint, JobId>> m_returns;
    std::map<std::pair<CapacityClass, std::uint32_t>, double> m_sums;
};

} // namespace currantring
