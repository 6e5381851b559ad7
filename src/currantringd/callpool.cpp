#include "callpool.h"

#include <algorithm>
#include <system_error>
#include <utility>

namespace currantring {

CallPool::CallPool(std::string name, Limits limits)
    : m_name(std::move(name))
    , m_limits(limits)
{
    m_threads.reserve(limits.threads);
}

CallPool::~CallPool()
{
    stop();
}

bool CallPool::tryRun(std::function<void()> job)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped || m_running + m_jobs.size() >= m_limits.threads + m_limits.waiting) {
        return false;
    }
    m_jobs.push_back(std::move(job));
    startThreadIfNeeded();
    if (m_threads.empty()) {
        m_jobs.pop_back();
        return false;
    }
    m_wake.notify_one();
    return true;
}

void CallPool::startThreadIfNeeded()
{
    const bool allTaken = m_running + m_jobs.size() > m_threads.size();
    if (!allTaken || m_threads.size() == m_limits.threads) {
        return;
    }
    try {
        m_threads.emplace_back(m_name, [this] { work(); });
    } catch (const std::system_error &) {
        // The machine has no thread left: the job waits for one of those that run, if there are any.
        return;
    }
}

void CallPool::work()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopped || !m_jobs.empty(); });
        if (m_jobs.empty()) {
            return;
        }
        const std::function<void()> job = std::move(m_jobs.front());
        m_jobs.pop_front();
        ++m_running;
        lock.unlock();
        job();
        lock.lock();
        --m_running;
    }
}

void CallPool::stop()
{
    std::vector<Thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        threads.swap(m_threads);
    }
    m_wake.notify_all();
    for (Thread &thread : threads) {
        thread.join();
    }
}

std::size_t CallPool::load() const
{
    const std::lock_guard lock(m_mutex);
    return m_running + m_jobs.size();
}

std::size_t CallPool::waiting() const
{
    const std::lock_guard lock(m_mutex);
    const std::size_t free = m_limits.threads - std::min(m_running, m_limits.threads);
    return m_jobs.size() - std::min(m_jobs.size(), free);
}

} // namespace currantring
