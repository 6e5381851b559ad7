#pragma once

#include "thread.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace currantring {

/**
 * Runs blocking jobs on a bounded number of POSIX threads, which start when they are first needed.
 *
 * Thread safety: every method may be called from any thread; stop() not from a job.
 */
class CallPool
{
public:
    struct Limits
    {
        std::size_t threads = 1;
        /** Jobs that may wait while all threads are busy. */
        std::size_t waiting = 0;
    };

    /** Precondition: @p limits has at least one thread. */
    CallPool(std::string name, Limits limits);
    /** Stops as stop() does. */
    ~CallPool();
    CallPool(const CallPool &) = delete;
    CallPool &operator=(const CallPool &) = delete;

    /** Takes @p job, or returns false when the pool is full or stopped; the job then doesn't run. */
    [[nodiscard]] bool tryRun(std::function<void()> job);
    /** Runs what waits, takes nothing more, and joins the threads. Repeating it does nothing. */
    void stop();
    /** Jobs that run or wait. */
    [[nodiscard]] std::size_t load() const;
    /** Jobs that wait since all threads are busy. */
    [[nodiscard]] std::size_t waiting() const;

private:
    void work();
    void startThreadIfNeeded();

    const std::string m_name;
    const Limits m_limits;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_jobs;
    std::vector<Thread> m_threads;
    std::size_t m_running = 0;
    bool m_stopped = false;
};

} // namespace currantring
