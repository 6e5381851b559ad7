#include "workerdirectory.h"

#include <utility>

namespace currantring {

WorkerDirectory::WorkerDirectory(Context &context, std::function<void()> onChange)
    : m_context(context)
    , m_onChange(std::move(onChange))
{
}

void WorkerDirectory::setConfiguration(const Configuration &configuration)
{
    m_interval = configuration.duration(Setting::HostListInterval);
}

void WorkerDirectory::start()
{
    m_running = true;
    poll();
}

void WorkerDirectory::stop()
{
    m_running = false;
}

void WorkerDirectory::poll()
{
    if (!m_running) {
        return;
    }
    m_context.callStore(ReadHostList {}, m_lifetime.guard([this](const StoreResult &result) {
        m_context.schedule(m_interval, m_lifetime.guard([this] { poll(); }));
        if (!result) {
            return;
        }
        std::map<WorkerId, WorkerInfo> workers;
        for (const WorkerInfo &worker : result->workers) {
            workers.emplace(worker.id, worker);
        }
        const bool changed = !m_isKnown || workers != m_workers;
        m_isKnown = true;
        m_workers = std::move(workers);
        if (changed) {
            m_onChange();
        }
    }));
}

bool WorkerDirectory::isKnown() const
{
    return m_isKnown;
}

const std::map<WorkerId, WorkerInfo> &WorkerDirectory::workers() const
{
    return m_workers;
}

} // namespace currantring
