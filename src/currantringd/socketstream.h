#pragma once

#include "units.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <vector>

#include <httplib.h>

namespace currantring {

/** Bounds on what one connection may ask of the daemon. */
struct ConnectionLimits
{
    /** Connections served at once; each holds a thread. */
    std::size_t connections = 64;
    /** Accepted connections that may wait for a thread. */
    std::size_t waiting = 16;
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1'000'000;
    /** From the first byte of a request to its last. */
    Milliseconds requestTime { 5000 };
    /** For one answer to be taken by the caller. */
    Milliseconds writeTime { 5000 };
    /** How long a kept-alive connection may be idle. */
    Milliseconds idleTime { 2000 };
    std::size_t requestsPerConnection = 1000;
    /**
     * Bytes of the requests of all connections together. Beyond it a request that is larger than an even share of it
     * is refused, so that small requests are served beside clients that hold large ones.
     */
    std::size_t heldBytes = 33'554'432;
};

/**
 * Reads and writes one HTTP connection within bounds on bytes and time.
 *
 * Unlike httplib's own stream it bounds the whole header and the time of the whole request, so that a caller that
 * drips bytes can't hold a thread. Thread safety: one thread at a time.
 */
class SocketStream : public httplib::Stream
{
public:
    /**
     * @p heldBytes sums up the requests of all connections. Precondition: @p socket is connected, stays owned by the
     * caller, and @p limits and @p heldBytes outlive the stream.
     */
    SocketStream(int socket, const ConnectionLimits &limits, std::atomic<std::size_t> &heldBytes);
    ~SocketStream() override;
    SocketStream(const SocketStream &) = delete;
    SocketStream &operator=(const SocketStream &) = delete;

    /**
     * Waits until a request begins, and resets the bounds for it. False when the connection was closed, stayed idle
     * for @p time, or @p stopEvent became readable.
     */
    [[nodiscard]] bool awaitRequest(Milliseconds time, int stopEvent);
    /** Whether the request was larger than the bounds. */
    [[nodiscard]] bool isOverflowed() const;
    /** Whether the request was refused since all connections together held too much. */
    [[nodiscard]] bool isOverBudget() const;
    /** Whether the connection can't be used for a further request. */
    [[nodiscard]] bool isBroken() const;
    /** Ends the sending side, and takes in what the caller still sends for a short time so that it sees the answer. */
    void finish();

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char *bytes, size_t size) override;
    ssize_t write(const char *bytes, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    [[nodiscard]] socket_t socket() const override;

private:
    void releaseRequest();
    bool fill(Milliseconds time);
    bool takeIntoAccount(const char *bytes, std::size_t size);
    [[nodiscard]] Milliseconds timeLeft() const;

    const int m_socket;
    const ConnectionLimits &m_limits;
    std::atomic<std::size_t> &m_heldBytes;
    std::vector<char> m_buffer;
    std::size_t m_position = 0;
    std::size_t m_filled = 0;
    std::chrono::steady_clock::time_point m_deadline;
    std::size_t m_requestBytes = 0;
    /** Length of the part of the blank line that ends the header seen so far. */
    std::size_t m_blankLine = 0;
    bool m_headerEnded = false;
    bool m_overflowed = false;
    bool m_overBudget = false;
    bool m_broken = false;
};

} // namespace currantring
