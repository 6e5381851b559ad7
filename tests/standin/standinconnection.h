#pragma once

#include "units.h"

#include <array>
#include <atomic>
#include <cstddef>

#include <httplib.h>

namespace currantring {

/**
 * One accepted connection, with the faults that its answer may have.
 *
 * Thread safety: used by the thread that serves it; goSilent() and close() may be called from any thread.
 */
class StandinConnection : public httplib::Stream
{
public:
    /** What becomes of the answer to the present request. */
    enum class Answer {
        Whole,
        /** Nothing of it is sent, and the connection ends. */
        Dropped,
        /** The head and half of the body are sent, and the connection ends. */
        Truncated,
    };

    /** Doesn't own @p socket. */
    explicit StandinConnection(int socket);

    /** Waits for a request; false when none comes within @p idle or the connection has ended. */
    bool awaitRequest(Milliseconds idle);
    /** Sets what becomes of the next answer. */
    void setAnswer(Answer answer);
    /** From now on nothing is sent, whatever is received. */
    void goSilent();
    [[nodiscard]] bool isSilent() const;
    /** Receives and drops everything until the peer closes or close() is called. */
    void swallow();
    /** Whether the connection must not be used for another request. */
    [[nodiscard]] bool isBroken() const;
    /** Ends the connection; whoever waits on it goes on. */
    void close();

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    [[nodiscard]] socket_t socket() const override;

private:
    [[nodiscard]] bool waitFor(short events, Milliseconds limit) const;
    bool sendAll(const char *data, std::size_t size);
    bool fill();

    int m_socket;
    std::array<char, 16384> m_buffer {};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    Answer m_answer = Answer::Whole;
    bool m_headSent = false;
    bool m_broken = false;
    std::atomic<bool> m_silent = false;
};

} // namespace currantring
