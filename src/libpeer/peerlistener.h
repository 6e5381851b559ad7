#pragma once

#include "peerconnection.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace currantring {

/**
 * Takes the connections of other hosts and the messages on them.
 *
 * Thread safety: the event loop's thread only, or before the loop runs.
 */
class PeerListener
{
public:
    using MessageHandler = std::function<bool(const HostId &from, std::string bytes)>;

    /** @p socket listens already. Precondition: what @p context refers to outlives the listener. */
    PeerListener(PeerConnectionContext context, FileDescriptor socket, MessageHandler onMessage);
    /** Closes all connections. */
    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

private:
    void listen();
    void acceptWaiting();
    void addConnection(FileDescriptor socket);

    PeerConnectionContext m_context;
    FileDescriptor m_socket;
    MessageHandler m_onMessage;
    EventLoop::TimerKey m_pauseTimer;
    bool m_isWatched = false;
    std::set<std::shared_ptr<PeerConnection>> m_connections;
};

} // namespace currantring
