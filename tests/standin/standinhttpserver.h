#pragma once

#include "standinconnection.h"
#include "thread.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <httplib.h>

namespace currantring {

/** A httplib task queue whose threads start when they are needed, up to a limit. Tasks past the limit wait. */
class StandinTaskQueue : public httplib::TaskQueue
{
public:
    explicit StandinTaskQueue(std::size_t limit);

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

private:
    void work();

    std::size_t m_limit;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_tasks;
    std::size_t m_idle = 0;
    bool m_shutdown = false;
    std::vector<Thread> m_threads;
};

/**
 * A httplib server with its own thread and with faults on its connections.
 *
 * Thread safety: add routes before start(); the other methods may be called from any thread.
 */
class StandinHttpServer : public httplib::Server
{
public:
    /** @p connectionsChanged gets the number of open connections, and may be empty. */
    StandinHttpServer(std::size_t connectionLimit, std::function<void(std::size_t)> connectionsChanged);
    ~StandinHttpServer() override;
    StandinHttpServer(const StandinHttpServer &) = delete;
    StandinHttpServer &operator=(const StandinHttpServer &) = delete;

    /** Listens at @p host and @p port (0: any free one) and serves. Returns the port, or -1. Call once. */
    int start(const std::string &host, int port);
    /** Ends all connections and the thread. Repeating it does nothing. */
    void finish();
    /** All connections open now go silent for good, but for the one that the calling thread serves. */
    void silenceConnections();

    /** The connection that the calling thread serves. Precondition: called within a route's handler. */
    static StandinConnection &currentConnection();

private:
    bool process_and_close_socket(socket_t socket) override;
    void serve(StandinConnection &connection);
    bool enter(StandinConnection &connection);
    void leave(StandinConnection &connection);

    std::function<void(std::size_t)> m_connectionsChanged;
    std::mutex m_mutex;
    std::set<StandinConnection *> m_connections;
    bool m_finishing = false;
    Thread m_thread;
};

} // namespace currantring
