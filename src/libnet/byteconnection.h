#pragma once

#include "eventloop.h"
#include "filedescriptor.h"

#include <functional>
#include <string>
#include <string_view>

namespace currantring::net {

/**
 * The socket of one connection with its unsent bytes.
 *
 * Thread safety: the event loop's thread only.
 */
class ByteConnection
{
public:
    struct Handlers
    {
        /** The connection was established; runs only for one that was begun from this side. */
        std::function<void()> onConnected;
        std::function<void(std::string_view bytes)> onBytes;
        /** All bytes are with the system; runs after a write that couldn't be finished at once. */
        std::function<void()> onWritten;
        /** The other end closed, or the connection broke; the owner drops the object in it or later. */
        std::function<void(const std::string &detail)> onEnd;
    };

    /** Precondition: @p loop outlives the object. @p connecting: the socket may not be connected yet. */
    ByteConnection(EventLoop &loop, FileDescriptor socket, bool connecting, Handlers handlers);
    ~ByteConnection();
    ByteConnection(const ByteConnection &) = delete;
    ByteConnection &operator=(const ByteConnection &) = delete;

    /** Hands @p bytes to the system, or keeps what it doesn't take for later. A failure shows in onEnd. */
    void write(std::string_view bytes);
    /** Takes in what has come but wasn't told of yet; handlers run in it. Does nothing before the connection stands. */
    void takeArrived();
    /** Whether bytes have come that weren't told of yet. */
    [[nodiscard]] bool hasArrived() const;
    /** Whether bytes are kept for later. */
    [[nodiscard]] bool hasUnsent() const;
    /** Allocated size of the buffer of unsent bytes; 0 when all bytes are sent. */
    [[nodiscard]] std::size_t unsentBytes() const;
    /** Stops taking bytes in until resumeReading(). */
    void pauseReading();
    void resumeReading();
    /** Tells the other end that nothing more comes. */
    void shutdownWriting();

private:
    void handleEvents(std::uint32_t events);
    void finishConnecting();
    /** Whether something came. */
    bool readSocket();
    void flush();
    void updateWatch();

    EventLoop &m_loop;
    FileDescriptor m_socket;
    Handlers m_handlers;
    std::string m_unsent;
    bool m_isConnecting;
    bool m_isReading = true;
    std::uint32_t m_watched;
    /** Set while a handler runs, so that the object's end is noticed. */
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace currantring::net
