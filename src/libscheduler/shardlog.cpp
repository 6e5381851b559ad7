#include "shardlog.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace currantring {

namespace {

/** Bounds of the wait before a store call is repeated. */
constexpr Milliseconds shortestBackoff(50);
constexpr Milliseconds longestBackoff(1000);
/** Bytes of one group from which on no large record is taken; leaves room below the store's value limit. */
constexpr std::size_t groupBytes = 400'000;
/** Most bytes of a record that carries no task. */
constexpr std::size_t smallRecordBytes = 300;
/** Doublings after which the backoff no longer grows. */
constexpr std::uint32_t backoffDoublings = 5;

} // namespace

ShardLog::ShardLog(ShardId shard, HostId self, TaskCharts charts, Context &context, Handlers handlers)
    : m_shard(shard)
    , m_self(std::move(self))
    , m_charts(std::move(charts))
    , m_context(context)
    , m_handlers(std::move(handlers))
    , m_nonce(context.random()())
    , m_ledger(m_charts)
    , m_snapshots(shard, context)
{
}

void ShardLog::setLimits(const Limits &limits)
{
    m_limits = limits;
    m_limits.snapshotInterval = std::min(limits.snapshotInterval, maximumSnapshotInterval);
}

std::string ShardLog::slotPrefix() const
{
    return "ledger/" + std::to_string(m_shard.value()) + "/log/";
}

std::string ShardLog::slotKey(SlotNumber slot) const
{
    return slotPrefix() + std::to_string(slot.value() % logRingSlots);
}

StoreVersion ShardLog::knownVersion(SlotNumber slot) const
{
    const auto found = m_versions.find(slotKey(slot));
    return found == m_versions.end() ? StoreVersion(0) : found->second;
}

RecordOrigin ShardLog::origin(SlotNumber slot) const
{
    return RecordOrigin { m_shard, slot, m_epoch, m_self, m_context.wallNow() };
}

Milliseconds ShardLog::backoff()
{
    const Milliseconds ceiling =
        std::min(longestBackoff, shortestBackoff * (1U << std::min(m_failures, backoffDoublings)));
    ++m_failures;
    const auto spread = static_cast<std::uint64_t>((ceiling - shortestBackoff).count()) + 1;
    return shortestBackoff + Milliseconds(uniformBelow(m_context.random(), spread));
}

tl::expected<void, LedgerError> ShardLog::append(const LedgerRecord &record, bool urgent, CommitHandler then)
{
    const SlotNumber target(m_nextSlot.value() + (m_inFlight ? 1 : 0));
    if (const auto applied = m_ledger.apply(record, origin(target)); !applied) {
        return applied;
    }
    m_pendingBytes += std::holds_alternative<TaskSubmitted>(record) || std::holds_alternative<TaskMovedIn>(record)
        ? encodeRecord(record).dump().size()
        : smallRecordBytes;
    m_pending.push_back(Pending { TimedRecord { m_context.wallNow(), record }, std::move(then) });
    m_pendingUrgent = m_pendingUrgent || urgent;
    scheduleGroup();
    return {};
}

void ShardLog::scheduleGroup()
{
    if (m_pending.empty() || m_inFlight || m_groupScheduled || m_state != State::Active) {
        return;
    }
    const Milliseconds sinceCommit = m_context.now() - m_lastCommit;
    const Milliseconds wait =
        m_pendingUrgent ? Milliseconds(0) : std::max(Milliseconds(0), m_limits.groupCommitTick - sinceCommit);
    const Milliseconds ringWait = isRingFull() ? longestBackoff : Milliseconds(0);
    m_groupScheduled = true;
    m_context.schedule(std::max(wait, ringWait), m_lifetime.guard([this] {
        m_groupScheduled = false;
        closeGroup();
    }));
}

