#include "deadlinestream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>

namespace currantring {

DeadlineStream::DeadlineStream(socket_t socket, Clock::time_point deadline, std::size_t byteLimit)
    : m_socket(socket)
    , m_deadline(deadline)
    , m_bytesLeft(byteLimit)
{
}

bool DeadlineStream::hasWritten() const
{
    return m_written;
}

bool DeadlineStream::isStale() const
{
    return waitFor(POLLIN, Clock::time_point::min());
}

bool DeadlineStream::hasLeftover() const
{
    return m_begin < m_end;
}

bool DeadlineStream::is_readable() const
{
    return m_begin < m_end || waitFor(POLLIN, m_deadline);
}

bool DeadlineStream::is_writable() const
{
    return waitFor(POLLOUT, m_deadline);
}

ssize_t DeadlineStream::read(char *data, std::size_t size)
{
    if (m_begin == m_end && !fill()) {
        return -1;
    }
    const std::size_t length = std::min(size, m_end - m_begin);
    std::memcpy(data, m_buffer.data() + m_begin, length);
    m_begin += length;
    return static_cast<ssize_t>(length);
}

ssize_t DeadlineStream::write(const char *data, std::size_t size)
{
    std::size_t done = 0;
    while (done < size) {
        if (!is_writable()) {
            return -1;
        }
        const ssize_t sent = send(m_socket, data + done, size - done, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            m_written = true;
            done += static_cast<std::size_t>(sent);
        } else if (sent == 0 || (errno != EAGAIN && errno != EINTR)) {
            return -1;
        }
    }
    return static_cast<ssize_t>(size);
}

void DeadlineStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0;
}

void DeadlineStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0;
}

socket_t DeadlineStream::socket() const
{
    return m_socket;
}

bool DeadlineStream::waitFor(short events, Clock::time_point limit) const
{
    pollfd waited { m_socket, events, 0 };
    while (true) {
        std::int64_t left = 0;
        if (limit != Clock::time_point::min()) {
            left = std::chrono::ceil<std::chrono::milliseconds>(limit - Clock::now()).count();
        }
        const int ready = poll(&waited, 1, static_cast<int>(std::max<std::int64_t>(left, 0)));
        if (ready >= 0 || errno != EINTR) {
            return ready > 0;
        }
    }
}

bool DeadlineStream::fill()
{
    m_begin = 0;
    m_end = 0;
    while (m_bytesLeft > 0 && Clock::now() < m_deadline && waitFor(POLLIN, m_deadline)) {
        const std::size_t room = std::min(m_buffer.size(), m_bytesLeft);
        const ssize_t received = recv(m_socket, m_buffer.data(), room, MSG_DONTWAIT);
        if (received > 0) {
            m_end = static_cast<std::size_t>(received);
            m_bytesLeft -= m_end;
            return true;
        }
        if (received == 0 || (errno != EAGAIN && errno != EINTR)) {
            return false;
        }
    }
    return false;
}

} // namespace currantring
