#include "jobnode.h"

#include "jobevents.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds heartbeatInterval { 400 };
/** A writer without a heartbeat for this time is considered unreachable. */
constexpr Milliseconds writerTimeout { 1000 };
/** A host without a heartbeat for this time is considered unreachable. */
constexpr Milliseconds hostTimeout { 1200 };
/** A host without a heartbeat for this time is removed from the peers. */
constexpr Milliseconds hostRemovalDelay { 10'000 };
/** Time that hosts get to connect to a new writer before missing heartbeats count. */
constexpr Milliseconds peerSettleTime { 1500 };
/** A writer whose oldest commit is unanswered for longer reports itself as stuck, so that others may claim the shard.
 */
constexpr Milliseconds stuckCommitAge { 600 };
/** Wait of the configuration watch while the writer's heartbeats announce new versions too; otherwise shortWatchWait.
 */
constexpr Milliseconds longWatchWait { 8000 };
/** Short enough for a version to reach all hosts within 3 s when the store leaves the writer's watch unanswered. */
constexpr Milliseconds shortWatchWait { 1500 };
/** How long a writer may extend workers' leases after the store last confirmed its claim. */
constexpr Milliseconds confirmationTerm { 3000 };
constexpr Milliseconds registerTimeout { 1500 };
constexpr Milliseconds retryDelay { 300 };
/** How long a writer that hands the shard over waits for its last commit. */
constexpr Milliseconds finishTimeout { 1000 };
/** A hand-over interrupts the service, so a larger host must have been reachable for this time before it. */
constexpr Milliseconds largerHostSettleTime { 3000 };
/** A larger host must have at least this percentage of the writer's processors. */
constexpr std::int64_t minLargerHostPercent = 150;
/** A host that the store hasn't answered for this time can't succeed the writer; longer than its watch waits. */
constexpr Milliseconds maxSuccessorStoreAge { 5000 };

} // namespace

JobNode::JobNode(JobNodeOptions options, SiteFormats formats, JobContext &context)
    : m_options(std::move(options))
    , m_formats(std::move(formats))
    , m_context(context)
    , m_startedAt(context.now())
    , m_configurationWatch(m_formats.configurationKey, context, { [this](const KvEntry &entry) {
                               if (!entry.isDeleted) {
                                   applyConfiguration(entry.value, "store");
                               }
                           } })
    , m_election(m_layout,
                 { m_options.self, m_options.peerAddress, m_options.nonce, m_options.processors,
                   std::max(m_options.shortestStoreLease, Milliseconds(1000)) },
                 context,
                 { [this](WriterToken token) { handleClaimed(token); }, [this] { handleSuperseded(); },
                   [this](const WriterClaim &claim) {
                       followWriter(claim);
                   } })
    , m_gateway(context, [this](ForwardNumber number, const CallerCall &call, Milliseconds timeLeft) {
        return sendCall(number, call, timeLeft);
    })
{
}

void JobNode::start()
{
    m_configurationWatch.setWait(shortWatchWait);
    m_configurationWatch.start();
    m_election.start();
    registerHost();
    sendHeartbeats();
}

void JobNode::registerHost()
{
    KvCommit commit;
    commit.puts = { { StoreLayout::hostKey(m_options.self), m_options.peerAddress.value(), std::nullopt } };
    m_context.callStore(std::move(commit), registerTimeout, m_lifetime.guard([this](const KvResult &result) {
        if (!result) {
            m_context.schedule(retryDelay, m_lifetime.guard([this] { registerHost(); }));
        }
    }));
}

void JobNode::applyConfiguration(const std::string &text, std::string_view source)
{
    const tl::expected<SiteConfiguration, Findings> decoded = m_formats.decodeConfiguration(text);
    if (!decoded) {
        for (const Finding &finding : decoded.error()) {
            m_context.log(
                LogLevel::Error, events::configurationRefused,
                { { "source", std::string(source) }, { "place", finding.place }, { "finding", finding.message } });
        }
        return;
    }
    if (m_configuration && decoded->version <= m_configuration->version) {
        return;
    }
    m_configuration = std::make_shared<const SiteConfiguration>(*decoded);
    m_configurationText = text;
    m_context.log(LogLevel::Info, events::configurationInForce,
                  { { "version", std::to_string(decoded->version.value()) },
                    { "queues", std::to_string(decoded->queues.size()) },
                    { "source", std::string(source) } });
    if (m_configurationHandler) {
        m_configurationHandler();
    }
    if (m_writer) {
        m_writer->reconsider();
    }
}

