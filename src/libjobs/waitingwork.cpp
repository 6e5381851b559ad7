#include "waitingwork.h"

#include <algorithm>
#include <iterator>

namespace currantring {

void WaitingWork::add(const JobUrgency &urgency, const Amount &work)
{
    m_entries.push_back({ urgency.priority, urgency.deadlineState, urgency.scaledWork, work });
}

void WaitingWork::sum()
{
    std::ranges::sort(m_entries, {}, &Entry::rank);
    Amount sum;
    for (Entry &entry : m_entries) {
        sum.open += entry.work.open;
        sum.later += entry.work.later;
        entry.work = sum;
    }
}

WaitingWork::Amount WaitingWork::preceding(const JobUrgency &urgency) const
{
    const Entry job { urgency.priority, urgency.deadlineState, urgency.scaledWork, {} };
    const auto after = std::ranges::upper_bound(m_entries, job.rank(), {}, &Entry::rank);
    return after == m_entries.begin() ? Amount {} : std::prev(after)->work;
}

} // namespace currantring
