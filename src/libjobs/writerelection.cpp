#include "writerelection.h"

#include "jobevents.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

constexpr Milliseconds watchOverInterval { 50 };
/** Beats come several times in this time. */
constexpr Milliseconds beatSilence { 900 };
/** Spread of the hosts' first tries. */
constexpr std::int64_t claimSpreadMs = 60;
/** How much later a host tries for each processor that it lacks: against a whole one, and against the largest host. */
constexpr std::int64_t slownessMs = 60;
constexpr std::int64_t lessThanLargestMs = 500;
constexpr Millicores wholeProcessor { 1000 };
constexpr Milliseconds claimTimeout { 700 };
constexpr Milliseconds renewTimeout { 400 };
/** A host whose reads take longer does no better than a stuck writer. */
constexpr Milliseconds probeTimeout { 250 };
/** A writer that is stuck for so long while this host reaches the store is replaced. */
constexpr Milliseconds stuckPatience { 600 };
constexpr Milliseconds watchWait { 4000 };
const std::string aliveText = "alive";
const std::string yieldingText = "yielding";

std::string encodeClaim(const WriterElection::Options &options)
{
    return nlohmann::json {
        { "host", options.self.value() }, { "address", options.address.value() }, { "nonce", options.nonce }
    }.dump();
}

std::optional<WriterClaim> decodeClaim(const KvEntry &entry)
{
    const nlohmann::json source = nlohmann::json::parse(entry.value, nullptr, false);
    if (!source.is_object()) {
        return std::nullopt;
    }
    return WriterClaim { WriterToken(entry.revision.value()), HostId(source.value("host", std::string())),
                         Address(source.value("address", std::string())), source.value("nonce", std::uint64_t { 0 }) };
}

} // namespace

WriterElection::WriterElection(StoreLayout layout, Options options, JobContext &context, Handlers handlers)
    : m_layout(layout)
    , m_options(std::move(options))
    , m_context(context)
    , m_handlers(std::move(handlers))
    , m_watch(m_layout.writerPrefix(), context, { [this](const KvEntry &entry) {
                  take(entry);
              } })
{
    m_watch.setWait(watchWait);
    m_claimSpread = Milliseconds(static_cast<std::int64_t>(uniformBelow(context.random(), claimSpreadMs)));
}

void WriterElection::start()
{
    m_watch.start();
    watchOver();
}

void WriterElection::take(const KvEntry &entry)
{
    if (entry.key == m_layout.claimKey()) {
        takeClaim(entry);
    } else if (entry.key == m_layout.aliveKey()) {
        if (entry.isDeleted) {
            m_alive.reset();
            m_aliveGoneAt = m_context.now();
            if (isWriter()) {
                m_lease.reset();
                grantAlive();
            }
        } else {
            m_alive = entry.value;
        }
    }
}

void WriterElection::takeClaim(const KvEntry &entry)
{
    if (entry.isDeleted || entry.revision <= m_claimRevision) {
        return;
    }
    m_claimRevision = entry.revision;
    m_claim = decodeClaim(entry);
    m_lastBeat.reset();
    m_readableSince.reset();
    if (!m_claim) {
        return;
    }
    m_context.log(LogLevel::Info, events::writerChanged,
                  { { "writer", m_claim->host.value() }, { "token", std::to_string(m_claim->token.value()) } });
    const bool isOwn = m_claim->nonce == m_options.nonce;
    const bool wasWriter = isWriter();
    if (wasWriter && m_claim->token != *m_token) {
        m_token.reset();
        m_lease.reset();
        m_handlers.onDeposed();
    }
    if (isOwn && !isWriter() && !m_isRetired) {
        // The answer to the claim may have been lost, or the claim carried out late.
        m_token = m_claim->token;
        m_context.log(LogLevel::Info, events::shardClaimed, { { "token", std::to_string(m_token->value()) } });
        m_handlers.onClaimed(*m_token);
        keepAlive();
    }
    m_handlers.onWriter(*m_claim);
}

void WriterElection::noteBeat(WriterToken token, bool isStuck)
{
    if (token.value() < m_claimRevision.value()) {
        return;
    }
    m_lastBeat = m_context.now();
    if (token.value() > m_claimRevision.value()) {
        // The watch lags; the store says who it is.
        readClaim();
    } else if (isStuck && !isWriter()) {
        probe(token);
    } else {
        m_readableSince.reset();
    }
}

void WriterElection::noteMostProcessors(Millicores processors)
{
    m_mostProcessors = processors;
}

void WriterElection::watchOver()
{
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
    m_context.schedule(watchOverInterval, m_lifetime.guard([this] { watchOver(); }));
}

/** The larger hosts come first: a writer that is short of processor time serves all callers badly. */
Milliseconds WriterElection::claimDelay() const
{
    const std::int64_t most = m_mostProcessors.value_or(wholeProcessor).value();
    const std::int64_t lacking = std::max<std::int64_t>(most - m_options.processors.value(), 0);
    const std::int64_t perProcessor = m_mostProcessors ? lessThanLargestMs : slownessMs;
    return m_claimSpread + Milliseconds(lacking * perProcessor / wholeProcessor.value());
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
    const bool isHeard = m_lastBeat && m_context.now() - *m_lastBeat < beatSilence;
    if (isHeard) {
        return {};
    }
    if (!m_alive) {
        return "lease-over";
    }
    return *m_alive == yieldingText ? "writer-yields" : "";
}

