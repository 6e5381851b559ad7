#include "standinconnection.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>

namespace currantring {

namespace {

/** Longest silence within one request, and longest wait for a peer that doesn't read its answer. */
constexpr Milliseconds transferLimit(5000);
constexpr Milliseconds noLimit(-1);

} // namespace

StandinConnection::StandinConnection(int socket)
    : m_socket(socket)
{
}

bool StandinConnection::awaitRequest(Milliseconds idle)
{
    m_answer = Answer::Whole;
    m_headSent = false;
    return m_begin < m_end || (waitFor(POLLIN, idle) && fill());
}

void StandinConnection::setAnswer(Answer answer)
{
    m_answer = answer;
}

void StandinConnection::goSilent()
{
    m_silent = true;
}

bool StandinConnection::isSilent() const
{
    return m_silent;
}

void StandinConnection::swallow()
{
    do {
        m_begin = m_end;
    } while (waitFor(POLLIN, noLimit) && fill());
}

bool StandinConnection::isBroken() const
{
    return m_broken;
}

void StandinConnection::close()
{
    shutdown(m_socket, SHUT_RDWR);
}

bool StandinConnection::is_readable() const
{
    return m_begin < m_end || waitFor(POLLIN, transferLimit);
}

bool StandinConnection::is_writable() const
{
    return waitFor(POLLOUT, transferLimit);
}

ssize_t StandinConnection::read(char *data, std::size_t size)
{
    if (m_begin == m_end && !(waitFor(POLLIN, transferLimit) && fill())) {
        return -1;
    }
    const std::size_t length = std::min(size, m_end - m_begin);
    std::memcpy(data, m_buffer.data() + m_begin, length);
    m_begin += length;
    return static_cast<ssize_t>(length);
}

ssize_t StandinConnection::write(const char *data, std::size_t size)
{
    if (m_silent) {
        return static_cast<ssize_t>(size);
    }
    if (m_answer == Answer::Dropped) {
        m_broken = true;
        return -1;
    }
    // httplib writes the head of an answer as a whole, then the body.
    if (m_answer == Answer::Truncated && m_headSent) {
        sendAll(data, size / 2);
        m_broken = true;
        return -1;
    }
    m_headSent = true;
    if (!sendAll(data, size)) {
        m_broken = true;
        return -1;
    }
    return static_cast<ssize_t>(size);
}

void StandinConnection::get_remote_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0;
}

void StandinConnection::get_local_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0;
}

socket_t StandinConnection::socket() const
{
    return m_socket;
}

bool StandinConnection::waitFor(short events, Milliseconds limit) const
{
    pollfd waited { m_socket, events, 0 };
    while (true) {
        const int ready = poll(&waited, 1, static_cast<int>(limit.count()));
        if (ready >= 0 || errno != EINTR) {
            return ready > 0;
        }
    }
}

bool StandinConnection::sendAll(const char *data, std::size_t size)
{
    while (size > 0) {
        const ssize_t sent = send(m_socket, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            data += sent;
            size -= static_cast<std::size_t>(sent);
        } else if (sent < 0 && errno == EAGAIN) {
            if (!is_writable()) {
                return false;
            }
        } else if (sent == 0 || errno != EINTR) {
            return false;
        }
    }
    return true;
}

bool StandinConnection::fill()
{
    ssize_t received = -1;
    do {
        received = recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    } while (received < 0 && errno == EINTR);
    m_begin = 0;
    m_end = received > 0 ? static_cast<std::size_t>(received) : 0;
    return received > 0;
}

} // namespace currantring
