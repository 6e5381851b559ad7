#include "standinhttpserver.h"

#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace currantring {

namespace {

thread_local StandinConnection *servedConnection = nullptr;

constexpr Milliseconds idleLimit(10'000);
constexpr std::size_t keepAliveCount = 1'000'000;
constexpr std::size_t payloadLimit = 4'000'000;
constexpr int listenBacklog = 256;

} // namespace

StandinTaskQueue::StandinTaskQueue(std::size_t limit)
    : m_limit(limit)
{
}

void StandinTaskQueue::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idle < m_tasks.size() && m_threads.size() < m_limit) {
        m_threads.emplace_back("standin-http", [this] { work(); });
    }
    m_wake.notify_one();
}

void StandinTaskQueue::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_shutdown = true;
        m_wake.notify_all();
    }
    // Nothing is enqueued any more, so the list of threads stands.
    for (Thread &thread : m_threads) {
        thread.join();
    }
}

void StandinTaskQueue::work()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idle;
        m_wake.wait(lock, [this] { return m_shutdown || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty()) {
            return;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

StandinHttpServer::StandinHttpServer(std::size_t connectionLimit, std::function<void(std::size_t)> connectionsChanged)
    : m_connectionsChanged(std::move(connectionsChanged))
{
    new_task_queue = [connectionLimit]() -> httplib::TaskQueue * {
        return new StandinTaskQueue(connectionLimit);
    };
    set_payload_max_length(payloadLimit);
    set_tcp_nodelay(true);
    // serve() keeps connections by itself; these only say so in the answers' headers.
    set_keep_alive_max_count(keepAliveCount);
    set_keep_alive_timeout(idleLimit.count() / 1000);
    // httplib would set SO_REUSEPORT, with which a second process could take the same port unnoticed.
    set_socket_options([](socket_t socket) {
        const int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    });
}

StandinHttpServer::~StandinHttpServer()
{
    finish();
}

int StandinHttpServer::start(const std::string &host, int port)
{
    int bound = port;
    if (port == 0) {
        bound = bind_to_any_port(host);
    } else if (!bind_to_port(host, port)) {
        bound = -1;
    }
    if (bound <= 0) {
        return -1;
    }
    // httplib listens with a backlog of 5; listening again only widens it.
    ::listen(svr_sock_, listenBacklog);
    m_thread = Thread("standin-accept", [this] { listen_after_bind(); });
    return bound;
}

void StandinHttpServer::finish()
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_finishing, true)) {
            return;
        }
        for (StandinConnection *connection : m_connections) {
            connection->close();
        }
    }
    if (is_running()) {
        stop();
    } else {
        // Ends an accept that is only about to begin.
        ::shutdown(svr_sock_, SHUT_RDWR);
    }
    m_thread.join();
}

void StandinHttpServer::silenceConnections()
{
    const std::lock_guard lock(m_mutex);
    for (StandinConnection *connection : m_connections) {
        if (connection != servedConnection) {
            connection->goSilent();
        }
    }
}

StandinConnection &StandinHttpServer::currentConnection()
{
    return *servedConnection;
}

bool StandinHttpServer::process_and_close_socket(socket_t socket)
{
    StandinConnection connection(socket);
    if (enter(connection)) {
        servedConnection = &connection;
        serve(connection);
        servedConnection = nullptr;
        leave(connection);
    }
    connection.close();
    ::close(socket);
    return true;
}

void StandinHttpServer::serve(StandinConnection &connection)
{
    bool closed = false;
    while (!closed && !connection.isBroken()) {
        const bool requested = connection.awaitRequest(idleLimit);
        if (connection.isSilent()) {
            connection.swallow();
            return;
        }
        if (!requested || !process_request(connection, false, closed, nullptr)) {
            // A handler may have silenced the connection; its answer went nowhere.
            closed = !connection.isSilent();
        }
    }
}

bool StandinHttpServer::enter(StandinConnection &connection)
{
    std::size_t open = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_finishing) {
            return false;
        }
        m_connections.insert(&connection);
        open = m_connections.size();
    }
    if (m_connectionsChanged) {
        m_connectionsChanged(open);
    }
    return true;
}

void StandinHttpServer::leave(StandinConnection &connection)
{
    std::size_t open = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(&connection);
        open = m_connections.size();
    }
    if (m_connectionsChanged) {
        m_connectionsChanged(open);
    }
}

} // namespace currantring
