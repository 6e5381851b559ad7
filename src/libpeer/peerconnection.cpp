#include "peerconnection.h"

#include "log.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <sys/epoll.h>
#include <sys/socket.h>

namespace currantring {

namespace {

constexpr std::size_t readBytes = 65'536;
constexpr std::size_t writeBytes = 262'144;
/** Reads in one round, so that one busy peer doesn't hold up the others. */
constexpr int readsAtOnce = 16;
/** Incomplete messages that one connection may hold, in whole ones. */
constexpr std::size_t bufferedMessages = 8;

Http2Limits limitsOf(const PeerTransportOptions &options)
{
    return { options.maximumMessageBytes,
             std::max(options.queueBytes, options.maximumMessageBytes * bufferedMessages) };
}

} // namespace

PeerConnection::PeerConnection(PeerConnectionContext context, FileDescriptor socket, std::string remote,
                               Http2Session::Role role, Handlers handlers)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_handlers(std::move(handlers))
    , m_session(role, context.options.self, limitsOf(context.options), sessionHandlers())
    , m_remote(std::move(remote))
    , m_lastRead(EventLoop::Clock::now())
{
}

PeerConnection::~PeerConnection()
{
    release();
}

Http2Session::Handlers PeerConnection::sessionHandlers()
{
    PeerCounters &counters = m_context.counters;
    Http2Session::Handlers handlers;
    handlers.onReady = [this] {
        m_handlers.onReady();
    };
    handlers.onMessage = [this, &counters](const HostId &from, std::string bytes) {
        ++counters.messagesIn;
        return m_handlers.onMessage(from, std::move(bytes));
    };
    handlers.onDone = [this, &counters](std::size_t size, bool confirmed) {
        ++(confirmed ? counters.messagesOut : counters.unconfirmed);
        m_handlers.onDone(size);
    };
    handlers.onOversize = [this, &counters] {
        ++counters.oversize;
        writeLog({ LogLevel::Warning, "peer_oversize", { { "remote", m_remote } } });
    };
    handlers.onGarbage = [this, &counters](std::string_view reason) {
        ++counters.garbage;
        m_garbageReason = reason;
        writeLog({ LogLevel::Warning, "peer_garbage", { { "remote", m_remote }, { "reason", m_garbageReason } } });
    };
    return handlers;
}

void PeerConnection::start()
{
    m_context.loop.watch(m_socket.get(), EPOLLIN, [weak = weak_from_this()](std::uint32_t events) {
        if (const auto connection = weak.lock()) {
            connection->handleEvents(events);
        }
    });
    checkLife();
    flush();
}

bool PeerConnection::submit(std::string bytes)
{
    return !m_hasEnded && m_session.submit(std::move(bytes));
}

void PeerConnection::handleEvents(std::uint32_t events)
{
    if ((events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0) {
        readSocket();
    }
    flush();
}

void PeerConnection::readSocket()
{
    std::array<char, readBytes> buffer;
    for (int round = 0; round < readsAtOnce && !m_hasEnded; ++round) {
        const ssize_t count = ::recv(m_socket.get(), buffer.data(), buffer.size(), 0);
        if (count > 0) {
            m_lastRead = EventLoop::Clock::now();
            m_context.counters.bytesIn += static_cast<std::uint64_t>(count);
            m_session.receive({ buffer.data(), static_cast<std::size_t>(count) });
        } else if (count == 0) {
            endByPeer("closed by the peer");
        } else if (errno == EAGAIN) {
            return;
        } else if (errno != EINTR) {
            endByPeer(std::strerror(errno));
        }
    }
}

void PeerConnection::endByPeer(const std::string &detail)
{
    // Garbage is noted when the answer to it is made, also if nobody is there to take it.
    m_session.produce(m_out, writeBytes);
    end(m_garbageReason.empty() ? PeerConnectionEnd::Lost : PeerConnectionEnd::Garbage,
        m_garbageReason.empty() ? detail : m_garbageReason);
}

void PeerConnection::flush()
{
    // What the handlers do may drop the last owner.
    const auto self = shared_from_this();
    while (!m_hasEnded) {
        if (m_out.empty()) {
            m_session.produce(m_out, writeBytes);
        }
        if (m_out.empty()) {
            watchForWriting(false);
            break;
        }
        if (!writeSocket()) {
            break;
        }
    }
    if (!m_hasEnded && m_out.empty() && m_session.isOver()) {
        end(m_garbageReason.empty() ? PeerConnectionEnd::Lost : PeerConnectionEnd::Garbage,
            m_garbageReason.empty() ? "ended by the peer" : m_garbageReason);
    }
}

/** Whether the socket may take more. */
bool PeerConnection::writeSocket()
{
    const ssize_t count = ::send(m_socket.get(), m_out.data(), m_out.size(), MSG_NOSIGNAL);
    if (count >= 0) {
        m_context.counters.bytesOut += static_cast<std::uint64_t>(count);
        m_out.erase(0, static_cast<std::size_t>(count));
        return true;
    }
    if (errno == EAGAIN) {
        watchForWriting(true);
        return false;
    }
    if (errno == EINTR) {
        return true;
    }
    end(PeerConnectionEnd::Lost, std::strerror(errno));
    return false;
}

void PeerConnection::watchForWriting(bool isWanted)
{
    if (m_waitsToWrite != isWanted) {
        m_waitsToWrite = isWanted;
        m_context.loop.change(m_socket.get(), isWanted ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }
}

void PeerConnection::checkLife()
{
    const PeerTransportOptions &options = m_context.options;
    const auto idle = std::chrono::duration_cast<Milliseconds>(EventLoop::Clock::now() - m_lastRead);
    if (idle >= options.silenceBound) {
        end(PeerConnectionEnd::Silent, "no sign of life for " + std::to_string(idle.count()) + " ms");
        return;
    }
    const Milliseconds next = std::min(options.pingInterval, options.silenceBound - idle);
    m_lifeTimer = m_context.loop.schedule(next, [weak = weak_from_this()] {
        if (const auto connection = weak.lock()) {
            connection->checkLife();
        }
    });
    if (idle >= options.pingInterval) {
        m_session.ping();
        flush();
    }
}

void PeerConnection::end(PeerConnectionEnd end, const std::string &detail)
{
    if (m_hasEnded) {
        return;
    }
    const auto self = shared_from_this();
    m_context.counters.silent += end == PeerConnectionEnd::Silent ? 1 : 0;
    release();
    m_handlers.onEnd(end, detail);
}

void PeerConnection::close()
{
    if (m_hasEnded) {
        return;
    }
    m_session.terminate();
    m_session.produce(m_out, writeBytes);
    const ssize_t count = ::send(m_socket.get(), m_out.data(), m_out.size(), MSG_NOSIGNAL);
    m_context.counters.bytesOut += static_cast<std::uint64_t>(std::max<ssize_t>(count, 0));
    // Closing with unread bytes would reset the connection and with it what the peer hasn't read yet.
    std::array<char, readBytes> unread {};
    for (int round = 0; round < readsAtOnce; ++round) {
        if (::recv(m_socket.get(), unread.data(), unread.size(), 0) <= 0) {
            break;
        }
    }
    release();
}

void PeerConnection::release()
{
    if (!std::exchange(m_hasEnded, true)) {
        m_context.counters.unconfirmed += m_session.unfinished();
        m_context.loop.cancel(m_lifeTimer);
        m_context.loop.forget(m_socket.get());
        m_socket.reset();
    }
}

} // namespace currantring