void ShardLog::closeGroup()
{
    if (m_state != State::Active || m_inFlight || m_pending.empty()) {
        return;
    }
    if (isRingFull()) {
        scheduleGroup(); // Overwriting a slot that no snapshot covers would lose it.
        return;
    }
    m_inFlight = LedgerSlot { m_nextSlot, m_epoch, m_self, m_nonce, {} };
    for (Pending &pending : m_pending) {
        m_inFlight->records.push_back(std::move(pending.timed));
        m_inFlightHandlers.push_back(std::move(pending.then));
    }
    m_pending.clear();
    m_pendingBytes = 0;
    m_pendingUrgent = false;
    m_inFlightText = encodeSlot(*m_inFlight);
    m_firstSentAt = m_context.now();
    if (isSnapshotDue()) {
        // Nothing is pending beyond this slot, so the ledger is exactly its state.
        m_ledger.trim(WallTime(m_context.wallNow().value() - m_limits.retention.count()));
        m_draft = draftSnapshot(m_nextSlot);
    }
    putSlot();
}

bool ShardLog::isRingFull() const
{
    return m_nextSlot.value() > m_snapshots.through().value() + logRingSlots;
}

bool ShardLog::isSnapshotDue() const
{
    const std::uint64_t due = m_snapshots.through().value() + m_limits.snapshotInterval;
    return m_nextSlot.value() >= due && !m_snapshots.isWriting();
}

ShardSnapshot ShardLog::draftSnapshot(SlotNumber through) const
{
    ShardSnapshot draft { through, m_epoch, {} };
    for (const auto &[id, task] : m_ledger.tasks()) {
        draft.tasks.push_back(m_ledger.encodeTask(task).dump());
    }
    return draft;
}

void ShardLog::putSlot()
{
    const TimePoint sentAt = m_context.now();
    m_context.callStore(StorePut { slotKey(m_nextSlot), m_inFlightText, knownVersion(m_nextSlot), std::nullopt },
                        m_lifetime.guard([this, sentAt](const StoreResult &result) { handlePut(sentAt, result); }));
}

void ShardLog::handlePut(TimePoint sentAt, const StoreResult &result)
{
    if (result) {
        commitSlot(sentAt, result->version);
        return;
    }
    if (result.error() == StoreError::Conflict) {
        readBack();
        return;
    }
    if (result.error() == StoreError::TooLarge) {
        m_context.log(LogLevel::Error, "ledger_group_too_large", { { "shard", std::to_string(m_shard.value()) } });
    }
    m_storeAnswers = false;
    retryPut();
}

void ShardLog::retryPut()
{
    // The same text again: if the first write took effect, this one conflicts and is read back.
    m_context.schedule(backoff(), m_lifetime.guard([this] {
        if (m_inFlight) {
            putSlot();
        }
    }));
}

void ShardLog::readBack()
{
    m_context.callStore(StoreGet { slotKey(m_nextSlot) },
                        m_lifetime.guard([this](const StoreResult &result) { handleReadBack(result); }));
}

void ShardLog::handleReadBack(const StoreResult &result)
{
    if (!result) {
        m_storeAnswers = false;
        retryPut();
        return;
    }
    const bool isThere = !result->entries.empty();
    const std::optional<LedgerSlot> slot = isThere ? decodeSlot(result->entries.front().value) : std::nullopt;
    const bool isOurs = slot && slot->number == m_inFlight->number && slot->epoch == m_inFlight->epoch
        && slot->writer == m_inFlight->writer && slot->nonce == m_inFlight->nonce;
    if (isOurs) {
        commitSlot(m_firstSentAt, result->entries.front().version);
        return;
    }
    if (m_state == State::Claiming) {
        // Another writer came first; it is left alone, and the node decides whether to try again.
        m_context.count("shard_claims_lost");
    }
    fence();
}

void ShardLog::commitSlot(TimePoint sentAt, StoreVersion version)
{
    m_versions[slotKey(m_nextSlot)] = version;
    m_nextSlot = SlotNumber(m_nextSlot.value() + 1);
    m_inFlight.reset();
    m_failures = 0;
    m_storeAnswers = true;
    m_lastConfirmed = sentAt;
    m_lastCommit = m_context.now();
    if (m_draft) {
        writeSnapshot();
    }
    if (m_state == State::Claiming) {
        m_state = State::Active;
        if (isSnapshotDue()) {
            // Claims use up slots, too, and nothing is pending yet.
            m_snapshots.write(draftSnapshot(SlotNumber(m_nextSlot.value() - 1)));
        }
        m_handlers.onActive();
        return;
    }
    const std::vector<CommitHandler> handlers = std::exchange(m_inFlightHandlers, {});
    for (const CommitHandler &handler : handlers) {
        if (handler) {
            handler(true);
        }
    }
    if (m_stopHandler && m_pending.empty()) {
        finishStop();
        return;
    }
    scheduleGroup();
    runChecks();
}

