#include "byteconnection.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <sys/epoll.h>
#include <sys/socket.h>

namespace currantring::net {

namespace {

constexpr std::size_t readBytes = 16'384;

bool isTemporary(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

ByteConnection::ByteConnection(EventLoop &loop, FileDescriptor socket, bool connecting, Handlers handlers)
    : m_loop(loop)
    , m_socket(std::move(socket))
    , m_handlers(std::move(handlers))
    , m_isConnecting(connecting)
    , m_watched(connecting ? EPOLLOUT : EPOLLIN)
{
    m_loop.watch(m_socket.get(), m_watched, [this](std::uint32_t events) { handleEvents(events); });
}

ByteConnection::~ByteConnection()
{
    *m_isAlive = false;
    m_loop.forget(m_socket.get());
}

void ByteConnection::write(std::string_view bytes)
{
    if (m_isConnecting || !m_unsent.empty()) {
        m_unsent.append(bytes);
        return;
    }
    const ssize_t sent = ::send(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    const std::size_t taken = sent > 0 ? static_cast<std::size_t>(sent) : 0;
    if (taken < bytes.size()) {
        // A broken connection shows at the next event.
        m_unsent.append(bytes.substr(taken));
        updateWatch();
    }
}

void ByteConnection::takeArrived()
{
    const std::shared_ptr<bool> isAlive = m_isAlive;
    while (*isAlive && !m_isConnecting && m_isReading && readSocket()) { }
}

bool ByteConnection::hasArrived() const
{
    char byte = 0;
    return ::recv(m_socket.get(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool ByteConnection::hasUnsent() const
{
    return !m_unsent.empty();
}

std::size_t ByteConnection::unsentBytes() const
{
    return m_unsent.empty() ? 0 : m_unsent.capacity();
}

void ByteConnection::pauseReading()
{
    m_isReading = false;
    updateWatch();
}

void ByteConnection::resumeReading()
{
    m_isReading = true;
    updateWatch();
}

void ByteConnection::shutdownWriting()
{
    ::shutdown(m_socket.get(), SHUT_WR);
}

void ByteConnection::handleEvents(std::uint32_t events)
{
    const std::shared_ptr<bool> isAlive = m_isAlive;
    if (m_isConnecting) {
        finishConnecting();
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (*isAlive && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        readSocket();
    }
}

void ByteConnection::finishConnecting()
{
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(m_socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        m_handlers.onEnd(std::strerror(error));
        return;
    }
    m_isConnecting = false;
    const std::shared_ptr<bool> isAlive = m_isAlive;
    m_handlers.onConnected();
    if (*isAlive) {
        flush();
    }
}

bool ByteConnection::readSocket()
{
    std::array<char, readBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    const ssize_t count = ::recv(m_socket.get(), buffer.data(), buffer.size(), 0);
    if (count > 0) {
        m_handlers.onBytes(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
        return true;
    }
    if (count == 0) {
        m_handlers.onEnd("closed by the other end");
    } else if (!isTemporary(errno)) {
        m_handlers.onEnd(std::strerror(errno));
    }
    return false;
}

void ByteConnection::flush()
{
    if (!m_unsent.empty()) {
        const ssize_t sent = ::send(m_socket.get(), m_unsent.data(), m_unsent.size(), MSG_NOSIGNAL);
        if (sent < 0 && !isTemporary(errno)) {
            m_handlers.onEnd(std::strerror(errno));
            return;
        }
        m_unsent.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
        if (m_unsent.empty()) {
            m_unsent.shrink_to_fit();
            updateWatch();
            m_handlers.onWritten();
            return;
        }
    }
    updateWatch();
}

void ByteConnection::updateWatch()
{
    std::uint32_t wanted = 0;
    if (m_isReading && !m_isConnecting) {
        wanted |= EPOLLIN;
    }
    if (m_isConnecting || !m_unsent.empty()) {
        wanted |= EPOLLOUT;
    }
    if (wanted != std::exchange(m_watched, wanted)) {
        m_loop.change(m_socket.get(), wanted);
    }
}

} // namespace currantring::net
