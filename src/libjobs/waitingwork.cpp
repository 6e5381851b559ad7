#include "waitingwork.h"

#include <algorithm>
#include <iterator>

namespace currantring {

void WaitingWork::add(const JobUrgency &urgency, double jobWork, double work)
{
    m_entries.push_back({ urgency.priority, urgency.deadlineState, jobWork, work });
}

void WaitingWork::sum()
{
    std::ranges::sort(m_entries, {}, &Entry::rank);
    double sum = 0;
    for (Entry &entry : m_entries) {
        sum += entry.work;
        entry.work = sum;
    }
}

double WaitingWork::preceding(const JobUrgency &urgency, double jobWork) const
{
    const Entry job { urgency.priority, urgency.deadlineState, jobWork, 0 };
    const auto after = std::ranges::upper_bound(m_entries, job.rank(), {}, &Entry::rank);
    return after == m_entries.begin() ? 0 : std::prev(after)->work;
}

double WaitingWork::total() const
{
    return m_entries.empty() ? 0 : m_entries.back().work;
}

} // namespace currantring
