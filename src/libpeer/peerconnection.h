#pragma once

#include "eventloop.h"
#include "filedescriptor.h"
#include "http2session.h"
#include "peercounters.h"

#include <functional>
#include <memory>
#include <string>

namespace currantring {

/** What the connections of one transport have in common. */
struct PeerConnectionContext
{
    EventLoop &loop;
    PeerCounters &counters;
    const PeerTransportOptions &options;
};

/** Why a connection ended. */
enum class PeerConnectionEnd { Lost, Silent, Garbage };

/**
 * One TCP connection between hosts with its HTTP/2 session, watched for signs of life.
 *
 * Thread safety: the event loop's thread only.
 */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    struct Handlers
    {
        /** Runs once, when the peer has shown that it speaks HTTP/2. */
        std::function<void()> onReady;
        std::function<bool(const HostId &from, std::string bytes)> onMessage;
        /** A sent message of @p size bytes is done with. */
        std::function<void(std::size_t size)> onDone;
        /** Runs once, last of all; the owner drops the connection in it. */
        std::function<void(PeerConnectionEnd end, const std::string &detail)> onEnd;
    };

    /**
     * @p socket may still be connecting; @p remote is for logs. Precondition: what @p context refers to outlives the
     * connection.
     */
    PeerConnection(PeerConnectionContext context, FileDescriptor socket, std::string remote, Http2Session::Role role,
                   Handlers handlers);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /** Begins to read, write and watch. */
    void start();
    /** Queues a message; flush() hands it to the socket. False when the session takes no more. */
    bool submit(std::string bytes);
    /** Hands as much as the socket takes to it. */
    void flush();
    /** Says goodbye as far as the socket takes it and closes; onEnd doesn't run. */
    void close();

private:
    Http2Session::Handlers sessionHandlers();
    void handleEvents(std::uint32_t events);
    void readSocket();
    void endByPeer(const std::string &detail);
    bool writeSocket();
    void watchForWriting(bool isWanted);
    void checkLife();
    void end(PeerConnectionEnd end, const std::string &detail);
    void release();

    PeerConnectionContext m_context;
    FileDescriptor m_socket;
    Handlers m_handlers;
    Http2Session m_session;
    std::string m_remote;
    std::string m_out;
    EventLoop::Clock::time_point m_lastRead;
    EventLoop::TimerKey m_lifeTimer;
    std::string m_garbageReason;
    bool m_waitsToWrite = false;
    bool m_hasEnded = false;
};

} // namespace currantring