void JobNode::handleCall(CallerToken caller, CallerCall call, Milliseconds timeLeft)
{
    m_gateway.accept(caller, std::move(call), timeLeft);
}

void JobNode::forgetCaller(CallerToken caller)
{
    m_gateway.forget(caller);
}

bool JobNode::sendCall(ForwardNumber number, const CallerCall &call, Milliseconds timeLeft)
{
    if (m_writer) {
        m_writer->handle(
            call, m_lifetime.guard([this, number](const CallAnswer &answer) { m_gateway.complete(number, answer); }));
        return true;
    }
    if (!isWriterReachable()) {
        return false;
    }
    m_context.sendPeer(m_election.claim()->host, ForwardedCall { number, call, timeLeft });
    return true;
}

bool JobNode::isWriterReachable() const
{
    return m_election.claim() && m_lastWriterHeartbeatAt && m_context.now() - *m_lastWriterHeartbeatAt < writerTimeout;
}

bool JobNode::isReachable(const Peer &peer) const
{
    return peer.lastHeartbeatAt && m_context.now() - *peer.lastHeartbeatAt < hostTimeout;
}

bool JobNode::canSucceed(const Peer &peer) const
{
    return isReachable(peer) && !peer.beat.isLeaving && peer.beat.storeAge < maxSuccessorStoreAge;
}

bool JobNode::reachesMostHosts() const
{
    if (m_context.now() - m_claimedAt < peerSettleTime) {
        return true;
    }
    std::size_t reachable = 0;
    std::size_t known = 0;
    for (const auto &[host, peer] : m_peers) {
        // Host entries aren't tied to a lease: one that never sent a heartbeat may belong to a removed host.
        known += peer.lastHeartbeatAt ? 1 : 0;
        reachable += isReachable(peer) ? 1 : 0;
    }
    return known == 0 ? m_peers.empty() : reachable * 2 >= known;
}

void JobNode::sendHeartbeats()
{
    if (m_writer) {
        sendWriterHeartbeats();
    } else if (m_election.claim()) {
        const TimePoint storeAnswer = m_election.lastStoreAnswer().value_or(m_startedAt);
        m_context.sendPeer(m_election.claim()->host,
                           HostHeartbeat { m_options.peerAddress,
                                           m_configuration ? m_configuration->version : ConfigurationVersion(0),
                                           m_context.now() - storeAnswer, m_context.now() - m_startedAt,
                                           m_options.processors, m_isStopping });
    }
    m_configurationWatch.setWait(isWriterReachable() ? longWatchWait : shortWatchWait);
    m_context.schedule(heartbeatInterval, m_lifetime.guard([this] { sendHeartbeats(); }));
}

void JobNode::sendWriterHeartbeats()
{
    std::erase_if(m_peers, [this](const auto &entry) {
        const bool isExpired =
            entry.second.lastHeartbeatAt && m_context.now() - *entry.second.lastHeartbeatAt > hostRemovalDelay;
        if (isExpired) {
            m_context.linkPeer(entry.first, std::nullopt);
        }
        return isExpired;
    });
    m_election.setYielding(!reachesMostHosts());
    const WriterHeartbeat beat { WriterToken(m_election.claim()->token), m_options.peerAddress,
                                 m_configuration ? m_configuration->version : ConfigurationVersion(0),
                                 m_writer->commitAge() > stuckCommitAge, largestPeerProcessors() };
    for (const auto &[host, peer] : m_peers) {
        m_context.sendPeer(host, beat);
    }
    yieldToLargerHost();
}

void JobNode::yieldToLargerHost()
{
    const std::optional<HostId> successor =
        m_isHandingOver || m_isStopping || !m_writer->isActive() ? std::nullopt : chooseSuccessor();
    if (!successor) {
        return;
    }
    const Peer &peer = m_peers.at(*successor);
    const bool isLarger = peer.beat.processors.value() * 100 >= m_options.processors.value() * minLargerHostPercent;
    if (isLarger && m_context.now() - peer.reachableSince >= largerHostSettleTime) {
        m_isHandingOver = true;
        m_election.setLargestHostProcessors(peer.beat.processors);
        finishAndHandOver([] {});
    }
}

