#include "jobnode.h"

#include "jobevents.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds heartbeatInterval { 400 };
/** A writer without a heartbeat for this time is considered unreachable. */
constexpr Milliseconds writerTimeout { 1000 };
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
/** How long a writer may extend workers' leases at most after the store last confirmed its claim. */
constexpr Milliseconds confirmationTerm { 3000 };
/** How long it does so if not all other hosts hear it; longer than the interval of its commits and checks. */
constexpr Milliseconds unsupportedTerm { 500 };
/** How long all hosts count as hearing the writer after one of its heartbeats; spans several heartbeat intervals. */
constexpr Milliseconds supportTerm { 1500 };
constexpr Milliseconds registerTimeout { 1500 };
constexpr Milliseconds retryDelay { 300 };
/** Time in which other hosts read a new configuration from the store, before the writer sends it to them. */
constexpr Milliseconds offerDelay { 800 };
/** Jobs may take a host's memory divided by this; callers' connections, peers and messages take the rest. */
constexpr std::int64_t jobsMemoryDivisor = 2;
/** How long a writer that hands the shard over waits for its last commit. */
constexpr Milliseconds finishTimeout { 1000 };
/** A larger host that couldn't keep the shard gets it again only after this time. */
constexpr Milliseconds minHandOverInterval { 30'000 };

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
                 { m_options.self, m_options.peerAddress, m_options.nonce, m_options.processors, leaseTerms(),
                   m_options.timing.longestLease, std::max(m_options.shortestStoreLease, Milliseconds(1000)) },
                 context,
                 { [this](WriterToken token, const InheritedLeases &inherited, TimePoint provenAt) {
                      handleClaimed(token, inherited, provenAt);
                  },
                   [this](TimePoint until) { limitInheritedLeases(until); }, [this] { handleSuperseded(); },
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
    m_configurationSince = m_context.now();
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

void JobNode::sendHeartbeats()
{
    const bool isUnsuited = m_suitability.isUnsuited(m_context.now());
    m_election.setReluctant(isUnsuited);
    if (m_writer) {
        sendWriterHeartbeats();
    } else if (m_election.claim()) {
        sendHostHeartbeat();
    }
    m_configurationWatch.setWait(isWriterReachable() ? longWatchWait : shortWatchWait);
    m_context.schedule(heartbeatInterval, m_lifetime.guard([this] { sendHeartbeats(); }));
}

void JobNode::sendHostHeartbeat()
{
    const TimePoint storeAnswer = m_election.lastStoreAnswer().value_or(m_startedAt);
    m_context.sendPeer(
        m_election.claim()->host,
        HostHeartbeat { m_options.peerAddress, m_configuration ? m_configuration->version : ConfigurationVersion(0),
                        m_context.now() - storeAnswer, m_context.now() - m_startedAt, m_options.processors,
                        m_isStopping || m_suitability.isUnsuited(m_context.now()), m_options.nonce,
                        m_election.claim()->token, heartbeatTime(), heardWriterHeartbeat(), m_options.memory });
}

/** The host with the least memory has to hold the jobs, too, when it becomes the writer. */
JobBudget::Bytes JobNode::jobBudget() const
{
    constexpr std::int64_t bytesPerMebibyte = 1'048'576;
    std::optional<Mebibytes> least = m_hosts.leastMemory();
    if (m_options.memory.value() > 0) {
        least = std::min(least.value_or(m_options.memory), m_options.memory);
    }
    return least ? JobBudget::Bytes(static_cast<std::size_t>(least->value() * bytesPerMebibyte / jobsMemoryDivisor))
                 : std::nullopt;
}

LeaseTerms JobNode::leaseTerms() const
{
    return { m_options.timing.lease, confirmationTerm, {}, HostSupport { unsupportedTerm, supportTerm } };
}

HeartbeatTime JobNode::heartbeatTime() const
{
    return HeartbeatTime(m_context.now().time_since_epoch().count());
}

/** A host that may replace the writer doesn't say that it hears it, as the writer would go on for longer then. */
std::optional<HeartbeatTime> JobNode::heardWriterHeartbeat() const
{
    const WriterToken token = m_election.claim()->token;
    const bool isHeard = m_heardWriter && m_heardWriter->first == token && !m_election.mayReplace(token);
    return isHeard ? std::optional(m_heardWriter->second) : std::nullopt;
}

std::optional<TimePoint> JobNode::heardByAll() const
{
    const std::optional<HeartbeatTime> heard = m_hosts.heardByAll(m_election.claim()->token);
    return heard ? std::optional(TimePoint(Milliseconds(heard->value()))) : std::nullopt;
}

void JobNode::sendWriterHeartbeats()
{
    for (const HostId &host : m_hosts.removeSilent(m_context.now())) {
        m_context.linkPeer(host, std::nullopt);
    }
    m_election.setYielding(!isSettling() && !m_hosts.reachesMost(m_context.now()));
    const Millicores largest = largestHostProcessors();
    for (const HostId &host : m_hosts.hosts()) {
        sendWriterHeartbeat(host, largest);
    }
    yieldIfUnsuited();
    if (m_writer) {
        yieldToLargerHost();
    }
}

void JobNode::sendWriterHeartbeat(const HostId &host, Millicores largest)
{
    m_context.sendPeer(host,
                       WriterHeartbeat { WriterToken(m_election.claim()->token), m_options.peerAddress,
                                         m_configuration ? m_configuration->version : ConfigurationVersion(0),
                                         m_writer->commitAge() > stuckCommitAge, largest, heartbeatTime(),
                                         m_hosts.heardFrom(host, m_context.now()) });
}

/** Whether the other hosts may not have had time to connect to this writer. */
bool JobNode::isSettling() const
{
    return m_context.now() - m_claimedAt < peerSettleTime;
}

Millicores JobNode::largestHostProcessors() const
{
    const Millicores largest = m_hosts.largestProcessors(m_context.now());
    // While the other hosts haven't been heard, what the former writer has told counts.
    return isSettling() ? std::max(largest, m_election.largestHostProcessors().value_or(Millicores(0))) : largest;
}

void JobNode::yieldIfUnsuited()
{
    if (m_isHandingOver || m_isStopping || !m_writer->isActive()) {
        m_suitability.recordInactive();
        return;
    }
    const TimePoint now = m_context.now();
    const std::size_t reachable = m_writer->fleet().reachableCount();
    const std::size_t listed = m_writer->fleet().listedCount();
    if (!m_suitability.recordReach(reachable, listed, now)) {
        return;
    }
    if (const std::optional<HostId> successor = m_hosts.successor(now)) {
        m_context.log(LogLevel::Warning, events::writerUnsuited,
                      { { "reachable", std::to_string(reachable) }, { "listed", std::to_string(listed) } });
        m_suitability.recordGivenUp(now);
        m_isHandingOver = true;
        finishWriter([this, successor] { handOver(successor); });
    }
}

void JobNode::yieldToLargerHost()
{
    const TimePoint now = m_context.now();
    const bool isTooEarly = m_handedOverAt && now - *m_handedOverAt < minHandOverInterval;
    if (m_isHandingOver || m_isStopping || isTooEarly || !m_writer->isActive()) {
        return;
    }
    if (const std::optional<HostId> successor = m_hosts.largerSuccessor(m_options.processors, now)) {
        m_isHandingOver = true;
        m_handedOverAt = now;
        // Lets the larger host claim first.
        m_election.setLargestHostProcessors(m_hosts.largestProcessors(now));
        finishWriter([this, successor] { handOver(successor); });
    }
}

void JobNode::handleClaimed(WriterToken token, const InheritedLeases &inherited, TimePoint provenAt)
{
    m_claimedAt = m_context.now();
    // What was known of the hosts as an earlier writer is out of date.
    m_hosts.removeAll();
    RunController::Options options;
    options.layout = m_layout;
    options.token = token;
    options.provenAt = provenAt;
    options.timing = m_options.timing;
    options.terms = leaseTerms();
    options.inherited = inherited;
    options.farFactor = m_options.farFactor;
    JobLogLimits logLimits;
    logLimits.valueBytes = m_options.storeValueBytes;
    m_writer = std::make_unique<JobWriter>(
        m_layout, options, m_options.nonce, logLimits, m_formats, m_context,
        JobWriter::Handlers { [this] { return m_configuration; }, [this] { return heardByAll(); },
                              [this] { return jobBudget(); },
                              [this] {
                                  m_context.schedule(Milliseconds(0), m_lifetime.guard([this] { handleSuperseded(); }));
                              } });
    listHosts({});
    m_writer->begin();
    m_gateway.resend();
}

void JobNode::limitInheritedLeases(TimePoint until)
{
    if (m_writer) {
        m_writer->limitInherited(until);
    }
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
    for (const HostId &host : m_hosts.removeAll()) {
        if (host != except) {
            m_context.linkPeer(host, std::nullopt);
        }
    }
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
                                if (host != m_options.self && m_writer && m_hosts.add(host, Address(entry.value))) {
                                    m_context.linkPeer(host, Address(entry.value));
                                    sendWriterHeartbeat(host, largestHostProcessors());
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
    m_gateway.handleWriterChange();
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
        // A former writer's refusal doesn't bind the next one.
        if (m_election.claim() && m_election.claim()->host == from) {
            m_gateway.complete(answer->number, answer->answer);
        }
    } else if (const auto *handOver = std::get_if<HandOver>(&message)) {
        m_election.acceptHandOver(*handOver);
    }
}

void JobNode::handleHostBeat(const HostId &from, const HostHeartbeat &beat)
{
    if (!m_writer) {
        return;
    }
    m_election.recordProcess(from, beat.nonce, beat.writer, beat.uptime);
    const bool isNew = !m_hosts.hasHeartbeat(from);
    if (m_hosts.recordHeartbeat(from, beat, m_context.now())) {
        m_context.linkPeer(from, beat.address);
    }
    if (isNew) {
        // Until a host knows that it is heard, it would wait for longer if it had to replace this writer.
        sendWriterHeartbeat(from, largestHostProcessors());
    }
    const bool isBehind = m_configuration && beat.configuration < m_configuration->version && !isNew;
    // A host that reaches the store reads the version there, as the heartbeats announce it.
    const bool hadTimeToRead = m_context.now() - m_configurationSince >= offerDelay;
    if (isBehind && hadTimeToRead && m_hosts.beginOffer(from, m_context.now())) {
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
    const bool isHeard = beat.heard && beat.heard->nonce == m_options.nonce;
    m_election.recordContact(
        beat.token, isHeard ? std::optional(TimePoint(Milliseconds(beat.heard->sentAt.value()))) : std::nullopt);
    const bool isFirst = !m_heardWriter || m_heardWriter->first != beat.token;
    m_heardWriter = { beat.token, beat.sentAt };
    if (isFirst) {
        sendHostHeartbeat();
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
    finishWriter([this, then = std::move(then)] {
        handOver(m_hosts.successor(m_context.now()));
        m_election.retire();
        then();
    });
}

void JobNode::finishWriter(std::function<void()> then)
{
    const auto finished = std::make_shared<bool>(false);
    const auto once = m_lifetime.guard([finished, then = std::move(then)] {
        if (!std::exchange(*finished, true)) {
            then();
        }
    });
    m_writer->finish(once);
    m_context.schedule(finishTimeout, once);
}

void JobNode::handOver(const std::optional<HostId> &successor)
{
    if (!m_writer) {
        return;
    }
    const WriterToken token = m_election.claim()->token;
    m_context.log(LogLevel::Info, events::shardHandedOver,
                  { { "to", successor ? successor->value() : "anyone" }, { "token", std::to_string(token.value()) } });
    if (successor) {
        m_context.sendPeer(*successor, HandOver { token, m_writer->remainingLeases() });
    }
    m_election.resign();
    // The links stay until the next claim, as the message and the last answers are still on their way.
    destroyWriter();
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

std::optional<std::size_t> JobNode::trackedWork() const
{
    return m_writer ? m_writer->trackedWork() : std::nullopt;
}

bool JobNode::isWriter() const
{
    return m_writer != nullptr;
}

} // namespace currantring
