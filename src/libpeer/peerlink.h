#pragma once

#include "backoff.h"
#include "peerconnection.h"
#include "peeroutbox.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace currantring {

/**
 * Keeps this host's own connection to one peer: connects, sends, notices silence, and connects again.
 *
 * Its life cycle is interpreted from the chart of peer links. Thread safety: the event loop's thread only.
 */
class PeerLink
{
public:
    using PeerHandler = std::function<void(const HostId &peer)>;

    /** Precondition: what @p context refers to, @p outbox and @p random outlive the link. */
    PeerLink(PeerConnectionContext context, PeerOutbox &outbox, Random &random, HostId peer, Address address,
             PeerHandler onConnected, PeerHandler onLost);
    /** Closes the link; onLost doesn't run. */
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /** Begins to connect. */
    void connect();
    /** Sends what waits in the outbox. */
    void drain();
    [[nodiscard]] const Address &address() const;

private:
    bool fire(std::string_view event);
    void startConnection();
    void handleReady();
    void handleEnd(PeerConnectionEnd end, const std::string &detail);
    void logEnd(PeerConnectionEnd end, const std::string &detail, bool wasConnected) const;

    PeerConnectionContext m_context;
    PeerOutbox &m_outbox;
    Random &m_random;
    HostId m_peer;
    Address m_address;
    PeerHandler m_onConnected;
    PeerHandler m_onLost;
    std::string m_state;
    bool m_isClosing = false;
    Backoff m_backoff;
    EventLoop::TimerKey m_retryTimer;
    std::shared_ptr<PeerConnection> m_connection;
};

} // namespace currantring