Millicores JobNode::largestPeerProcessors() const
{
    Millicores most;
    for (const auto &[host, peer] : m_peers) {
        if (isReachable(peer) && !peer.beat.isLeaving) {
            most = std::max(most, peer.beat.processors);
        }
    }
    return most;
}

void JobNode::handleClaimed(WriterToken token)
{
    m_claimedAt = m_context.now();
    RunController::Options options;
    options.layout = m_layout;
    options.token = token;
    options.timing = m_options.timing;
    options.confirmationTerm = confirmationTerm;
    options.inheritedUntil = m_context.now() + confirmationTerm + m_options.timing.longestLease;
    m_writer = std::make_unique<JobWriter>(
        m_layout, options, m_options.nonce, m_formats, m_context,
        JobWriter::Handlers { [this] { return m_configuration; },
                              [this] {
                                  m_context.schedule(Milliseconds(0), m_lifetime.guard([this] { handleSuperseded(); }));
                              } });
    listHosts({});
    m_writer->begin();
    m_gateway.resend();
}

void JobNode::handleSuperseded()
{
    destroyWriter();
    unlinkPeers(std::nullopt);
}

void JobNode::destroyWriter()
{
    // Destroyed asynchronously, since this may be called from one of its member functions.
    m_context.schedule(Milliseconds(0), [writer = std::shared_ptr<JobWriter>(std::move(m_writer))] {});
    m_isHandingOver = false;
    m_lastWriterHeartbeatAt.reset();
}

void JobNode::unlinkPeers(const std::optional<HostId> &except)
{
    for (const auto &[host, peer] : m_peers) {
        if (host != except) {
            m_context.linkPeer(host, std::nullopt);
        }
    }
    m_peers.clear();
}

void JobNode::listHosts(const std::string &after)
{
    m_context.callStore(KvList { StoreLayout::hostsPrefix(), after, true }, registerTimeout,
                        m_lifetime.guard([this, after](const KvResult &result) {
                            if (!result) {
                                m_context.schedule(retryDelay, m_lifetime.guard([this, after] { listHosts(after); }));
                                return;
                            }
                            for (const KvEntry &entry : result->entries) {
                                const HostId host = StoreLayout::hostOf(entry.key);
                                if (host != m_options.self && m_writer && m_peers.try_emplace(host).second) {
                                    m_peers[host].address = Address(entry.value);
                                    m_context.linkPeer(host, Address(entry.value));
                                }
                            }
                            if (result->hasMore && !result->entries.empty()) {
                                listHosts(result->entries.back().key);
                            }
                        }));
}

void JobNode::followWriter(const WriterClaim &claim)
{
    m_lastWriterHeartbeatAt.reset();
    if (!m_writer) {
        unlinkPeers(claim.host);
    }
    if (m_linkedWriter && *m_linkedWriter != claim.host && !m_writer) {
        m_context.linkPeer(*m_linkedWriter, std::nullopt);
    }
    m_linkedWriter.reset();
    if (claim.host != m_options.self) {
        m_linkedWriter = claim.host;
        m_context.linkPeer(claim.host, claim.address);
    }
}

void JobNode::handlePeer(const HostId &from, const JobMessage &message)
{
    if (const auto *hostBeat = std::get_if<HostHeartbeat>(&message)) {
        handleHostBeat(from, *hostBeat);
    } else if (const auto *writerBeat = std::get_if<WriterHeartbeat>(&message)) {
        handleWriterBeat(from, *writerBeat);
    } else if (const auto *offer = std::get_if<ConfigurationOffer>(&message)) {
        applyConfiguration(offer->text, from.value());
    } else if (const auto *call = std::get_if<ForwardedCall>(&message)) {
        if (m_writer) {
            m_writer->handle(call->call,
                             m_lifetime.guard([this, from, number = call->number](const CallAnswer &answer) {
                                 m_context.sendPeer(from, ForwardedAnswer { number, answer });
                             }));
        }
    } else if (const auto *answer = std::get_if<ForwardedAnswer>(&message)) {
        m_gateway.complete(answer->number, answer->answer);
    } else if (const auto *handOver = std::get_if<HandOver>(&message)) {
        m_election.acceptHandOver(handOver->token);
    }
}

