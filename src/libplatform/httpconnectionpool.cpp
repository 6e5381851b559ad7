#include "httpconnectionpool.h"

#include "httpconnection.h"

#include <atomic>
#include <charconv>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

namespace currantring {

namespace {

using Clock = HttpConnection::Clock;
using ConnectionPointer = std::unique_ptr<HttpConnection>;

constexpr Milliseconds tidyInterval(1000);

struct HostAndPort
{
    std::string host;
    int port = 0;
};

std::optional<HostAndPort> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    HostAndPort parsed { address.substr(0, colon), 0 };
    if (parsed.host.size() > 2 && parsed.host.front() == '[' && parsed.host.back() == ']') {
        parsed.host = parsed.host.substr(1, parsed.host.size() - 2);
    }
    const char *last = address.data() + address.size();
    const auto [end, error] = std::from_chars(address.data() + colon + 1, last, parsed.port);
    if (error != std::errc() || end != last || parsed.port < 1 || parsed.port > 65535) {
        return std::nullopt;
    }
    return parsed;
}

} // namespace

struct HttpConnectionPool::Private
{
    struct Idle
    {
        ConnectionPointer connection;
        Clock::time_point since;
    };

    /** The connections to one address. */
    struct Site
    {
        /** The most recently used one is last, and used first. */
        std::vector<Idle> idle;
        std::size_t inUse = 0;
        std::size_t waiting = 0;
    };

    /** Reserves one of the connections to @p address; false when none comes free before @p deadline. */
    bool reserve(const Address &address, Clock::time_point deadline)
    {
        std::unique_lock lock(mutex);
        Site &site = sites[address];
        ++site.waiting;
        const bool hasRoom =
            released.wait_until(lock, deadline, [&] { return site.inUse < options.connectionsPerAddress; });
        --site.waiting;
        site.inUse += hasRoom ? 1 : 0;
        return hasRoom;
    }

    /** An idle connection that isn't too old, or null. Precondition: reserved. */
    ConnectionPointer takeIdle(const Address &address)
    {
        // Closed after the lock is released.
        std::vector<Idle> closed;
        const std::lock_guard lock(mutex);
        const Clock::time_point now = Clock::now();
        if (now - lastTidied > tidyInterval) {
            lastTidied = now;
            closeOld(now, closed);
        }
        std::vector<Idle> &idle = sites.at(address).idle;
        if (idle.empty() || now - idle.back().since > options.idleLimit) {
            return nullptr;
        }
        ConnectionPointer connection = std::move(idle.back().connection);
        idle.pop_back();
        return connection;
    }

    /** Moves the connections that are too old to @p closed, and forgets addresses without any. */
    void closeOld(Clock::time_point now, std::vector<Idle> &closed)
    {
        for (auto site = sites.begin(); site != sites.end();) {
            std::vector<Idle> &idle = site->second.idle;
            // Idle ones stand in order of age.
            while (!idle.empty() && now - idle.front().since > options.idleLimit) {
                closed.push_back(std::move(idle.front()));
                idle.erase(idle.begin());
            }
            const bool isUnused = idle.empty() && site->second.inUse == 0 && site->second.waiting == 0;
            site = isUnused ? sites.erase(site) : std::next(site);
        }
    }

    /** Ends a reservation; @p connection is null when it was closed. */
    void release(const Address &address, ConnectionPointer connection)
    {
        const std::lock_guard lock(mutex);
        Site &site = sites.at(address);
        --site.inUse;
        if (connection) {
            site.idle.push_back({ std::move(connection), Clock::now() });
        }
        released.notify_all();
    }

    HttpClientOptions options;
    std::mutex mutex;
    std::condition_variable released;
    std::map<Address, Site> sites;
    Clock::time_point lastTidied = Clock::now();
    std::atomic<std::uint64_t> replaced = 0;
};

HttpConnectionPool::HttpConnectionPool(HttpClientOptions options)
    : m_data(std::make_unique<Private>())
{
    m_data->options = options;
}

HttpConnectionPool::~HttpConnectionPool() = default;

tl::expected<HttpAnswer, HttpError> HttpConnectionPool::exchange(const Address &address, const HttpRequest &request,
                                                                 Milliseconds timeout)
{
    const Clock::time_point deadline = Clock::now() + timeout;
    const std::optional<HostAndPort> server = parseAddress(address.value());
    if (!server || !m_data->reserve(address, deadline)) {
        return tl::unexpected(HttpError::NotSent);
    }
    ConnectionPointer connection = m_data->takeIdle(address);
    tl::expected<HttpAnswer, HttpError> answer = tl::unexpected(HttpError::NotSent);
    if (connection) {
        answer = connection->exchange(request, deadline);
    }
    // The server may have closed an idle connection; when nothing was sent on it, a fresh one may be tried.
    if (!answer && answer.error() == HttpError::NotSent) {
        connection = std::make_unique<HttpConnection>(server->host, server->port, m_data->options);
        answer = connection->exchange(request, deadline);
    }
    if (!answer && answer.error() == HttpError::Unknown && Clock::now() >= deadline) {
        ++m_data->replaced;
    }
    if (!connection->isReusable()) {
        connection.reset();
    }
    m_data->release(address, std::move(connection));
    return answer;
}

const HttpClientOptions &HttpConnectionPool::options() const
{
    return m_data->options;
}

std::uint64_t HttpConnectionPool::connectionsReplaced() const
{
    return m_data->replaced;
}

} // namespace currantring
