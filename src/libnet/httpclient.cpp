#include "httpclient.h"

#include "byteconnection.h"
#include "socket.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace currantring::net {

namespace {

namespace http = boost::beast::http;
using ResponseParser = http::response_parser<http::string_body>;

std::string formatRequest(const HttpCall &call)
{
    const HttpRequest &request = call.request;
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\nHost: " + call.address.value() + "\r\n";
    for (const HttpHeader &header : request.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    if (!request.body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    if (!request.body.empty() || request.method == "POST") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

HttpResponse takeResponse(ResponseParser &parser)
{
    auto message = parser.release();
    HttpResponse response;
    response.status = message.result_int();
    for (const auto &field : message) {
        response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    response.body = std::move(message.body());
    return response;
}

/** A call that waits for a connection or is under way. */
struct Pending
{
    HttpCall call;
    HttpClient::Handler then;
    EventLoop::TimerKey timer;
};

} // namespace

struct HttpClient::Private
{
    struct Connection;
    struct Pool;
    using PendingPointer = std::shared_ptr<Pending>;
    using ConnectionPointer = std::shared_ptr<Connection>;

    struct Connection
    {
        ConnectionId id;
        Pool *pool = nullptr;
        std::unique_ptr<ByteConnection> bytes;
        std::unique_ptr<ResponseParser> parser;
        PendingPointer current;
        bool isConnected = false;
        /** Meaningful once connected. */
        ConnectionMark establishedAs;
        /** The client's mark when the request of the current call was sent. */
        ConnectionMark sentAt;
        /** Closed once its call is over. */
        bool isLast = false;
        /** Not in its pool any more; its socket goes at the end of the round. */
        bool isDropped = false;
    };

    /** The connections of one address and lane. */
    struct Pool
    {
        std::vector<ConnectionPointer> connections;
        std::deque<PendingPointer> waiting;
    };

    using PoolKey = std::pair<Address, HttpLane>;

    void begin(const PendingPointer &pending);
    void dropUseless(Pool &pool, ConnectionMark establishedBy);
    void beginOnNew(Pool &pool, const PendingPointer &pending);
    void beginOnEstablished(Pool &pool, const PendingPointer &pending);
    void wait(Pool &pool, const PendingPointer &pending);
    static bool mayCarry(const Connection &connection, const HttpCall &call);
    ConnectionPointer findIdle(Pool &pool, const HttpCall &call) const;
    void noteEstablished(Connection &connection);
    ConnectionPointer connect(Pool &pool, const Address &address, std::string &detail);
    void send(Connection &connection, const PendingPointer &pending);
    void receive(const ConnectionPointer &connection, std::string_view bytes);
    void finish(const ConnectionPointer &connection);
    void endConnection(const ConnectionPointer &connection, const std::string &detail);
    void drop(const ConnectionPointer &connection);
    void expire(const PendingPointer &pending);
    void complete(const PendingPointer &pending, HttpResult result);
    void fail(const PendingPointer &pending, HttpErrorKind kind, std::string detail);
    void serveWaiting(Pool &pool, const ConnectionPointer &connection);
    void resumeWaiting(Pool &pool);

    EventLoop &loop;
    HttpClientOptions options;
    std::map<PoolKey, Pool> pools;
    std::uint64_t lastConnection = 0;
    std::uint64_t establishedConnections = 0;
};

void HttpClient::Private::begin(const PendingPointer &pending)
{
    Pool &pool = pools[{ pending->call.address, pending->call.lane }];
    if (pending->call.establishedAfter.value() > 0) {
        dropUseless(pool, pending->call.establishedAfter);
    }
    if (const ConnectionPointer idle = findIdle(pool, pending->call)) {
        send(*idle, pending);
    } else if (pending->call.onlyOver) {
        fail(pending, HttpErrorKind::NotSent, "the connection is gone");
    } else if (pending->call.establishedBy) {
        beginOnEstablished(pool, pending);
    } else if (pool.connections.size() < options.connectionsPerLane) {
        beginOnNew(pool, pending);
    } else {
        wait(pool, pending);
    }
}

/** Closes the connections that were established by then, those with a call once that is over. */
void HttpClient::Private::dropUseless(Pool &pool, ConnectionMark establishedBy)
{
    for (const ConnectionPointer &connection : std::vector<ConnectionPointer>(pool.connections)) {
        if (!connection->isConnected || connection->establishedAs > establishedBy) {
            continue;
        }
        if (connection->current) {
            connection->isLast = true;
        } else {
            drop(connection);
        }
    }
}

void HttpClient::Private::beginOnNew(Pool &pool, const PendingPointer &pending)
{
    std::string detail;
    if (const ConnectionPointer made = connect(pool, pending->call.address, detail)) {
        send(*made, pending);
    } else {
        fail(pending, HttpErrorKind::NotSent, detail);
    }
}

/** Waits for a busy connection that may carry the call, and establishes one that may carry later calls. */
void HttpClient::Private::beginOnEstablished(Pool &pool, const PendingPointer &pending)
{
    const bool isAnyEstablished = std::ranges::any_of(
        pool.connections, [&pending](const ConnectionPointer &known) { return mayCarry(*known, pending->call); });
    if (!isAnyEstablished) {
        fail(pending, HttpErrorKind::NotSent, "no connection was established by then");
        return;
    }
    if (pool.connections.size() < options.connectionsPerLane) {
        std::string detail;
        connect(pool, pending->call.address, detail);
    }
    wait(pool, pending);
}

void HttpClient::Private::wait(Pool &pool, const PendingPointer &pending)
{
    if (pool.waiting.size() >= options.queuedCalls) {
        fail(pending, HttpErrorKind::NotSent, "too many calls wait");
        return;
    }
    pool.waiting.push_back(pending);
}

bool HttpClient::Private::mayCarry(const Connection &connection, const HttpCall &call)
{
    const bool isWanted = !call.onlyOver || connection.id == *call.onlyOver;
    const bool isOldEnough =
        !call.establishedBy || (connection.isConnected && connection.establishedAs <= *call.establishedBy);
    return isWanted && isOldEnough && !connection.isLast;
}

HttpClient::Private::ConnectionPointer HttpClient::Private::findIdle(Pool &pool, const HttpCall &call) const
{
    for (const ConnectionPointer &connection : pool.connections) {
        if (!connection->current && mayCarry(*connection, call)) {
            return connection;
        }
    }
    return nullptr;
}

void HttpClient::Private::noteEstablished(Connection &connection)
{
    connection.isConnected = true;
    connection.establishedAs = ConnectionMark(++establishedConnections);
    // A request that was given to the connection before is sent now.
    connection.sentAt = connection.establishedAs;
}

HttpClient::Private::ConnectionPointer HttpClient::Private::connect(Pool &pool, const Address &address,
                                                                    std::string &detail)
{
    const std::optional<SocketAddress> native = parseSocketAddress(address);
    if (!native) {
        detail = "expected an address like 127.0.0.1:7001, got \"" + address.value() + '"';
        return nullptr;
    }
    FileDescriptor socket = beginConnect(*native);
    if (!socket.isValid()) {
        detail = std::strerror(errno);
        return nullptr;
    }
    auto connection = std::make_shared<Connection>();
    connection->id = ConnectionId(++lastConnection);
    connection->pool = &pool;
    const std::weak_ptr<Connection> weak = connection;
    connection->bytes = std::make_unique<ByteConnection>(
        loop, std::move(socket), true,
        ByteConnection::Handlers { [this, weak] { noteEstablished(*weak.lock()); },
                                   [this, weak](std::string_view bytes) { receive(weak.lock(), bytes); }, [] {},
                                   [this, weak](const std::string &reason) {
                                       endConnection(weak.lock(), reason);
                                   } });
    pool.connections.push_back(connection);
    return connection;
}

void HttpClient::Private::send(Connection &connection, const PendingPointer &pending)
{
    connection.current = pending;
    connection.sentAt = ConnectionMark(establishedConnections);
    connection.parser = std::make_unique<ResponseParser>();
    connection.parser->eager(true);
    connection.parser->body_limit(options.maximumResponseBytes);
    connection.bytes->write(formatRequest(pending->call));
}

void HttpClient::Private::receive(const ConnectionPointer &connection, std::string_view bytes)
{
    if (connection->isDropped) {
        return;
    }
    if (!connection->current) {
        endConnection(connection, "bytes that nothing asked for");
        return;
    }
    boost::system::error_code error;
    const std::size_t used = connection->parser->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != http::error::need_more) {
        endConnection(connection, "not a response: " + error.message());
        return;
    }
    if (connection->parser->is_done()) {
        if (used < bytes.size()) {
            connection->isLast = true;
        }
        finish(connection);
    }
}

void HttpClient::Private::finish(const ConnectionPointer &connection)
{
    const bool staysOpen = connection->parser->keep_alive() && !connection->isLast;
    const PendingPointer pending = std::exchange(connection->current, nullptr);
    HttpAnswer answer { takeResponse(*connection->parser), connection->id, connection->sentAt };
    connection->parser.reset();
    Pool &pool = *connection->pool;
    if (staysOpen) {
        serveWaiting(pool, connection);
    } else {
        drop(connection);
        resumeWaiting(pool);
    }
    complete(pending, std::move(answer));
}

void HttpClient::Private::serveWaiting(Pool &pool, const ConnectionPointer &connection)
{
    const auto next = std::ranges::find_if(
        pool.waiting, [&connection](const PendingPointer &pending) { return mayCarry(*connection, pending->call); });
    if (next != pool.waiting.end()) {
        const PendingPointer pending = *next;
        pool.waiting.erase(next);
        send(*connection, pending);
    }
}

/** Begins the waiting calls again after a connection was lost, as some may have waited for just that one. */
void HttpClient::Private::resumeWaiting(Pool &pool)
{
    for (const PendingPointer &pending : std::exchange(pool.waiting, {})) {
        begin(pending);
    }
}

void HttpClient::Private::endConnection(const ConnectionPointer &connection, const std::string &detail)
{
    if (connection->isDropped) {
        return;
    }
    const PendingPointer pending = std::exchange(connection->current, nullptr);
    const bool wasSent = connection->isConnected;
    Pool &pool = *connection->pool;
    const bool endsBody = pending && connection->parser && connection->parser->need_eof();
    if (endsBody) {
        boost::system::error_code error;
        connection->parser->put_eof(error);
        if (!error && connection->parser->is_done()) {
            HttpAnswer answer { takeResponse(*connection->parser), connection->id, connection->sentAt };
            drop(connection);
            resumeWaiting(pool);
            complete(pending, std::move(answer));
            return;
        }
    }
    drop(connection);
    if (pending) {
        fail(pending, wasSent ? HttpErrorKind::Unknown : HttpErrorKind::NotSent, detail);
    }
    resumeWaiting(pool);
}

void HttpClient::Private::drop(const ConnectionPointer &connection)
{
    std::erase(connection->pool->connections, connection);
    connection->isDropped = true;
    // One of its handlers may be running.
    loop.defer([connection] { connection->bytes.reset(); });
}

void HttpClient::Private::expire(const PendingPointer &pending)
{
    Pool &pool = pools[{ pending->call.address, pending->call.lane }];
    if (std::erase(pool.waiting, pending) != 0) {
        fail(pending, HttpErrorKind::NotSent, "no connection became free in time");
        return;
    }
    for (const ConnectionPointer &connection : std::vector<ConnectionPointer>(pool.connections)) {
        if (connection->current != pending) {
            continue;
        }
        // In a busy process the answer may have come in time and wait to be read.
        connection->bytes->takeArrived();
        if (connection->current == pending) {
            endConnection(connection, connection->isConnected ? "no response in time" : "no connection in time");
        }
        return;
    }
}

void HttpClient::Private::complete(const PendingPointer &pending, HttpResult result)
{
    loop.cancel(pending->timer);
    const Handler then = std::move(pending->then);
    then(std::move(result));
}

void HttpClient::Private::fail(const PendingPointer &pending, HttpErrorKind kind, std::string detail)
{
    loop.cancel(pending->timer);
    loop.defer([then = std::move(pending->then), error = HttpError { kind, std::move(detail) }] {
        then(tl::unexpected(error));
    });
}

HttpClient::HttpClient(EventLoop &loop, HttpClientOptions options)
    : m_d(std::make_unique<Private>(Private { loop, options, {}, 0, 0 }))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::call(HttpCall call, Handler then)
{
    const auto pending = std::make_shared<Pending>(Pending { std::move(call), std::move(then), {} });
    pending->timer = m_d->loop.schedule(pending->call.timeout, [this, pending] { m_d->expire(pending); });
    m_d->begin(pending);
}

void HttpClient::forget(const Address &address)
{
    for (const HttpLane lane : { HttpLane::Orders, HttpLane::Waits }) {
        const auto found = m_d->pools.find({ address, lane });
        if (found == m_d->pools.end()) {
            continue;
        }
        for (const Private::ConnectionPointer &connection :
             std::vector<Private::ConnectionPointer>(found->second.connections)) {
            if (connection->current) {
                connection->isLast = true;
            } else {
                m_d->drop(connection);
            }
        }
        if (found->second.connections.empty() && found->second.waiting.empty()) {
            m_d->pools.erase(found);
        }
    }
}

std::uint64_t HttpClient::connectionsBegun() const
{
    return m_d->lastConnection;
}

} // namespace currantring::net
