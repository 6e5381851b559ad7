#include "standinhostlist.h"

namespace currantring {

StandinHostList::StandinHostList(Milliseconds lag)
    : m_lag(lag)
{
}

void StandinHostList::setWorker(const WorkerInfo &info, TimePoint now)
{
    m_workers[info.id] = info;
    noteChange(now);
}

void StandinHostList::removeWorker(const WorkerId &worker, TimePoint now)
{
    m_workers.erase(worker);
    noteChange(now);
}

std::vector<WorkerInfo> StandinHostList::served(TimePoint now) const
{
    std::vector<WorkerInfo> workers;
    if (m_history.empty()) {
        return workers;
    }
    const Workers *seen = &m_history.front().second;
    for (const auto &[since, list] : m_history) {
        if (since <= now - m_lag) {
            seen = &list;
        }
    }
    for (const auto &[id, info] : *seen) {
        workers.push_back(info);
    }
    return workers;
}

void StandinHostList::noteChange(TimePoint now)
{
    if (!m_history.empty() && m_history.back().first == now) {
        m_history.back().second = m_workers;
        return;
    }
    // The lists before the one that is served now can't be asked for again.
    while (m_history.size() > 1 && m_history[1].first <= now - m_lag) {
        m_history.erase(m_history.begin());
    }
    m_history.emplace_back(now, m_workers);
}

} // namespace currantring