void ShardLog::writeSnapshot()
{
    if (m_draft && !m_snapshots.isWriting()) {
        m_snapshots.write(*m_draft);
        m_draft.reset();
    }
}

void ShardLog::fence()
{
    m_state = State::Fenced;
    m_inFlight.reset();
    failHandlers();
    if (m_stopHandler) {
        std::exchange(m_stopHandler, {})(false);
    }
    m_handlers.onFenced();
}

void ShardLog::failHandlers()
{
    std::vector<CommitHandler> handlers = std::exchange(m_inFlightHandlers, {});
    for (Pending &pending : m_pending) {
        handlers.push_back(std::move(pending.then));
    }
    m_pending.clear();
    for (const CommitHandler &handler : handlers) {
        if (handler) {
            handler(false);
        }
    }
    const std::vector<CheckHandler> checks = std::exchange(m_checks, {});
    for (const CheckHandler &check : checks) {
        check(WriterCheck::Superseded);
    }
}

void ShardLog::stop(std::function<void(bool)> done)
{
    m_stopHandler = std::move(done);
    if (m_pending.empty() && !m_inFlight) {
        finishStop();
        return;
    }
    closeGroup();
}

void ShardLog::finishStop()
{
    m_state = State::Stopped;
    const std::vector<CheckHandler> checks = std::exchange(m_checks, {});
    for (const CheckHandler &check : checks) {
        check(WriterCheck::Unknown);
    }
    std::exchange(m_stopHandler, {})(true);
}

void ShardLog::checkWriter(CheckHandler then)
{
    m_checks.push_back(std::move(then));
    runChecks();
}

void ShardLog::runChecks()
{
    if (m_checkRunning || m_checks.empty() || m_inFlight || m_state != State::Active) {
        return; // A write in flight answers the question when it commits.
    }
    m_checkRunning = true;
    const TimePoint sentAt = m_context.now();
    m_context.callStore(
        StoreGet { slotKey(m_nextSlot) },
        m_lifetime.guard([this, sentAt, slot = m_nextSlot, waiting = std::exchange(m_checks, {})](const auto &result) {
            m_checkRunning = false;
            if (slot == m_nextSlot) {
                handleCheck(sentAt, result, waiting);
            } else {
                // Our own commit went ahead of the answer, so the question is asked again.
                m_checks.insert(m_checks.end(), waiting.begin(), waiting.end());
            }
            runChecks();
        }));
}

void ShardLog::handleCheck(TimePoint sentAt, const StoreResult &result, const std::vector<CheckHandler> &waiting)
{
    WriterCheck verdict = WriterCheck::Unknown;
    if (result) {
        const StoreVersion seen = result->entries.empty() ? StoreVersion(0) : result->entries.front().version;
        // A write of ours that is in flight by now may be what was seen.
        verdict = seen == knownVersion(m_nextSlot) ? WriterCheck::StillWriter
            : m_inFlight                           ? WriterCheck::Unknown
                                                   : WriterCheck::Superseded;
    }
    m_storeAnswers = result.has_value();
    if (verdict == WriterCheck::StillWriter) {
        m_lastConfirmed = sentAt;
    }
    if (verdict == WriterCheck::Superseded && m_state == State::Active) {
        fence();
    }
    for (const CheckHandler &handler : waiting) {
        handler(verdict);
    }
}

ShardLog::State ShardLog::state() const
{
    return m_state;
}

ShardId ShardLog::shard() const
{
    return m_shard;
}

Epoch ShardLog::epoch() const
{
    return m_epoch;
}

const TaskLedger &ShardLog::ledger() const
{
    return m_ledger;
}

bool ShardLog::isCommitted(const AccountEntry &entry) const
{
    return entry.slot < m_nextSlot || entry.shard != m_shard;
}

bool ShardLog::isGroupFull() const
{
    return m_pendingBytes >= groupBytes;
}

bool ShardLog::isBlocked() const
{
    return m_inFlight && m_failures > 0;
}

TimePoint ShardLog::lastConfirmed() const
{
    return m_lastConfirmed;
}

bool ShardLog::storeAnswers() const
{
    return m_storeAnswers;
}

} // namespace currantring
