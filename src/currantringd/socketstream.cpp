#include "socketstream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

namespace currantring {

namespace {

constexpr std::size_t bufferBytes = 4096;
constexpr Milliseconds finishTime { 300 };
/** Room for the framing of a chunked body. */
constexpr std::size_t framingBytes = 65536;

enum class Readiness { Ready, TimedOut, Interrupted };

int pollMilliseconds(Milliseconds time)
{
    return static_cast<int>(std::clamp<std::int64_t>(time.count(), 0, 3'600'000));
}

Readiness waitFor(int socket, short events, Milliseconds time, int stopEvent = -1)
{
    std::array<pollfd, 2> entries { pollfd { socket, events, 0 }, pollfd { stopEvent, POLLIN, 0 } };
    const auto until = std::chrono::steady_clock::now() + time;
    while (true) {
        const auto left = std::chrono::ceil<Milliseconds>(until - std::chrono::steady_clock::now());
        const int ready = poll(entries.data(), entries.size(), pollMilliseconds(left));
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready <= 0) {
            return Readiness::TimedOut;
        }
        return entries[1].revents != 0 && entries[0].revents == 0 ? Readiness::Interrupted : Readiness::Ready;
    }
}

void describe(const sockaddr_storage &address, std::string &ip, int &port)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (address.ss_family == AF_INET) {
        sockaddr_in plain {};
        std::memcpy(&plain, &address, sizeof plain);
        inet_ntop(AF_INET, &plain.sin_addr, text.data(), text.size());
        port = ntohs(plain.sin_port);
    } else {
        sockaddr_in6 plain {};
        std::memcpy(&plain, &address, sizeof plain);
        inet_ntop(AF_INET6, &plain.sin6_addr, text.data(), text.size());
        port = ntohs(plain.sin6_port);
    }
    ip = text.data();
}

} // namespace

SocketStream::SocketStream(int socket, const ConnectionLimits &limits, std::atomic<std::size_t> &heldBytes)
    : m_socket(socket)
    , m_limits(limits)
    , m_heldBytes(heldBytes)
    , m_buffer(bufferBytes)
    , m_deadline(std::chrono::steady_clock::now() + limits.requestTime)
{
}

SocketStream::~SocketStream()
{
    releaseRequest();
}

void SocketStream::releaseRequest()
{
    m_heldBytes -= m_requestBytes;
    m_requestBytes = 0;
}

bool SocketStream::awaitRequest(Milliseconds time, int stopEvent)
{
    releaseRequest();
    m_blankLine = 0;
    m_headerEnded = false;
    if (m_position == m_filled) {
        if (waitFor(m_socket, POLLIN, time, stopEvent) != Readiness::Ready || !fill(Milliseconds(0))) {
            return false;
        }
    }
    m_deadline = std::chrono::steady_clock::now() + m_limits.requestTime;
    return true;
}

bool SocketStream::isOverflowed() const
{
    return m_overflowed;
}

bool SocketStream::isOverBudget() const
{
    return m_overBudget;
}

bool SocketStream::isBroken() const
{
    return m_broken || m_overflowed || m_overBudget;
}

Milliseconds SocketStream::timeLeft() const
{
    const auto left = std::chrono::ceil<Milliseconds>(m_deadline - std::chrono::steady_clock::now());
    return std::max(left, Milliseconds(0));
}

bool SocketStream::fill(Milliseconds time)
{
    if (waitFor(m_socket, POLLIN, time) != Readiness::Ready) {
        m_broken = true;
        return false;
    }
    const ssize_t got = recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
    m_position = 0;
    m_filled = got > 0 ? static_cast<std::size_t>(got) : 0;
    m_broken = m_broken || got <= 0;
    return got > 0;
}

bool SocketStream::takeIntoAccount(const char *bytes, std::size_t size)
{
    constexpr std::string_view blankLine = "\r\n\r\n";
    m_requestBytes += size;
    const std::size_t held = m_heldBytes += size;
    for (std::size_t index = 0; index < size && !m_headerEnded; ++index) {
        if (bytes[index] == blankLine[m_blankLine]) {
            m_headerEnded = ++m_blankLine == blankLine.size();
        } else {
            m_blankLine = bytes[index] == blankLine.front() ? 1 : 0;
        }
    }
    const std::size_t bound =
        m_headerEnded ? m_limits.headerBytes + m_limits.bodyBytes + framingBytes : m_limits.headerBytes;
    m_overflowed = m_overflowed || m_requestBytes > bound;
    m_overBudget = m_overBudget
        || (held > m_limits.heldBytes
            && m_requestBytes > m_limits.heldBytes / std::max<std::size_t>(m_limits.connections, 1));
    return !m_overflowed && !m_overBudget;
}

bool SocketStream::is_readable() const
{
    return m_position < m_filled || waitFor(m_socket, POLLIN, timeLeft()) == Readiness::Ready;
}

bool SocketStream::is_writable() const
{
    return waitFor(m_socket, POLLOUT, m_limits.writeTime) == Readiness::Ready;
}

ssize_t SocketStream::read(char *bytes, size_t size)
{
    const bool isRefused = m_overflowed || m_overBudget;
    if (isRefused || (m_position == m_filled && !fill(timeLeft()))) {
        return isRefused ? -1 : 0;
    }
    const std::size_t taken = std::min(size, m_filled - m_position);
    std::memcpy(bytes, m_buffer.data() + m_position, taken);
    m_position += taken;
    return takeIntoAccount(bytes, taken) ? static_cast<ssize_t>(taken) : -1;
}

ssize_t SocketStream::write(const char *bytes, size_t size)
{
    std::size_t sent = 0;
    const auto until = std::chrono::steady_clock::now() + m_limits.writeTime;
    while (sent < size) {
        const ssize_t count = send(m_socket, bytes + sent, size - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        const auto left = std::chrono::ceil<Milliseconds>(until - std::chrono::steady_clock::now());
        const bool mayRetry = errno == EAGAIN || errno == EINTR;
        if (!mayRetry || waitFor(m_socket, POLLOUT, left) != Readiness::Ready) {
            m_broken = true;
            return -1;
        }
    }
    return static_cast<ssize_t>(sent);
}

void SocketStream::finish()
{
    // The request is answered; what the other end still sends is discarded and doesn't count.
    releaseRequest();
    shutdown(m_socket, SHUT_WR);
    const auto until = std::chrono::steady_clock::now() + finishTime;
    while (std::chrono::steady_clock::now() < until) {
        const auto left = std::chrono::ceil<Milliseconds>(until - std::chrono::steady_clock::now());
        if (waitFor(m_socket, POLLIN, left) != Readiness::Ready
            || recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT) <= 0) {
            return;
        }
    }
}

void SocketStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address {};
    socklen_t length = sizeof address;
    if (getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0) {
        describe(address, ip, port);
    }
}

void SocketStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address {};
    socklen_t length = sizeof address;
    if (getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0) {
        describe(address, ip, port);
    }
}

socket_t SocketStream::socket() const
{
    return m_socket;
}

} // namespace currantring
