#pragma once

#include "idleconnections.h"
#include "socketstream.h"

#include <atomic>
#include <functional>
#include <string>

#include <httplib.h>

namespace currantring {

class BoundedTaskQueue;

/**
 * An HTTP server that keeps its ConnectionLimits.
 *
 * Bodies stay as sent: no form parsing, no decompression, no ranges. While connections wait for a thread, idle ones are
 * ended, so that nobody keeps the threads. A connection past the limits gets a short refusal and is closed. Thread
 * safety: listenOn, then serve in one thread; finish from any thread.
 */
class LimitedServer : public httplib::Server
{
public:
    /** @p onRefused runs in the accepting thread with each connection past the limits. */
    LimitedServer(ConnectionLimits limits, std::function<void()> onRefused);
    ~LimitedServer() override;
    LimitedServer(const LimitedServer &) = delete;
    LimitedServer &operator=(const LimitedServer &) = delete;

    /** Binds and starts to listen at @p address, `IP:port`; false when the port is taken or not allowed. */
    [[nodiscard]] bool listenOn(const std::string &address);
    /** Port that listenOn took. Precondition: listenOn returned true and finish wasn't called. */
    [[nodiscard]] int port() const;
    /** Accepts connections until finish(); returns when all have ended. */
    void serve();
    /** Takes no more connections, ends idle ones, and lets requests in flight finish. */
    void finish();
    /** Connections that are being served. */
    [[nodiscard]] std::size_t connections() const;
    /** Bytes of the requests that are being received or served. */
    [[nodiscard]] std::size_t heldBytes() const;

    /** The connection that the calling thread serves; null outside of a handler. */
    [[nodiscard]] static const SocketStream *currentStream();
    /** Ends the calling thread's connection with the answer to this request. */
    static void closeAfterThisRequest();

private:
    bool process_and_close_socket(socket_t socket) override;
    void serveConnection(SocketStream &stream);
    [[nodiscard]] bool awaitRequest(SocketStream &stream, bool hadRequest);

    const ConnectionLimits m_limits;
    std::function<void()> m_onRefused;
    std::atomic<std::size_t> m_connections = 0;
    std::atomic<std::size_t> m_heldBytes = 0;
    std::atomic<bool> m_finishing = false;
    IdleConnections m_idle;
    /** That of httplib, while it serves. */
    std::atomic<BoundedTaskQueue *> m_queue = nullptr;
    int m_stopEvent = -1;
};

} // namespace currantring
