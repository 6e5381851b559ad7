#include "peerlink.h"

#include "log.h"
#include "socket.h"

#include <cerrno>
#include <cstring>

namespace currantring {

namespace {

constexpr std::string_view connectedState = "connected";
constexpr std::string_view connectEvent = "connect";
constexpr std::string_view connectedEvent = "connected";
constexpr std::string_view silentEvent = "silent";
constexpr std::string_view lostEvent = "lost";
constexpr std::string_view closeEvent = "close";

} // namespace

PeerLink::PeerLink(PeerConnectionContext context, PeerOutbox &outbox, Random &random, HostId peer, Address address,
                   PeerHandler onConnected, PeerHandler onLost)
    : m_context(context)
    , m_outbox(outbox)
    , m_random(random)
    , m_peer(std::move(peer))
    , m_address(std::move(address))
    , m_onConnected(std::move(onConnected))
    , m_onLost(std::move(onLost))
    , m_state(context.options.peerLink.initial())
    , m_backoff(context.options.firstBackoff, context.options.longestBackoff)
{
}

PeerLink::~PeerLink()
{
    fire(closeEvent);
    m_isClosing = true;
    m_context.loop.cancel(m_retryTimer);
    if (m_connection) {
        drain();
    }
    if (m_connection) {
        m_connection->close();
    }
    m_context.counters.dropped += m_outbox.close(m_peer);
}

void PeerLink::connect()
{
    if (fire(connectEvent)) {
        startConnection();
    }
}

/** Whether the chart has a transition for @p event, which is then taken. */
bool PeerLink::fire(std::string_view event)
{
    const std::optional<std::string> next = m_context.options.peerLink.next(m_state, event);
    if (!next) {
        writeLog({ LogLevel::Warning,
                   "peer_event_ignored",
                   { { "peer", m_peer.value() }, { "state", m_state }, { "chart_event", std::string(event) } } });
        return false;
    }
    m_state = *next;
    return true;
}

void PeerLink::startConnection()
{
    const std::optional<SocketAddress> native = parseSocketAddress(m_address);
    FileDescriptor socket = native ? beginConnect(*native) : FileDescriptor();
    if (!socket.isValid()) {
        handleEnd(PeerConnectionEnd::Lost, native ? std::strerror(errno) : "expected an address 127.0.0.1:7001");
        return;
    }
    PeerConnection::Handlers handlers;
    handlers.onReady = [this] {
        handleReady();
    };
    handlers.onMessage = [](const HostId & /*from*/, const std::string & /*bytes*/) {
        return false;
    };
    handlers.onDone = [this](std::size_t size) {
        m_outbox.release(m_peer, size);
    };
    handlers.onEnd = [this](PeerConnectionEnd end, const std::string &detail) {
        handleEnd(end, detail);
    };
    m_connection = std::make_shared<PeerConnection>(m_context, std::move(socket), m_address.value(),
                                                    Http2Session::Role::Client, std::move(handlers));
    // The link keeps it until it ends, which may be at once.
    const std::shared_ptr<PeerConnection> connection = m_connection;
    connection->start();
}

void PeerLink::handleReady()
{
    if (fire(connectedEvent)) {
        m_backoff.reset();
        ++m_context.counters.connected;
        m_outbox.open(m_peer);
        writeLog(
            { LogLevel::Info, "peer_connected", { { "peer", m_peer.value() }, { "address", m_address.value() } } });
        m_onConnected(m_peer);
    }
}

void PeerLink::handleEnd(PeerConnectionEnd end, const std::string &detail)
{
    m_connection.reset();
    if (m_isClosing) {
        return;
    }
    const bool wasConnected = m_state == connectedState;
    m_context.counters.dropped += m_outbox.close(m_peer);
    logEnd(end, detail, wasConnected);
    fire(wasConnected && end == PeerConnectionEnd::Silent ? silentEvent : lostEvent);
    m_retryTimer = m_context.loop.schedule(m_backoff.next(m_random), [this] { connect(); });
    if (wasConnected) {
        ++m_context.counters.lost;
        m_onLost(m_peer);
    }
}

void PeerLink::logEnd(PeerConnectionEnd end, const std::string &detail, bool wasConnected) const
{
    const bool isSilent = end == PeerConnectionEnd::Silent;
    const LogLevel level = wasConnected || isSilent ? LogLevel::Warning : LogLevel::Debug;
    writeLog({ level,
               isSilent ? "peer_silent" : "peer_lost",
               { { "peer", m_peer.value() }, { "address", m_address.value() }, { "detail", detail } } });
}

void PeerLink::drain()
{
    if (!m_connection) {
        return;
    }
    for (std::string &bytes : m_outbox.take(m_peer)) {
        const std::size_t size = bytes.size();
        if (!m_connection->submit(std::move(bytes))) {
            ++m_context.counters.dropped;
            m_outbox.release(m_peer, size);
        }
    }
    const std::shared_ptr<PeerConnection> connection = m_connection;
    connection->flush();
}

const Address &PeerLink::address() const
{
    return m_address;
}

} // namespace currantring
