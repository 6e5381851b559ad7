#include "limitedserver.h"

#include "boundedtaskqueue.h"

#include <array>
#include <charconv>
#include <string>
#include <utility>

#include <netinet/in.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace currantring {

namespace {

thread_local const SocketStream *servedStream = nullptr;
thread_local bool closeAfterwards = false;

constexpr int listenBacklog = 128;

/** Tells the caller that nothing was run, without ever waiting for it. */
void turnAway(int socket)
{
    static const std::string body = R"({"outcome":"not-run","reason":"connection-limit"})";
    static const std::string answer = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                                      "Currantring-Outcome: not-run\r\nContent-Type: application/json\r\n"
                                      "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::array<char, 4096> unread {};
    static_cast<void>(recv(socket, unread.data(), unread.size(), MSG_DONTWAIT));
    static_cast<void>(send(socket, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
    shutdown(socket, SHUT_RDWR);
    close(socket);
}

void keepBodyAsSent(httplib::Request &request)
{
    request.headers.erase("Content-Type");
    request.headers.erase("Content-Encoding");
    request.ranges.clear();
    const bool takesBody =
        request.method == "POST" || request.method == "PUT" || request.method == "PATCH" || request.method == "DELETE";
    if (!takesBody && (request.has_header("Content-Length") || request.has_header("Transfer-Encoding"))) {
        // httplib leaves this body unread; it must not be taken for the next request.
        closeAfterwards = true;
    }
}

} // namespace

LimitedServer::LimitedServer(ConnectionLimits limits, std::function<void()> onRefused)
    : m_limits(limits)
    , m_onRefused(std::move(onRefused))
    , m_stopEvent(eventfd(0, EFD_CLOEXEC))
{
    set_payload_max_length(limits.bodyBytes);
    set_tcp_nodelay(true);
    new_task_queue = [this]() -> httplib::TaskQueue * {
        m_queue = new BoundedTaskQueue(
            { m_limits.connections, m_limits.waiting }, [this] { m_idle.endOldest(); }, m_onRefused);
        return m_queue;
    };
}

LimitedServer::~LimitedServer()
{
    close(m_stopEvent);
}

bool LimitedServer::listenOn(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    int port = 0;
    if (colon == std::string::npos) {
        return false;
    }
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    // httplib sets SO_REUSEPORT, with which a second process could bind the same port unnoticed.
    set_socket_options([](socket_t socket) {
        const int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    });
    if (!bind_to_port(address.substr(0, colon), port)) {
        return false;
    }
    // httplib listens with a backlog of 5; listening again only widens it.
    return ::listen(svr_sock_, listenBacklog) == 0;
}

int LimitedServer::port() const
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    getsockname(svr_sock_, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

void LimitedServer::serve()
{
    listen_after_bind();
}

void LimitedServer::finish()
{
    m_finishing = true;
    eventfd_write(m_stopEvent, 1);
    if (is_running()) {
        stop();
    } else {
        // Ends an accept that is only about to begin.
        ::shutdown(svr_sock_, SHUT_RDWR);
    }
}

std::size_t LimitedServer::connections() const
{
    return m_connections;
}

std::size_t LimitedServer::heldBytes() const
{
    return m_heldBytes;
}

const SocketStream *LimitedServer::currentStream()
{
    return servedStream;
}

void LimitedServer::closeAfterThisRequest()
{
    closeAfterwards = true;
}

void LimitedServer::serveConnection(SocketStream &stream)
{
    bool hadRequest = false;
    for (std::size_t left = m_limits.requestsPerConnection; left > 0 && !m_finishing; --left) {
        if (!awaitRequest(stream, hadRequest)) {
            return;
        }
        bool closed = false;
        closeAfterwards = false;
        const bool isLast = left == 1 || m_finishing;
        if (!process_request(stream, isLast, closed, keepBodyAsSent) || closed || closeAfterwards
            || stream.isBroken()) {
            return;
        }
        hadRequest = true;
    }
}

bool LimitedServer::awaitRequest(SocketStream &stream, bool hadRequest)
{
    const IdleConnections::Stay stay(m_idle, stream.socket(), hadRequest);
    if (!hadRequest) {
        return stream.awaitRequest(m_limits.requestTime, m_stopEvent);
    }
    // Its thread is for those that wait, unless its next request has come.
    const bool isWantedElsewhere = m_queue.load()->hasWaiting();
    return stream.awaitRequest(isWantedElsewhere ? Milliseconds(0) : m_limits.idleTime, m_stopEvent);
}

bool LimitedServer::process_and_close_socket(socket_t socket)
{
    if (BoundedTaskQueue::isRefusing()) {
        turnAway(socket);
        return false;
    }
    ++m_connections;
    SocketStream stream(socket, m_limits, m_heldBytes);
    servedStream = &stream;
    serveConnection(stream);
    servedStream = nullptr;
    stream.finish();
    close(socket);
    --m_connections;
    return true;
}

} // namespace currantring