void JobNode::handleHostBeat(const HostId &from, const HostHeartbeat &beat)
{
    if (!m_writer) {
        return;
    }
    Peer &peer = m_peers[from];
    if (peer.address != beat.address) {
        peer.address = beat.address;
        m_context.linkPeer(from, beat.address);
    }
    const bool isNew = !peer.lastHeartbeatAt;
    if (!isReachable(peer)) {
        peer.reachableSince = m_context.now();
    }
    peer.lastHeartbeatAt = m_context.now();
    peer.beat = beat;
    if (m_configuration && beat.configuration < m_configuration->version && !isNew) {
        m_context.sendPeer(from, ConfigurationOffer { m_configurationText });
    }
}

void JobNode::handleWriterBeat(const HostId &from, const WriterHeartbeat &beat)
{
    m_election.recordHeartbeat(beat.token, beat.isStuck);
    const bool isKnown = m_election.claim() && m_election.claim()->token == beat.token;
    if (!isKnown || m_writer) {
        return;
    }
    m_election.setLargestHostProcessors(beat.mostProcessors);
    const bool wasReachable = isWriterReachable();
    m_lastWriterHeartbeatAt = m_context.now();
    if (!wasReachable) {
        m_context.log(LogLevel::Info, events::writerRegained,
                      { { "writer", from.value() }, { "token", std::to_string(beat.token.value()) } });
        m_gateway.resend();
    }
    if (m_configuration && beat.configuration > m_configuration->version) {
        m_configurationWatch.refresh();
    }
}

void JobNode::handleLinkLost(const HostId &peer)
{
    if (m_linkedWriter && *m_linkedWriter == peer && m_lastWriterHeartbeatAt) {
        m_context.log(LogLevel::Warning, events::writerLost, { { "writer", peer.value() } });
        m_lastWriterHeartbeatAt.reset();
    }
}

void JobNode::stop(std::function<void()> then)
{
    m_isStopping = true;
    if (!m_writer) {
        m_election.retire();
        then();
        return;
    }
    finishAndHandOver([this, then = std::move(then)] {
        m_election.retire();
        then();
    });
}

void JobNode::finishAndHandOver(std::function<void()> then)
{
    const auto finished = std::make_shared<bool>(false);
    const auto once = m_lifetime.guard([this, finished, then = std::move(then)] {
        if (!std::exchange(*finished, true)) {
            handOver(then);
        }
    });
    m_writer->finish(once);
    m_context.schedule(finishTimeout, once);
}

void JobNode::handOver(const std::function<void()> &then)
{
    if (m_writer) {
        const std::optional<HostId> successor = chooseSuccessor();
        const WriterToken token = m_election.claim()->token;
        m_context.log(
            LogLevel::Info, events::shardHandedOver,
            { { "to", successor ? successor->value() : "anyone" }, { "token", std::to_string(token.value()) } });
        if (successor) {
            m_context.sendPeer(*successor, HandOver { token });
        }
        m_election.resign();
        // The links stay until the next claim, as the message and the last answers are still on their way.
        destroyWriter();
    }
    then();
}

std::optional<HostId> JobNode::chooseSuccessor() const
{
    const Peer *best = nullptr;
    std::optional<HostId> host;
    for (const auto &[id, peer] : m_peers) {
        if (!canSucceed(peer)) {
            continue;
        }
        // Prefers the shortest uptime: in a rolling restart the host that was restarted last stays up longest.
        const auto better = [](const Peer &left, const Peer &right) {
            return std::pair(right.beat.processors, left.beat.uptime)
                < std::pair(left.beat.processors, right.beat.uptime);
        };
        if (best == nullptr || better(peer, *best)) {
            best = &peer;
            host = id;
        }
    }
    return host;
}

std::shared_ptr<const SiteConfiguration> JobNode::configuration() const
{
    return m_configuration;
}

void JobNode::onConfiguration(std::function<void()> handler)
{
    m_configurationHandler = std::move(handler);
}

bool JobNode::isReady() const
{
    return m_configuration && !m_isStopping && (m_writer || isWriterReachable());
}

bool JobNode::isWriter() const
{
    return m_writer != nullptr;
}

} // namespace currantring
