#include "httpserver.h"

#include "byteconnection.h"
#include "socket.h"

#include <cerrno>
#include <cstring>
#include <map>
#include <optional>
#include <utility>

#include <sys/epoll.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace currantring::net {

namespace {

namespace http = boost::beast::http;
using RequestParser = http::request_parser<http::string_body>;

/** Bytes of further requests that a connection may send ahead of a response. */
constexpr std::size_t maximumAheadBytes = 65'536;

constexpr unsigned badRequest = 400;
constexpr unsigned payloadTooLarge = 413;
constexpr unsigned headerTooLarge = 431;

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

HttpRequest takeRequest(RequestParser &parser)
{
    auto message = parser.release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    request.body = std::move(message.body());
    return request;
}

unsigned statusOf(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        return payloadTooLarge;
    }
    return error == http::error::header_limit ? headerTooLarge : badRequest;
}

} // namespace

struct HttpServer::Private
{
    /** What a connection waits for. */
    enum class Phase { Idle, Receiving, Answering, Writing };

    struct Connection
    {
        std::uint64_t key = 0;
        std::unique_ptr<ByteConnection> bytes;
        std::unique_ptr<RequestParser> parser;
        /** Received and not parsed yet. */
        std::string ahead;
        Phase phase = Phase::Idle;
        RequestToken token;
        bool closesAfterResponse = false;
        std::optional<EventLoop::TimerKey> timer;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void acceptAll();
    void add(FileDescriptor socket);
    void receive(const ConnectionPointer &connection, std::string_view bytes);
    void parse(const ConnectionPointer &connection);
    void refuse(const ConnectionPointer &connection, unsigned status);
    void write(const ConnectionPointer &connection, const HttpResponse &response);
    void finishResponse(const ConnectionPointer &connection);
    void enter(const ConnectionPointer &connection, Phase phase, std::optional<Milliseconds> bound);
    void drop(const ConnectionPointer &connection);
    [[nodiscard]] Milliseconds idleTimeout() const;
    [[nodiscard]] std::unique_ptr<RequestParser> makeParser() const;

    EventLoop &loop;
    Handlers handlers;
    HttpServerLimits limits;
    FileDescriptor listener;
    std::map<std::uint64_t, ConnectionPointer> connections;
    std::map<RequestToken, ConnectionPointer> waiting;
    std::uint64_t lastKey = 0;
    std::uint64_t lastToken = 0;
    std::optional<Milliseconds> windingIdle;
};

Milliseconds HttpServer::Private::idleTimeout() const
{
    return windingIdle.value_or(limits.idleTimeout);
}

std::unique_ptr<RequestParser> HttpServer::Private::makeParser() const
{
    auto parser = std::make_unique<RequestParser>();
    parser->eager(true);
    parser->header_limit(limits.maximumHeaderBytes);
    parser->body_limit(limits.maximumBodyBytes);
    return parser;
}

void HttpServer::Private::acceptAll()
{
    while (true) {
        FileDescriptor socket = acceptFrom(listener.get());
        if (!socket.isValid()) {
            return;
        }
        if (connections.size() < limits.maximumConnections) {
            add(std::move(socket));
        }
    }
}

void HttpServer::Private::add(FileDescriptor socket)
{
    const auto connection = std::make_shared<Connection>();
    connection->key = ++lastKey;
    const std::weak_ptr<Connection> weak = connection;
    connection->bytes = std::make_unique<ByteConnection>(
        loop, std::move(socket), false,
        ByteConnection::Handlers { [] {}, [this, weak](std::string_view bytes) { receive(weak.lock(), bytes); },
                                   [this, weak] { finishResponse(weak.lock()); },
                                   [this, weak](const std::string & /*detail*/) {
                                       drop(weak.lock());
                                   } });
    connections.emplace(connection->key, connection);
    enter(connection, Phase::Idle, idleTimeout());
}

void HttpServer::Private::receive(const ConnectionPointer &connection, std::string_view bytes)
{
    if (!connections.contains(connection->key)) {
        return;
    }
    connection->ahead.append(bytes);
    const bool isBusy = connection->phase == Phase::Answering || connection->phase == Phase::Writing;
    if (!isBusy) {
        parse(connection);
    } else if (connection->ahead.size() > maximumAheadBytes) {
        connection->bytes->pauseReading();
    }
}

void HttpServer::Private::parse(const ConnectionPointer &connection)
{
    if (connection->ahead.empty()) {
        return;
    }
    if (connection->phase == Phase::Idle) {
        connection->parser = makeParser();
        enter(connection, Phase::Receiving, limits.requestTimeout);
    }
    boost::system::error_code error;
    const std::size_t used =
        connection->parser->put(boost::asio::buffer(connection->ahead.data(), connection->ahead.size()), error);
    connection->ahead.erase(0, used);
    if (error && error != http::error::need_more) {
        refuse(connection, statusOf(error));
        return;
    }
    if (!connection->parser->is_done()) {
        return;
    }
    connection->closesAfterResponse = !connection->parser->keep_alive();
    connection->token = RequestToken(++lastToken);
    enter(connection, Phase::Answering, std::nullopt);
    waiting.emplace(connection->token, connection);
    handlers.onRequest(connection->token, takeRequest(*connection->parser));
}

void HttpServer::Private::refuse(const ConnectionPointer &connection, unsigned status)
{
    connection->closesAfterResponse = true;
    connection->bytes->pauseReading();
    write(connection, { status, {}, {} });
}

void HttpServer::Private::write(const ConnectionPointer &connection, const HttpResponse &response)
{
    if (windingIdle) {
        connection->closesAfterResponse = true;
    }
    enter(connection, Phase::Writing, limits.writeTimeout);
    connection->bytes->write(formatResponse(response, connection->closesAfterResponse));
    if (!connection->bytes->hasUnsent()) {
        finishResponse(connection);
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
    if (!connection->ahead.empty()) {
        loop.defer([this, connection] {
            if (connections.contains(connection->key) && connection->phase == Phase::Idle) {
                parse(connection);
            }
        });
    }
}

void HttpServer::Private::enter(const ConnectionPointer &connection, Phase phase, std::optional<Milliseconds> bound)
{
    connection->phase = phase;
    if (connection->timer) {
        loop.cancel(*connection->timer);
        connection->timer.reset();
    }
    if (bound) {
        const std::weak_ptr<Connection> weak = connection;
        connection->timer = loop.schedule(*bound, [this, weak] {
            if (const ConnectionPointer known = weak.lock()) {
                known->timer.reset();
                drop(known);
            }
        });
    }
}

void HttpServer::Private::drop(const ConnectionPointer &connection)
{
    if (connections.erase(connection->key) == 0) {
        return;
    }
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

HttpServer::HttpServer(EventLoop &loop, Handlers handlers)
    : m_d(std::make_unique<Private>(Private { loop, std::move(handlers), {}, {}, {}, {}, 0, 0, {} }))
{
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
    m_d->loop.watch(m_d->listener.get(), EPOLLIN, [this](std::uint32_t /*events*/) { m_d->acceptAll(); });
    return {};
}

Address HttpServer::listenAddress() const
{
    return localAddress(m_d->listener.get());
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_d->limits = limits;
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

} // namespace currantring::net