void WriterElection::tryClaim(std::string_view reason)
{
    m_isClaiming = true;
    m_context.log(LogLevel::Info, events::claimTried,
                  { { "reason", std::string(reason) }, { "revision", std::to_string(m_claimRevision.value()) } });
    m_context.callStore(KvGrantLease { m_options.leaseTerm }, claimTimeout,
                        m_lifetime.guard([this](const KvResult &result) {
                            if (result && !m_isRetired) {
                                writeClaim(result->lease);
                            } else {
                                m_isClaiming = false;
                            }
                        }));
}

void WriterElection::writeClaim(LeaseId lease)
{
    m_lease = lease;
    KvCommit commit;
    commit.conditions = { { m_layout.claimKey(), m_claimRevision } };
    commit.puts = { { m_layout.claimKey(), encodeClaim(m_options), std::nullopt },
                    { m_layout.aliveKey(), aliveText, lease } };
    m_context.callStore(std::move(commit), claimTimeout,
                        m_lifetime.guard([this](const KvResult &result) { handleClaim(result); }));
}

void WriterElection::handleClaim(const KvResult &result)
{
    m_isClaiming = false;
    if (result) {
        take({ m_layout.aliveKey(), aliveText, result->revision, false });
        takeClaim({ m_layout.claimKey(), encodeClaim(m_options), result->revision, false });
        return;
    }
    for (const KvEntry &entry : result.error().entries) {
        take(entry);
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
            takeClaim(result->entries.front());
        }
    }));
}

void WriterElection::probe(WriterToken token)
{
    if (m_isClaiming || m_isRetired || std::exchange(m_isProbing, true)) {
        return;
    }
    m_context.callStore(
        KvGet { m_layout.claimKey() }, probeTimeout, m_lifetime.guard([this, token](const KvResult &result) {
            m_isProbing = false;
            if (!result || result->entries.empty()) {
                m_readableSince.reset();
                return;
            }
            takeClaim(result->entries.front());
            const TimePoint since = *(m_readableSince = m_readableSince.value_or(m_context.now()));
            // After an outage for all, the writer gets on by itself.
            const bool isLasting = m_context.now() - since >= stuckPatience;
            if (isLasting && m_claimRevision.value() == token.value() && !m_isClaiming && !m_isRetired) {
                tryClaim("writer-stuck");
            }
        }));
}

void WriterElection::takeOver(WriterToken token)
{
    if (m_isRetired || m_isClaiming || isWriter()) {
        return;
    }
    if (m_claimRevision.value() <= token.value()) {
        // The watch may lag behind the sender's claim.
        m_claimRevision = StoreRevision(token.value());
        tryClaim("handed-over");
    }
}

void WriterElection::retire()
{
    m_isRetired = true;
    m_token.reset();
    if (m_lease) {
        m_context.callStore(KvEndLease { *m_lease }, renewTimeout, [](const KvResult & /*result*/) {
            // The lease ends by itself when this doesn't arrive.
        });
        m_lease.reset();
    }
}

void WriterElection::setYielding(bool isYielding)
{
    if (isWriter() && std::exchange(m_isYielding, isYielding) != isYielding) {
        writeAlive();
    }
}

void WriterElection::keepAlive()
{
    m_context.schedule(m_options.leaseTerm / 3, m_lifetime.guard([this, token = m_token] {
        if (!isWriter() || m_token != token) {
            return;
        }
        if (m_lease) {
            m_context.callStore(KvRenewLease { *m_lease }, renewTimeout,
                                m_lifetime.guard([this](const KvResult &result) {
                                    if (!result && result.error().kind == KvErrorKind::LeaseGone && isWriter()) {
                                        m_lease.reset();
                                        grantAlive();
                                    }
                                }));
        } else {
            grantAlive();
        }
        keepAlive();
    }));
}

void WriterElection::grantAlive()
{
    m_context.callStore(KvGrantLease { m_options.leaseTerm }, renewTimeout,
                        m_lifetime.guard([this](const KvResult &result) {
                            if (result && isWriter()) {
                                m_lease = result->lease;
                                writeAlive();
                            }
                        }));
}

void WriterElection::writeAlive()
{
    if (!m_lease) {
        return;
    }
    KvCommit commit;
    commit.conditions = { { m_layout.claimKey(), StoreRevision(m_token->value()) } };
    commit.puts = { { m_layout.aliveKey(), m_isYielding ? yieldingText : aliveText, m_lease } };
    m_context.callStore(std::move(commit), renewTimeout, m_lifetime.guard([this](const KvResult &result) {
        if (!result && result.error().kind == KvErrorKind::Conflict) {
            for (const KvEntry &entry : result.error().entries) {
                take(entry);
            }
        }
    }));
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
