#include "peertransport.h"

#include "log.h"
#include "peerlink.h"
#include "peerlistener.h"
#include "socket.h"
#include "thread.h"

#include <atomic>
#include <cerrno>
#include <cstring>
#include <map>

namespace currantring {

struct PeerTransport::Private
{
    Private(PeerTransportOptions givenOptions, PeerTransportHandlers givenHandlers, EventLoop *givenLoop)
        : options(std::move(givenOptions))
        , handlers(std::move(givenHandlers))
        , ownLoop(givenLoop == nullptr ? std::make_unique<EventLoop>() : nullptr)
        , loop(givenLoop == nullptr ? *ownLoop : *givenLoop)
        , outbox(options.queueMessages, options.queueBytes)
        , random(options.seed + stableHash(options.self.value()))
        , context { loop, counters, options }
    {
    }

    tl::expected<FileDescriptor, PeerTransportError> openListener() const;
    void setLink(const HostId &peer, const Address &address);
    void drainAll();
    void run(EventLoop::Task task);

    PeerTransportOptions options;
    PeerTransportHandlers handlers;
    PeerCounters counters;
    /** Null on a given loop. */
    std::unique_ptr<EventLoop> ownLoop;
    EventLoop &loop;
    PeerOutbox outbox;
    Random random;
    PeerConnectionContext context;
    Address address;
    /** Whether the loop has been asked to look into the outbox and hasn't yet. */
    std::atomic<bool> isDrainPosted { false };
    std::unique_ptr<PeerListener> listener;
    std::map<HostId, std::unique_ptr<PeerLink>> links;
    Thread thread;
};

tl::expected<FileDescriptor, PeerTransportError> PeerTransport::Private::openListener() const
{
    const std::string &text = options.listen.value();
    const std::optional<SocketAddress> native = parseSocketAddress(options.listen);
    if (!native) {
        return tl::unexpected(PeerTransportError { PeerTransportErrorKind::BadAddress,
                                                   "expected an address like 127.0.0.1:7001, got \"" + text + "\"" });
    }
    FileDescriptor socket = listenOn(*native);
    if (!socket.isValid()) {
        const bool isTaken = errno == EADDRINUSE;
        return tl::unexpected(
            PeerTransportError { isTaken ? PeerTransportErrorKind::AddressInUse : PeerTransportErrorKind::System,
                                 "can't listen for peers on " + text + ": "
                                     + (isTaken ? "another process has the port" : std::strerror(errno)) });
    }
    return socket;
}

void PeerTransport::Private::setLink(const HostId &peer, const Address &peerAddress)
{
    std::unique_ptr<PeerLink> &link = links[peer];
    if (link && link->address() == peerAddress) {
        return;
    }
    link.reset();
    const auto onConnected = [this](const HostId &connected) {
        if (handlers.onLinkConnected) {
            handlers.onLinkConnected(connected);
        }
    };
    link = std::make_unique<PeerLink>(context, outbox, random, peer, peerAddress, onConnected,
                                      [this](const HostId &lost) { handlers.onLinkLost(lost); });
    link->connect();
}

void PeerTransport::Private::drainAll()
{
    isDrainPosted = false;
    for (const auto &[peer, link] : links) {
        link->drain();
    }
}

/** Runs @p task on the loop's thread, after the present call in any case. */
void PeerTransport::Private::run(EventLoop::Task task)
{
    if (ownLoop) {
        loop.post(std::move(task));
    } else {
        loop.defer(std::move(task));
    }
}

PeerTransport::PeerTransport(PeerTransportOptions options, PeerTransportHandlers handlers)
    : m_d(std::make_unique<Private>(std::move(options), std::move(handlers), nullptr))
{
}

PeerTransport::PeerTransport(PeerTransportOptions options, PeerTransportHandlers handlers, EventLoop &loop)
    : m_d(std::make_unique<Private>(std::move(options), std::move(handlers), &loop))
{
}

PeerTransport::~PeerTransport()
{
    stop();
}

tl::expected<void, PeerTransportError> PeerTransport::start()
{
    auto socket = m_d->openListener();
    if (!socket) {
        return tl::unexpected(socket.error());
    }
    if (m_d->ownLoop && !m_d->loop.open()) {
        return tl::unexpected(PeerTransportError { PeerTransportErrorKind::System,
                                                   std::string("can't wait for sockets: ") + std::strerror(errno) });
    }
    m_d->address = localAddress(socket->get());
    m_d->listener =
        std::make_unique<PeerListener>(m_d->context, std::move(*socket), [this](const HostId &from, std::string bytes) {
            return m_d->handlers.onMessage(from, std::move(bytes));
        });
    if (m_d->ownLoop) {
        m_d->thread = Thread("peers", [this] { m_d->loop.run(); });
    }
    return {};
}

void PeerTransport::stop()
{
    if (!m_d->listener) {
        return;
    }
    if (m_d->ownLoop) {
        m_d->loop.post([this] { m_d->drainAll(); });
        m_d->loop.quit();
        m_d->thread.join();
    } else {
        m_d->drainAll();
    }
    m_d->links.clear();
    m_d->listener.reset();
}

Address PeerTransport::listenAddress() const
{
    return m_d->address;
}

void PeerTransport::connect(const HostId &peer, const Address &address)
{
    m_d->run([this, peer, address] { m_d->setLink(peer, address); });
}

void PeerTransport::disconnect(const HostId &peer)
{
    m_d->run([this, peer] { m_d->links.erase(peer); });
}

bool PeerTransport::send(const HostId &peer, std::string bytes)
{
    if (bytes.size() > m_d->options.maximumMessageBytes) {
        ++m_d->counters.oversize;
        return false;
    }
    if (!m_d->outbox.push(peer, std::move(bytes))) {
        ++m_d->counters.dropped;
        return false;
    }
    if (!m_d->isDrainPosted.exchange(true)) {
        m_d->run([this] { m_d->drainAll(); });
    }
    return true;
}

PeerTransportCounts PeerTransport::counts() const
{
    const PeerCounters &now = m_d->counters;
    return { now.bytesIn,  now.bytesOut, now.messagesIn, now.messagesOut, now.dropped, now.unconfirmed,
             now.oversize, now.garbage,  now.silent,     now.connected,   now.lost,    now.refused };
}

} // namespace currantring
