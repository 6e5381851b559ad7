#include "writerelection.h"

#include "jobevents.h"

#include <algorithm>

namespace currantring {

namespace {

constexpr Milliseconds writerCheckInterval { 50 };
/** A writer without a heartbeat for this time may be replaced; spans several heartbeat intervals. */
constexpr Milliseconds heartbeatTimeout { 900 };
/** Upper bound of the random delay before a claim. */
constexpr std::int64_t claimJitterMs = 60;
/** Claim delay for each processor that a host has less than one whole processor; used until a writer has reported. */
constexpr std::int64_t delayPerProcessorBelowWholeMs = 60;
/** Claim delay for each processor that a host has less than the largest host. */
constexpr std::int64_t delayPerProcessorBelowLargestMs = 500;
constexpr Millicores wholeProcessor { 1000 };
/** The largest host may be unable to claim, so the others don't wait longer than this for it. */
constexpr Milliseconds maxClaimDelay { 600 };
/** Longer than the other hosts need to claim. */
constexpr Milliseconds reluctantDelay { 2000 };
/** A host that the writer hasn't heard would wait for longer for its leases; longer than the jitter of the others. */
constexpr Milliseconds unheardDelay { 200 };
constexpr Milliseconds claimTimeout { 700 };
/** A host whose reads take longer would be no improvement on a stuck writer. */
constexpr Milliseconds probeTimeout { 250 };
/** A writer that is stuck for this time while this host reaches the store is replaced. */
constexpr Milliseconds stuckTimeout { 600 };
/** Wait of the watch while the writer's heartbeats tell that it lives; otherwise shortWatchWait. */
constexpr Milliseconds longWatchWait { 4000 };
constexpr Milliseconds shortWatchWait { 1500 };
constexpr Milliseconds settleRetryDelay { 1000 };

} // namespace

WriterElection::WriterElection(StoreLayout layout, Options options, JobContext &context, Handlers handlers)
    : m_layout(layout)
    , m_options(std::move(options))
    , m_context(context)
    , m_handlers(std::move(handlers))
    , m_watch(m_layout.writerPrefix(), context, { [this](const KvEntry &entry) {
                  applyEntry(entry);
              } })
    , m_liveness(m_layout, m_options.leaseTerm, context, [this](const KvEntry &entry) { applyEntry(entry); })
    , m_leases(m_options.self, m_options.nonce, m_options.workerLeases, m_options.longestWorkerLease, context.now())
{
    m_watch.setWait(shortWatchWait);
    m_claimJitter = Milliseconds(static_cast<std::int64_t>(uniformBelow(context.random(), claimJitterMs)));
}

void WriterElection::start()
{
    m_watch.start();
    checkWriter();
}

void WriterElection::applyEntry(const KvEntry &entry)
{
    if (entry.key == m_layout.claimKey()) {
        applyClaim(entry);
    } else if (entry.key == m_layout.settledKey() && !entry.isDeleted) {
        m_leases.noteSettled(decodeSettled(entry.value));
    } else if (entry.key == m_layout.aliveKey()) {
        if (entry.isDeleted) {
            m_alive.reset();
            m_liveness.restore();
        } else {
            m_alive = entry.value;
        }
    }
}

void WriterElection::applyClaim(const KvEntry &entry)
{
    if (entry.isDeleted || entry.revision <= m_claimRevision) {
        return;
    }
    m_claimRevision = entry.revision;
    m_claim = decodeClaim(entry);
    // The writer's signs of life may not have been seen yet, also when this process has just started.
    m_lastHeartbeatAt = m_context.now();
    m_readableSince.reset();
    if (!m_claim) {
        m_context.log(LogLevel::Error, events::claimUnreadable,
                      { { "revision", std::to_string(entry.revision.value()) } });
        return;
    }
    m_context.log(LogLevel::Info, events::writerChanged,
                  { { "writer", m_claim->host.value() }, { "token", std::to_string(m_claim->token.value()) } });
    if (isWriter() && m_claim->token != *m_token) {
        m_token.reset();
        m_liveness.stop();
        m_handlers.onSuperseded();
    }
    if (m_claim->nonce == m_options.nonce) {
        applyOwnClaim();
    } else {
        m_leases.noteClaim(*m_claim, m_context.now());
    }
    m_handlers.onWriter(*m_claim);
}

/** Called for the answer to the commit, or later, when the commit succeeded although its answer was lost. */
void WriterElection::applyOwnClaim()
{
    if (isWriter() || m_isRetired) {
        return;
    }
    m_token = m_claim->token;
    const InheritedLeases inherited = m_leases.inheritedBy(*m_claim, m_context.now());
    m_context.log(LogLevel::Info, events::shardClaimed,
                  { { "token", std::to_string(m_token->value()) },
                    { "replaced", std::to_string(m_claim->replaced.value()) },
                    { "inherited_ms", std::to_string((inherited.elsewhere - m_context.now()).count()) },
                    { "listed", std::to_string(inherited.listed.size()) } });
    m_handlers.onClaimed(*m_token, inherited, claimedSince());
    m_liveness.start(*m_token);
    scheduleSettled(*m_token, inherited.latest() - m_context.now());
}

/** A time at which the own claim was in force or didn't exist yet: any of the attempts may have been the one. */
TimePoint WriterElection::claimedSince() const
{
    return m_triedToReplace == m_claim->replaced ? m_firstTriedAt : TimePoint {};
}

/** Notes in the store that the inherited leases are over, so that a later writer needn't wait for them. */
void WriterElection::scheduleSettled(WriterToken token, Milliseconds delay)
{
    m_context.schedule(delay, m_lifetime.guard([this, token] {
        if (m_token != token) {
            return;
        }
        KvCommit commit;
        commit.conditions = { { m_layout.claimKey(), StoreRevision(token.value()) } };
        commit.puts = { { m_layout.settledKey(), std::to_string(token.value()), std::nullopt } };
        m_context.callStore(std::move(commit), claimTimeout, m_lifetime.guard([this, token](const KvResult &result) {
            if (!result && result.error().kind != KvErrorKind::Conflict) {
                scheduleSettled(token, settleRetryDelay);
            }
        }));
    }));
}

void WriterElection::recordHeartbeat(WriterToken token, bool isStuck)
{
    if (token.value() < m_claimRevision.value()) {
        return;
    }
    m_lastHeartbeatAt = m_context.now();
    if (token.value() > m_claimRevision.value()) {
        // The watch lags behind; read the newer claim directly.
        readClaim();
    } else if (isStuck && !isWriter()) {
        probe();
    } else {
        m_readableSince.reset();
    }
}

void WriterElection::recordContact(WriterToken token, std::optional<TimePoint> heardAt)
{
    m_leases.noteHeartbeat(token, heardAt, m_context.now());
}

bool WriterElection::mayReplace(WriterToken token) const
{
    return m_triedToReplace.value() == token.value();
}

void WriterElection::setLargestHostProcessors(Millicores processors)
{
    m_largestHostProcessors = processors;
}

std::optional<Millicores> WriterElection::largestHostProcessors() const
{
    return m_largestHostProcessors;
}

void WriterElection::checkWriter()
{
    m_watch.setWait(isWriter() || hasRecentHeartbeat() ? longWatchWait : shortWatchWait);
    const std::string_view reason = reasonToClaim();
    if (reason.empty()) {
        m_reasonSince.reset();
    } else if (!m_reasonSince) {
        m_reasonSince = m_context.now();
    }
    if (m_reasonSince && m_context.now() - *m_reasonSince >= claimDelay()) {
        m_reasonSince.reset();
        tryClaim(reason);
    }
    m_context.schedule(writerCheckInterval, m_lifetime.guard([this] { checkWriter(); }));
}

/** Larger hosts claim earlier: a writer that is short of processor time slows down every call. */
Milliseconds WriterElection::claimDelay() const
{
    const std::int64_t most = m_largestHostProcessors.value_or(wholeProcessor).value();
    const std::int64_t missing = std::max<std::int64_t>(most - m_options.processors.value(), 0);
    const std::int64_t perProcessor =
        m_largestHostProcessors ? delayPerProcessorBelowLargestMs : delayPerProcessorBelowWholeMs;
    const Milliseconds reluctance = m_isReluctant ? reluctantDelay : Milliseconds(0);
    const bool isUnheard =
        m_claim && m_claim->host != m_options.self && !m_leases.wasHeardBy(m_claim->token, m_context.now());
    return reluctance + m_claimJitter + (isUnheard ? unheardDelay : Milliseconds(0))
        + std::min(Milliseconds(missing * perProcessor / wholeProcessor.value()), maxClaimDelay);
}

std::string_view WriterElection::reasonToClaim() const
{
    if (!m_watch.isSynced() || isWriter() || m_isClaiming || m_isRetired) {
        return {};
    }
    if (!m_claim) {
        return "no-writer";
    }
    if (m_claim->host == m_options.self && m_claim->nonce != m_options.nonce) {
        return "own-earlier-process";
    }
    if (hasRecentHeartbeat()) {
        // After a store outage that affected all hosts, the writer recovers by itself; wait before replacing it. A
        // later heartbeat must say again that it is stuck: it may work again, and that heartbeat be late.
        const bool isStuck = m_readableSince && *m_lastHeartbeatAt - *m_readableSince >= stuckTimeout;
        return isStuck ? "writer-stuck" : "";
    }
    if (!m_alive) {
        return "lease-over";
    }
    return *m_alive == WriterLiveness::yielding ? "writer-yields" : "";
}

bool WriterElection::hasRecentHeartbeat() const
{
    return m_lastHeartbeatAt && m_context.now() - *m_lastHeartbeatAt < heartbeatTimeout;
}

void WriterElection::tryClaim(std::string_view reason)
{
    m_isClaiming = true;
    m_context.log(LogLevel::Info, events::claimTried,
                  { { "reason", std::string(reason) }, { "revision", std::to_string(m_claimRevision.value()) } });
    m_context.callStore(KvGrantLease { m_options.leaseTerm }, claimTimeout,
                        m_lifetime.guard([this, replaced = m_claimRevision](const KvResult &result) {
                            if (result && !m_isRetired) {
                                writeClaim(result->lease, replaced);
                            } else {
                                m_isClaiming = false;
                            }
                        }));
}

/** Claims the shard over the claim @p replaced; a newer claim had no part in the decision, so it must stay. */
void WriterElection::writeClaim(LeaseId lease, StoreRevision replaced)
{
    m_liveness.setLease(lease);
    if (m_triedToReplace != replaced || m_firstTriedAt == TimePoint {}) {
        m_triedToReplace = replaced;
        m_firstTriedAt = m_context.now();
    }
    const std::string claim = encodeClaim({ {},
                                            m_options.self,
                                            m_options.address,
                                            m_options.nonce,
                                            replaced,
                                            m_leases.termsFor(replaced, m_context.now()) });
    KvCommit commit;
    commit.conditions = { { m_layout.claimKey(), replaced } };
    commit.puts = { { m_layout.claimKey(), claim, std::nullopt },
                    { m_layout.aliveKey(), std::string(WriterLiveness::alive), lease } };
    m_context.callStore(std::move(commit), claimTimeout,
                        m_lifetime.guard([this, claim](const KvResult &result) { handleClaim(result, claim); }));
}

void WriterElection::handleClaim(const KvResult &result, const std::string &claim)
{
    m_isClaiming = false;
    if (result) {
        applyEntry({ m_layout.aliveKey(), std::string(WriterLiveness::alive), result->revision, false });
        applyClaim({ m_layout.claimKey(), claim, result->revision, false });
        return;
    }
    for (const KvEntry &entry : result.error().entries) {
        applyEntry(entry);
    }
    if (result.error().kind != KvErrorKind::Conflict) {
        readClaim();
    }
}

void WriterElection::readClaim()
{
    if (std::exchange(m_isProbing, true)) {
        return;
    }
    m_context.callStore(KvGet { m_layout.claimKey() }, claimTimeout, m_lifetime.guard([this](const KvResult &result) {
        m_isProbing = false;
        if (result && !result->entries.empty()) {
            applyClaim(result->entries.front());
        }
    }));
}

/** Finds out whether this host reaches the store while the writer doesn't. */
void WriterElection::probe()
{
    if (m_isClaiming || m_isRetired || std::exchange(m_isProbing, true)) {
        return;
    }
    m_context.callStore(KvGet { m_layout.claimKey() }, probeTimeout, m_lifetime.guard([this](const KvResult &result) {
        m_isProbing = false;
        if (!result || result->entries.empty()) {
            m_readableSince.reset();
            return;
        }
        m_readableSince = m_readableSince.value_or(m_context.now());
        applyClaim(result->entries.front());
    }));
}

void WriterElection::acceptHandOver(const HandOver &handOver)
{
    if (m_isRetired || m_isClaiming || isWriter() || m_claimRevision.value() > handOver.token.value()) {
        return;
    }
    if (handOver.leases) {
        m_leases.noteHandOver(handOver.token, *handOver.leases, m_context.now());
    }
    // The watch may not have seen the sender's claim yet.
    m_claimRevision = StoreRevision(handOver.token.value());
    tryClaim("handed-over");
}

void WriterElection::recordProcess(const HostId &host, std::uint64_t nonce, WriterToken writer, Milliseconds uptime)
{
    if (nonce == 0 || !isWriter() || writer != *m_token) {
        return;
    }
    if (const auto until = m_leases.limitByProcess(*m_claim, host, nonce, m_context.now() - uptime, m_context.now())) {
        m_handlers.onInheritedLimit(*until);
    }
}

void WriterElection::retire()
{
    m_isRetired = true;
    resign();
}

void WriterElection::resign()
{
    if (isWriter()) {
        // This host may claim the shard again.
        m_leases.noteClaim(*m_claim, m_context.now());
    }
    m_token.reset();
    // Leaves the next writer time to claim.
    m_lastHeartbeatAt = m_context.now();
    m_liveness.end();
}

void WriterElection::setYielding(bool isYielding)
{
    m_liveness.setYielding(isYielding);
}

void WriterElection::setReluctant(bool isReluctant)
{
    m_isReluctant = isReluctant;
}

bool WriterElection::isWriter() const
{
    return m_token.has_value();
}

const std::optional<WriterClaim> &WriterElection::claim() const
{
    return m_claim;
}

std::optional<TimePoint> WriterElection::lastStoreAnswer() const
{
    return m_watch.lastAnswer();
}

} // namespace currantring
