#pragma once

#include "callpool.h"

#include <functional>

#include <httplib.h>

namespace currantring {

/**
 * Gives the HTTP server a bounded number of threads and a bounded queue of connections.
 *
 * httplib can't be told to refuse, so a connection past the bound is still run, but at once in the accepting thread
 * and with isRefusing() set: the server then closes the socket instead of reading from it.
 * Thread safety: enqueue and shutdown from the accepting thread.
 */
class BoundedTaskQueue : public httplib::TaskQueue
{
public:
    /** @p onWaiting runs after each connection that waits for a thread, @p onRefused with each past the bound. */
    BoundedTaskQueue(CallPool::Limits limits, std::function<void()> onWaiting, std::function<void()> onRefused);

    void enqueue(std::function<void()> connection) override;
    /** Lets the connections end and joins the threads. */
    void shutdown() override;

    /** Whether a connection waits for a thread. Thread safety: any thread. */
    [[nodiscard]] bool hasWaiting() const;
    /** Whether the calling thread is to turn away the connection that it was given. */
    [[nodiscard]] static bool isRefusing();

private:
    CallPool m_pool;
    std::function<void()> m_onWaiting;
    std::function<void()> m_onRefused;
};

} // namespace currantring
