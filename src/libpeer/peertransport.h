#pragma once

#include "chart.h"
#include "ids.h"
#include "units.h"

#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

namespace currantring {

class EventLoop;

/** What a PeerTransport is told at its start. */
struct PeerTransportOptions
{
    HostId self;
    /** Where peers connect; port 0 takes any free one. */
    Address listen;
    /** Life cycle of a link: states idle, connecting, connected, closed. */
    Chart peerLink;
    /** Larger messages are neither sent nor taken. */
    std::size_t maximumMessageBytes = 1'500'000;
    /** Bounds on what waits or is in flight to one peer. */
    std::size_t queueMessages = 1024;
    std::size_t queueBytes = 8'000'000;
    /** Most connections from peers at once; further ones are closed at once. */
    std::size_t maximumConnections = 256;
    /** A connection without incoming bytes for this long is asked for a sign of life. */
    Milliseconds pingInterval { 1000 };
    /** A connection without incoming bytes for this long is closed. */
    Milliseconds silenceBound { 3000 };
    Milliseconds firstBackoff { 50 };
    Milliseconds longestBackoff { 2000 };
    /** Seed of the backoff's jitter. */
    std::uint64_t seed = 0;
};

/** What a PeerTransport reports; all run on its thread, must not block and must not throw. */
struct PeerTransportHandlers
{
    /** Takes a message; false when the bytes are none, which resets the stream they came on. */
    std::function<bool(const HostId &from, std::string bytes)> onMessage;
    /** A connected link was lost; messages in flight may or may not have arrived. It is connected again by itself. */
    std::function<void(const HostId &peer)> onLinkLost;
    /** A link reached its peer and takes messages; may be left empty. */
    std::function<void(const HostId &peer)> onLinkConnected = {};
};

/** Why a PeerTransport can't start. */
enum class PeerTransportErrorKind { BadAddress, AddressInUse, System };

struct PeerTransportError
{
    PeerTransportErrorKind kind = PeerTransportErrorKind::System;
    std::string message;
};

/** Totals since the start. */
struct PeerTransportCounts
{
    /** Bytes on the sockets, all of HTTP/2 included. */
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t messagesIn = 0;
    /** Messages whose receiver confirmed them. */
    std::uint64_t messagesOut = 0;
    /** Not sent: no connection, or the queue was full. */
    std::uint64_t dropped = 0;
    /** Sent on a stream that the receiver reset, or on a connection that was lost before the confirmation. */
    std::uint64_t unconfirmed = 0;
    /** Messages over the size limit, both ways. */
    std::uint64_t oversize = 0;
    /** Connections or streams closed because of what came in on them. */
    std::uint64_t garbage = 0;
    /** Connections closed because of silence. */
    std::uint64_t silent = 0;
    /** Own connections that reached a peer. */
    std::uint64_t connected = 0;
    /** Own connections lost, silent ones included. */
    std::uint64_t lost = 0;
    /** Connections from peers refused at the limit. */
    std::uint64_t refused = 0;
};

/**
 * Carries messages between hosts over HTTP/2, one stream for each, on a connection for each direction.
 *
 * All links of the process share one thread. Thread safety: every method may be called from any thread, but start
 * and stop from the owning one only; on a given loop, all from the loop's thread.
 */
class PeerTransport
{
public:
    /** With a thread of its own. */
    PeerTransport(PeerTransportOptions options, PeerTransportHandlers handlers);
    /** On the thread of @p loop, which every method must be called from. Precondition: @p loop outlives the object. */
    PeerTransport(PeerTransportOptions options, PeerTransportHandlers handlers, EventLoop &loop);
    /** Stops. */
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /** Listens and starts the thread. Precondition: not started before. The error says what was expected. */
    tl::expected<void, PeerTransportError> start();
    /** Hands what is queued to the sockets, closes everything and joins the thread. Repeating it does nothing. */
    void stop();
    /** The address that it listens on, with the true port. Precondition: start() succeeded. */
    [[nodiscard]] Address listenAddress() const;

    /** Keeps a connection to @p peer at @p address from now on; another address replaces the connection. */
    void connect(const HostId &peer, const Address &address);
    /** Closes the connection to @p peer. */
    void disconnect(const HostId &peer);
    /**
     * Sends @p bytes at most once; a loss isn't reported. Returns false when it surely isn't sent: no connection, a
     * full queue, too large.
     */
    bool send(const HostId &peer, std::string bytes);

    [[nodiscard]] PeerTransportCounts counts() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace currantring
