#include "httpserver_p.h"

#include "socket.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include <sys/epoll.h>
#include <sys/socket.h>

#include <boost/beast/http/status.hpp>

namespace currantring::net {

namespace {

namespace http = boost::beast::http;
/** Connections that are accepted in one round, so that a flood of them can't keep the loop from the others. */
constexpr int acceptedAtOnce = 64;
/**
 * Buffers of the system for a connection in each direction; the system doubles it. By itself it lets them grow to
 * several megabytes of a client that doesn't read.
 */
constexpr int socketBufferBytes = 65'536;
/** Connections that are looked at for a request which has come and isn't read yet, before one is closed in spite. */
constexpr int looksForUnread = 8;
/** Memory of a connection beside its bytes: its object, handlers, watch and timer. */
constexpr std::size_t connectionBytes = 2048;
/** What a connection holds is noted in these steps, so that a small request changes nothing. */
constexpr std::size_t accountStep = 4096;
/** Room for unparsed bytes that an idle connection may keep. */
constexpr std::size_t keptBufferBytes = 4096;

PeerIp ipOf(const SocketAddress &address)
{
    const Address peer = formatSocketAddress(address);
    return PeerIp(peer.value().substr(0, peer.value().rfind(':')));
}

std::string formatResponse(const HttpResponse &response, bool closes)
{
    const boost::beast::string_view reason = http::obsolete_reason(http::int_to_status(response.status));
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ' + std::string(reason) + "\r\n";
    for (const HttpHeader &header : response.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    if (!response.body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    if (closes) {
        text += "Connection: close\r\n";
    }
    return text + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

} // namespace

ConnectionUse HttpServer::Private::Connection::use() const
{
    if (phase == Phase::Answering || phase == Phase::Writing) {
        return ConnectionUse::UnderWay;
    }
    if (!hasSentRequest) {
        return ConnectionUse::NoRequestYet;
    }
    return phase == Phase::Idle ? ConnectionUse::Idle : ConnectionUse::PartOfNext;
}

Milliseconds HttpServer::Private::idleTimeout() const
{
    return windingIdle.value_or(limits.idleTimeout);
}

void HttpServer::Private::acceptSome()
{
    for (int count = 0; count < acceptedAtOnce; ++count) {
        SocketAddress address;
        FileDescriptor socket = acceptFrom(listener.get(), address);
        if (!socket.isValid()) {
            return;
        }
        const PeerIp peer = ipOf(address);
        if (connections.size() < limits.maximumConnections || makeRoom(peer)) {
            add(std::move(socket), peer);
            enforceBudget();
        } else {
            reportClosed("connection-limit", 0);
        }
    }
}

/** Closes a connection for one of @p newcomer; false when none gives way. */
bool HttpServer::Private::makeRoom(const PeerIp &newcomer)
{
    std::vector<OpenConnection> open;
    open.reserve(connections.size());
    for (const auto &[key, connection] : connections) {
        const ConnectionUse use = connection->use();
        const bool isNew = use == ConnectionUse::NoRequestYet;
        open.push_back({ key, connection->peer, use, isNew ? connection->accepted : connection->since });
    }
    const auto now = EventLoop::Clock::now();
    for (int look = 0; look < looksForUnread; ++look) {
        const auto key = connectionToClose(open, newcomer, now);
        if (!key) {
            return false;
        }
        const ConnectionPointer connection = connections.at(*key);
        const auto entry = std::ranges::find(open, *key, &OpenConnection::key);
        if (look + 1 < looksForUnread && entry->use == ConnectionUse::Idle && connection->bytes->hasArrived()) {
            // Its next request has come; to close it now would lose that.
            entry->use = ConnectionUse::UnderWay;
            continue;
        }
        reportClosed("connection-limit", connection->notedBytes);
        drop(connection);
        return true;
    }
    return false;
}

void HttpServer::Private::add(FileDescriptor socket, const PeerIp &peer)
{
    const auto connection = std::make_shared<Connection>();
    connection->key = ++lastKey;
    connection->peer = peer;
    connection->accepted = EventLoop::Clock::now();
    const std::weak_ptr<Connection> weak = connection;
    connection->bytes = std::make_unique<ByteConnection>(
        loop, std::move(socket), false,
        ByteConnection::Handlers { [] {}, [this, weak](std::string_view bytes) { receive(weak.lock(), bytes); },
                                   [this, weak] { finishResponse(weak.lock()); },
                                   [this, weak](const std::string & /*detail*/) {
                                       drop(weak.lock());
                                   } });
    connections.emplace(connection->key, connection);
    noteMemory(*connection);
    enter(connection, Phase::Idle, idleTimeout());
}

void HttpServer::Private::receive(const ConnectionPointer &connection, std::string_view bytes)
{
    if (!connections.contains(connection->key)) {
        return;
    }
    const bool isBusy = connection->phase == Phase::Answering || connection->phase == Phase::Writing;
    if (isBusy) {
        connection->ahead.append(bytes);
        if (connection->ahead.size() >= limits.maximumAheadBytes) {
            connection->bytes->pauseReading();
        }
        noteMemory(*connection);
        enforceBudget();
    } else if (connection->ahead.empty()) {
        connection->ahead = bytes.substr(parse(connection, bytes));
        proceed(connection);
    } else {
        connection->ahead.append(bytes);
        parseAhead(connection);
    }
}

void HttpServer::Private::parseAhead(const ConnectionPointer &connection)
{
    connection->ahead.erase(0, parse(connection, connection->ahead));
    if (connection->ahead.empty() && connection->ahead.capacity() > keptBufferBytes) {
        connection->ahead.shrink_to_fit();
    }
    proceed(connection);
}

std::size_t HttpServer::Private::parse(const ConnectionPointer &connection, std::string_view bytes)
{
    if (connection->phase == Phase::Idle) {
        connection->receiver.emplace(limits);
        enter(connection, Phase::Receiving, limits.requestTimeout);
    }
    return connection->receiver->put(bytes);
}

/** Goes on after bytes were parsed: refuses the request, hands it over, or waits for more. */
void HttpServer::Private::proceed(const ConnectionPointer &connection)
{
    if (const auto fault = connection->receiver->fault()) {
        refuse(connection, *fault);
        return;
    }
    noteMemory(*connection);
    enforceBudget();
    if (!connections.contains(connection->key) || !connection->receiver->isComplete()) {
        return;
    }
    connection->closesAfterResponse = !connection->receiver->keepsConnection();
    connection->hasSentRequest = true;
    connection->requestBytes = connection->receiver->heldBytes();
    HttpRequest request = connection->receiver->take();
    connection->receiver.reset();
    connection->token = RequestToken(++lastToken);
    enter(connection, Phase::Answering, std::nullopt);
    waiting.emplace(connection->token, connection);
    handlers.onRequest(connection->token, std::move(request));
}

void HttpServer::Private::refuse(const ConnectionPointer &connection, RequestFault fault)
{
    reportClosed(requestFaultName(fault), connection->notedBytes);
    connection->closesAfterResponse = true;
    connection->receiver.reset();
    connection->ahead = std::string();
    connection->bytes->pauseReading();
    write(connection, { statusOf(fault), {}, {} });
}

void HttpServer::Private::write(const ConnectionPointer &connection, const HttpResponse &response)
{
    if (windingIdle) {
        connection->closesAfterResponse = true;
    }
    enter(connection, Phase::Writing, limits.writeTimeout);
    connection->requestBytes = 0;
    connection->bytes->write(formatResponse(response, connection->closesAfterResponse));
    if (!connection->bytes->hasUnsent()) {
        finishResponse(connection);
        return;
    }
    noteMemory(*connection);
    if (memory.excess()) {
        // Deferred, since the caller of respond() may not expect onGone for other requests before it returns.
        loop.defer([this] { enforceBudget(); });
    }
}

void HttpServer::Private::finishResponse(const ConnectionPointer &connection)
{
    if (connection->closesAfterResponse) {
        drop(connection);
        return;
    }
    connection->bytes->resumeReading();
    enter(connection, Phase::Idle, idleTimeout());
    noteMemory(*connection);
    if (!connection->ahead.empty()) {
        loop.defer([this, connection] {
            if (connections.contains(connection->key) && connection->phase == Phase::Idle) {
                parseAhead(connection);
            }
        });
    }
}

void HttpServer::Private::enter(const ConnectionPointer &connection, Phase phase, std::optional<Milliseconds> bound)
{
    connection->phase = phase;
    connection->since = EventLoop::Clock::now();
    if (connection->timer) {
        loop.cancel(*connection->timer);
        connection->timer.reset();
    }
    if (bound) {
        const std::weak_ptr<Connection> weak = connection;
        connection->timer = loop.schedule(*bound, [this, weak] {
            if (const ConnectionPointer known = weak.lock()) {
                known->timer.reset();
                expire(known);
            }
        });
    }
}

void HttpServer::Private::expire(const ConnectionPointer &connection)
{
    if (connection->phase != Phase::Idle && connections.contains(connection->key)) {
        reportClosed(connection->phase == Phase::Receiving ? "request-timeout" : "write-timeout",
                     connection->notedBytes);
    }
    drop(connection);
}

void HttpServer::Private::drop(const ConnectionPointer &connection)
{
    if (connections.erase(connection->key) == 0) {
        return;
    }
    memory.remove(connection->key);
    connection->receiver.reset();
    connection->ahead = std::string();
    const bool wasWaiting = connection->phase == Phase::Answering && waiting.erase(connection->token) != 0;
    if (connection->timer) {
        loop.cancel(*connection->timer);
        connection->timer.reset();
    }
    // One of its handlers may be running.
    loop.defer([connection] { connection->bytes.reset(); });
    if (wasWaiting && handlers.onGone) {
        handlers.onGone(connection->token);
    }
}

/** Notes what @p connection holds now. Precondition: it is one of the server's. */
void HttpServer::Private::noteMemory(Connection &connection)
{
    const std::size_t parsed = connection.receiver ? connection.receiver->heldBytes() : connection.requestBytes;
    const std::size_t held = connectionBytes + parsed + connection.ahead.capacity() + connection.bytes->unsentBytes();
    const std::size_t noted = (held + accountStep - 1) / accountStep * accountStep;
    if (noted != connection.notedBytes && connections.contains(connection.key)) {
        connection.notedBytes = noted;
        memory.note(connection.key, noted);
    }
}

/** Closes connections until the others are within the budget. */
void HttpServer::Private::enforceBudget()
{
    for (auto excess = memory.excess(); excess; excess = memory.excess()) {
        const ConnectionPointer connection = connections.at(*excess);
        reportClosed("memory", connection->notedBytes);
        drop(connection);
    }
}

void HttpServer::Private::reportClosed(std::string_view reason, std::size_t bytes) const
{
    if (handlers.onClosed) {
        handlers.onClosed({ reason, bytes, memory.held(), limits.maximumHeldBytes, connections.size() });
    }
}

HttpServer::HttpServer(EventLoop &loop, Handlers handlers)
    : m_d(std::make_unique<Private>(Private { loop, std::move(handlers), {}, {}, {}, {}, 0, 0, {}, {} }))
{
    setLimits({});
}

HttpServer::~HttpServer()
{
    if (m_d->listener.isValid()) {
        m_d->loop.forget(m_d->listener.get());
    }
}

tl::expected<void, std::string> HttpServer::listen(const Address &address)
{
    const std::optional<SocketAddress> native = parseSocketAddress(address);
    if (!native) {
        return tl::unexpected("expected an address like 127.0.0.1:7001, got \"" + address.value() + '"');
    }
    m_d->listener = listenOn(*native);
    if (!m_d->listener.isValid()) {
        return tl::unexpected("can't listen on " + address.value() + ": " + std::strerror(errno));
    }
    // Accepted sockets inherit them.
    for (const int option : { SO_RCVBUF, SO_SNDBUF }) {
        ::setsockopt(m_d->listener.get(), SOL_SOCKET, option, &socketBufferBytes, sizeof(socketBufferBytes));
    }
    m_d->loop.watch(m_d->listener.get(), EPOLLIN, [this](std::uint32_t /*events*/) { m_d->acceptSome(); });
    return {};
}

Address HttpServer::listenAddress() const
{
    return localAddress(m_d->listener.get());
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_d->limits = limits;
    m_d->memory.setBudget(limits.maximumHeldBytes);
}

void HttpServer::countRequest(RequestToken token, std::size_t bytes)
{
    const auto found = m_d->waiting.find(token);
    if (found == m_d->waiting.end()) {
        return;
    }
    Private::Connection &connection = *found->second;
    connection.requestBytes = std::max(connection.requestBytes, bytes);
    m_d->noteMemory(connection);
    if (m_d->memory.excess()) {
        m_d->loop.defer([this] { m_d->enforceBudget(); });
    }
}

void HttpServer::respond(RequestToken token, const HttpResponse &response)
{
    const auto found = m_d->waiting.find(token);
    if (found == m_d->waiting.end()) {
        return;
    }
    const Private::ConnectionPointer connection = found->second;
    m_d->waiting.erase(found);
    m_d->write(connection, response);
}

void HttpServer::wind(Milliseconds idle)
{
    m_d->windingIdle = idle;
    for (const auto &[key, connection] : m_d->connections) {
        if (connection->phase == Private::Phase::Idle) {
            m_d->enter(connection, Private::Phase::Idle, idle);
        }
    }
}

std::size_t HttpServer::connections() const
{
    return m_d->connections.size();
}

std::size_t HttpServer::waiting() const
{
    return m_d->waiting.size();
}

std::size_t HttpServer::heldBytes() const
{
    return m_d->memory.held();
}

} // namespace currantring::net
