#include "peerlistener.h"

#include "log.h"
#include "socket.h"

#include <cerrno>
#include <cstring>

#include <sys/epoll.h>

namespace currantring {

namespace {

/** How long no connection is taken when the system has no descriptor left. */
constexpr Milliseconds acceptPause { 100 };

} // namespace

PeerListener::PeerListener(PeerConnectionContext context, FileDescriptor socket, MessageHandler onMessage)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_onMessage(std::move(onMessage))
{
    listen();
}

PeerListener::~PeerListener()
{
    m_context.loop.cancel(m_pauseTimer);
    if (m_isWatched) {
        m_context.loop.forget(m_socket.get());
    }
    for (const auto &connection : m_connections) {
        connection->close();
    }
}

void PeerListener::listen()
{
    m_isWatched = true;
    m_context.loop.watch(m_socket.get(), EPOLLIN, [this](std::uint32_t /*events*/) { acceptWaiting(); });
}

void PeerListener::acceptWaiting()
{
    for (;;) {
        FileDescriptor socket = acceptFrom(m_socket.get());
        if (socket.isValid()) {
            addConnection(std::move(socket));
        } else if (errno == EAGAIN) {
            return;
        } else if (errno != EINTR && errno != ECONNABORTED) {
            writeLog({ LogLevel::Warning, "peer_accept_failed", { { "detail", std::strerror(errno) } } });
            m_context.loop.forget(m_socket.get());
            m_isWatched = false;
            m_pauseTimer = m_context.loop.schedule(acceptPause, [this] { listen(); });
            return;
        }
    }
}

void PeerListener::addConnection(FileDescriptor socket)
{
    const std::string remote = remoteAddress(socket.get()).value();
    if (m_connections.size() >= m_context.options.maximumConnections) {
        ++m_context.counters.refused;
        writeLog({ LogLevel::Warning, "peer_refused", { { "remote", remote } } });
        return;
    }
    // The handlers reach the connection through a weak pointer; it is set once the connection is made.
    const auto weak = std::make_shared<std::weak_ptr<PeerConnection>>();
    PeerConnection::Handlers handlers;
    handlers.onReady = [] {
    };
    handlers.onMessage = m_onMessage;
    handlers.onDone = [](std::size_t /*size*/) {
    };
    handlers.onEnd = [this, weak, remote](PeerConnectionEnd end, const std::string &detail) {
        const bool isSilent = end == PeerConnectionEnd::Silent;
        writeLog({ isSilent ? LogLevel::Warning : LogLevel::Debug,
                   isSilent ? "peer_silent" : "peer_lost",
                   { { "remote", remote }, { "detail", detail } } });
        m_connections.erase(weak->lock());
    };
    const auto connection = std::make_shared<PeerConnection>(m_context, std::move(socket), remote,
                                                             Http2Session::Role::Server, std::move(handlers));
    *weak = connection;
    m_connections.insert(connection);
    connection->start();
}

} // namespace currantring
