#pragma once

#include "configuration.h"
#include "context.h"
#include "lifetime.h"

#include <functional>
#include <map>

namespace currantring {

/**
 * Keeps the platform's list of workers by polling it; keeps the last one while the platform is down.
 *
 * Thread safety: one thread at a time.
 */
class WorkerDirectory
{
public:
    /** Precondition: @p context outlives the object. @p onChange runs after each list that differs from the last. */
    WorkerDirectory(Context &context, std::function<void()> onChange);

    void setConfiguration(const Configuration &configuration);
    void start();
    void stop();

    /** Whether a list has been read at all. */
    [[nodiscard]] bool isKnown() const;
    [[nodiscard]] const std::map<WorkerId, WorkerInfo> &workers() const;

private:
    void poll();

    Context &m_context;
    std::function<void()> m_onChange;
    Lifetime m_lifetime;
    Milliseconds m_interval { 1000 };
    bool m_running = false;
    bool m_isKnown = false;
    std::map<WorkerId, WorkerInfo> m_workers;
};

} // namespace currantring
