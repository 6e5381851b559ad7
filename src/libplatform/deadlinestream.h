#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include <httplib.h>

namespace currantring {

/**
 * The stream of one exchange on a socket, with one deadline for all of it.
 *
 * httplib's own stream has a limit for each single read, so that a server which trickles bytes holds its caller for
 * ever. Thread safety: one thread at a time.
 */
class DeadlineStream : public httplib::Stream
{
public:
    using Clock = std::chrono::steady_clock;

    /** Doesn't own @p socket. Reads no more than @p byteLimit. */
    DeadlineStream(socket_t socket, Clock::time_point deadline, std::size_t byteLimit);

    /** Whether any byte was handed to the socket. */
    [[nodiscard]] bool hasWritten() const;
    /** Whether the peer has closed, or has sent what nobody asked for. Precondition: nothing was written yet. */
    [[nodiscard]] bool isStale() const;
    /** Whether bytes past the answer were received. */
    [[nodiscard]] bool hasLeftover() const;

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    [[nodiscard]] socket_t socket() const override;

private:
    [[nodiscard]] bool waitFor(short events, Clock::time_point limit) const;
    bool fill();

    socket_t m_socket;
    Clock::time_point m_deadline;
    std::size_t m_bytesLeft;
    std::array<char, 16384> m_buffer {};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    bool m_written = false;
};

} // namespace currantring
