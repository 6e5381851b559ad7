#include "refusedwork.h"

namespace currantring {

namespace {

/** Bounds the memory of the list. */
constexpr std::size_t maxJobs = 4096;

} // namespace

void RefusedWork::note(const JobId &job, const CapacityClass &capacity, std::uint32_t priority, double work,
                       TimePoint returnsAt)
{
    forget(job);
    if (m_jobs.size() == maxJobs) {
        forget(JobId(m_returns.begin()->second));
    }
    m_jobs.emplace(job, Entry { capacity, priority, work, returnsAt });
    m_returns.emplace(returnsAt, job);
    m_sums[{ capacity, priority }] += work;
}

void RefusedWork::forget(const JobId &job)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end()) {
        return;
    }
    const Entry &entry = found->second;
    m_sums.at({ entry.capacity, entry.priority }) -= entry.work;
    m_returns.erase({ entry.returnsAt, job });
    m_jobs.erase(found);
    if (m_jobs.empty()) {
        // Rounding errors of the sums don't accumulate beyond one overload.
        m_sums.clear();
    }
}

void RefusedWork::forgetReturned(TimePoint now)
{
    while (!m_returns.empty() && m_returns.begin()->first <= now) {
        forget(JobId(m_returns.begin()->second));
    }
}

double RefusedWork::expected(const CapacityClass &capacity, std::uint32_t priority) const
{
    double sum = 0;
    for (auto entry = m_sums.lower_bound({ capacity, 0 }); entry != m_sums.end(); ++entry) {
        if (entry->first.first != capacity || entry->first.second > priority) {
            break;
        }
        sum += entry->second;
    }
    return sum;
}

} // namespace currantring
