#include "joblog.h"

#include "jobevents.h"

#include <algorithm>
#include <iterator>

namespace currantring {

namespace {

constexpr Milliseconds pageTimeout { 1500 };
constexpr Milliseconds loadRetryDelay { 100 };
constexpr Milliseconds checkTimeout { 1000 };
/** Timeout of one commit attempt; much longer than the resend delay, which handles lost answers. */
constexpr Milliseconds commitTimeout { 4000 };
/** Delay before an unanswered commit is sent again; doubles with each attempt up to the maximum. */
constexpr Milliseconds initialResendDelay { 100 };
constexpr Milliseconds maxResendDelay { 400 };
/** A commit is stuck when its age exceeds this multiple of the average, clamped to the bounds below. */
constexpr std::int64_t stuckFactor = 4;
constexpr Milliseconds minStuckAge { 250 };
constexpr Milliseconds maxStuckAge { 1200 };
/** The latest commit enters the moving average with a weight of 1 / averageWeightDivisor. */
constexpr std::int64_t averageWeightDivisor = 4;
/** Limit on the records in one slot, which bounds the time that its encoding takes. */
constexpr std::size_t maxRecordsPerCommit = 2000;
/** Share of a value that new records may take; snapshots use the rest. */
constexpr std::size_t newRecordsFraction = 2;
/** Bytes of a slot beside its records. */
constexpr std::size_t slotBytes = 64;
/** Maximum number of slots trimmed by one commit. */
constexpr std::size_t maxTrimsPerCommit = 4;

} // namespace

JobLog::JobLog(StoreLayout layout, OwnClaim claim, std::uint64_t nonce, JobContext &context, JobLogLimits limits,
               std::function<void()> onLost)
    : m_layout(layout)
    , m_token(claim.token)
    , m_nonce(nonce)
    , m_context(context)
    , m_limits(limits)
    , m_onLost(std::move(onLost))
    , m_lastConfirmed(claim.provenAt)
{
}

void JobLog::load(std::function<void()> then)
{
    m_onLoaded = std::move(then);
    loadPage({});
}

void JobLog::loadPage(const std::string &after)
{
    m_context.callStore(KvList { m_layout.logPrefix(), after, false }, pageTimeout,
                        m_lifetime.guard([this](const KvResult &result) { handlePage(result); }));
}

void JobLog::handlePage(const KvResult &result)
{
    if (!result) {
        retryLoad();
        return;
    }
    for (const KvEntry &entry : result->entries) {
        if (const std::uint64_t slot = m_layout.slotOf(entry.key); slot > 0) {
            m_loaded[slot] = entry.value;
        }
    }
    if (result->hasMore && !result->entries.empty()) {
        loadPage(result->entries.back().key);
    } else {
        replay();
    }
}

void JobLog::retryLoad()
{
    // This host holds the claim, so no other host can write and the pages read so far stay valid.
    m_context.schedule(loadRetryDelay, m_lifetime.guard([this] {
        loadPage(m_loaded.empty() ? std::string() : m_layout.logKey(m_loaded.rbegin()->first));
    }));
}

void JobLog::replay()
{
    std::size_t slots = 0;
    if (const std::optional<JobSlot> last = lastReadableSlot()) {
        m_firstSlot = last->firstSlot;
        m_nextSlot = m_loaded.rbegin()->first + 1;
    }
    // One slot at a time is held in its decoded form, and each is dropped in turn.
    while (!m_loaded.empty()) {
        const auto [number, bytes] = *m_loaded.begin();
        m_loaded.erase(m_loaded.begin());
        const std::optional<JobSlot> slot = decodeJobSlot(bytes);
        if (!slot) {
            m_context.log(LogLevel::Error, events::logSlotUnreadable, { { "slot", std::to_string(number) } });
            continue;
        }
        ++slots;
        if (number >= m_firstSlot) {
            replaySlot(number, *slot);
        }
    }
    m_context.log(LogLevel::Info, events::logLoaded,
                  { { "slots", std::to_string(slots) }, { "jobs", std::to_string(m_table.jobs().size()) } });
    const std::function<void()> then = std::move(m_onLoaded);
    then();
}

/** Drops unreadable slots behind the last readable one. */
std::optional<JobSlot> JobLog::lastReadableSlot()
{
    while (!m_loaded.empty()) {
        if (std::optional<JobSlot> slot = decodeJobSlot(m_loaded.rbegin()->second)) {
            return slot;
        }
        m_context.log(LogLevel::Error, events::logSlotUnreadable,
                      { { "slot", std::to_string(m_loaded.rbegin()->first) } });
        m_loaded.erase(std::prev(m_loaded.end()));
    }
    return std::nullopt;
}

void JobLog::replaySlot(std::uint64_t number, const JobSlot &slot)
{
    for (const JobRecord &record : slot.records) {
        m_table.apply(record);
        setBaseSlot(record, number);
    }
}

bool JobLog::append(const JobRecord &record, RecordUrgency urgency, CommitHandler then)
{
    if (m_isLost || !m_table.apply(record)) {
        return false;
    }
    m_pending.push_back(record);
    if (then) {
        m_pendingHandlers.push_back(std::move(then));
    }
    scheduleCommit(urgency == RecordUrgency::Urgent ? Milliseconds(0) : m_limits.relaxedDelay);
    return true;
}

void JobLog::flush(CommitHandler then)
{
    if (m_isLost) {
        return;
    }
    if (m_pending.empty() && !m_inFlight) {
        then();
    } else {
        m_pendingHandlers.push_back(std::move(then));
        scheduleCommit(Milliseconds(0));
    }
}

void JobLog::scheduleCommit(Milliseconds delay)
{
    if (m_inFlight) {
        return;
    }
    const TimePoint due = std::max(m_context.now() + delay, m_lastCommit + m_limits.commitInterval);
    if (m_commitTimer && m_commitTimer->first <= due) {
        return;
    }
    if (m_commitTimer) {
        m_context.cancel(m_commitTimer->second);
    }
    m_commitTimer = { due, m_context.schedule(due - m_context.now(), m_lifetime.guard([this] {
                         m_commitTimer.reset();
                         commit();
                     })) };
}

void JobLog::commit()
{
    if (m_isLost || m_inFlight || (m_pending.empty() && m_pendingHandlers.empty())) {
        return;
    }
    JobSlot slot { m_nonce, m_firstSlot, {} };
    std::size_t taken = 0;
    std::size_t bytes = slotBytes;
    while (taken < m_pending.size() && taken < maxRecordsPerCommit) {
        const std::size_t next = maxEncodedBytes(m_pending[taken]);
        if (taken > 0 && bytes + next > m_limits.valueBytes / newRecordsFraction) {
            break;
        }
        bytes += next;
        ++taken;
    }
    slot.records.assign(std::make_move_iterator(m_pending.begin()),
                        std::make_move_iterator(m_pending.begin() + static_cast<std::ptrdiff_t>(taken)));
    m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(taken));
    CommitGroup group;
    group.slot = m_nextSlot++;
    group.begunAt = m_context.now();
    if (m_pending.empty()) {
        group.handlers = std::exchange(m_pendingHandlers, {});
    }
    for (const JobRecord &record : slot.records) {
        setBaseSlot(record, group.slot);
    }
    group.commit.conditions = { { m_layout.claimKey(), StoreRevision(m_token.value()) },
                                { m_layout.logKey(group.slot), StoreRevision(0) } };
    trim(slot, m_limits.valueBytes - std::min(bytes, m_limits.valueBytes), group.commit);
    group.commit.puts = { { m_layout.logKey(group.slot), encodeJobSlot(slot), std::nullopt } };
    m_inFlight = std::move(group);
    m_lastCommit = m_context.now();
    send();
}

/** Deletes the oldest slots in excess once their jobs have moved into @p slot, which has @p spare bytes left. */
void JobLog::trim(JobSlot &slot, std::size_t spare, KvCommit &commit)
{
    const std::uint64_t current = m_nextSlot - 1;
    for (std::size_t trimmed = 0; trimmed < maxTrimsPerCommit && current - m_firstSlot >= m_limits.slots; ++trimmed) {
        spare -= moveJobs(m_firstSlot, current, spare, slot);
        if (m_basedJobs.contains(m_firstSlot)) {
            break;
        }
        commit.deletes.push_back(m_layout.logKey(m_firstSlot));
        ++m_firstSlot;
    }
    slot.firstSlot = m_firstSlot;
}

/**
 * Adds snapshots of the jobs that are based on @p slot, as far as they fit into @p spare bytes; returns the bytes used.
 *
 * A job whose snapshot fits into no value stays where it is, and so does the slot, until the job is smaller or closed.
 */
std::size_t JobLog::moveJobs(std::uint64_t slot, std::uint64_t into, std::size_t spare, JobSlot &group)
{
    std::size_t used = 0;
    std::vector<JobId> left;
    for (const JobId &id : jobsBasedOn(slot)) {
        const Job &job = *m_table.find(id);
        if (isRetentionOver(job)) {
            m_baseSlot.erase(id);
            m_table.forget(id);
            continue;
        }
        const std::size_t bytes = maxSnapshotBytes(job);
        if (used + bytes > spare) {
            left.push_back(id);
            continue;
        }
        used += bytes;
        // The snapshot includes records that wait for the next commit; applying those again has no effect.
        const JobSnapshot snapshot { std::make_shared<const Job>(job) };
        setBaseSlot(snapshot, into);
        group.records.emplace_back(snapshot);
    }
    if (!left.empty()) {
        m_basedJobs[slot] = std::move(left);
    }
    return used;
}

/** Takes the jobs whose replay starts at @p slot. */
std::vector<JobId> JobLog::jobsBasedOn(std::uint64_t slot)
{
    const auto based = m_basedJobs.extract(slot);
    std::vector<JobId> jobs = based.empty() ? std::vector<JobId>() : std::move(based.mapped());
    std::erase_if(jobs, [this, slot](const JobId &id) {
        const auto base = m_baseSlot.find(id);
        return m_table.find(id) == nullptr || base == m_baseSlot.end() || base->second != slot;
    });
    return jobs;
}

bool JobLog::isRetentionOver(const Job &job) const
{
    const Milliseconds age(m_context.wallNow().value() - job.closedAt.value());
    return job.isClosed() && job.liveRuns().empty() && age > m_limits.retention;
}

void JobLog::setBaseSlot(const JobRecord &record, std::uint64_t slot)
{
    if (std::holds_alternative<JobAccepted>(record) || std::holds_alternative<JobSnapshot>(record)) {
        m_baseSlot[jobOf(record)] = slot;
        m_basedJobs[slot].push_back(jobOf(record));
    }
}

void JobLog::send()
{
    if (!m_inFlight || m_isLost) {
        return;
    }
    CommitGroup &group = *m_inFlight;
    const Milliseconds resend = std::min(initialResendDelay * (1 << std::min(group.tries, 4U)), maxResendDelay);
    ++group.tries;
    m_context.callStore(group.commit, commitTimeout,
                        m_lifetime.guard([this, slot = group.slot, sentAt = m_context.now()](const KvResult &result) {
                            handleCommit(slot, sentAt, result);
                        }));
    m_resendTimer = m_context.schedule(resend, m_lifetime.guard([this] { send(); }));
}

void JobLog::handleCommit(std::uint64_t slot, TimePoint sentAt, const KvResult &result)
{
    if (!m_inFlight || m_inFlight->slot != slot || m_isLost) {
        return;
    }
    if (result) {
        m_lastConfirmed = std::max(m_lastConfirmed, sentAt);
        finishCommit();
    } else if (result.error().kind == KvErrorKind::Conflict) {
        handleConflict(result.error(), sentAt);
    }
    // After any other error, the resend timer retries the commit.
}

void JobLog::handleConflict(const KvError &error, TimePoint sentAt)
{
    const std::string logKey = m_layout.logKey(m_inFlight->slot);
    const bool isClaimHeld = std::ranges::any_of(error.entries, [this](const KvEntry &entry) {
        return entry.key == m_layout.claimKey() && entry.revision.value() == m_token.value();
    });
    const auto slot = std::ranges::find(error.entries, logKey, &KvEntry::key);
    const std::optional<JobSlot> found = slot == error.entries.end() ? std::nullopt : decodeJobSlot(slot->value);
    const bool isApplied = found && found->nonce == m_nonce;
    if (isClaimHeld && isApplied) {
        m_lastConfirmed = std::max(m_lastConfirmed, sentAt);
    }
    // What the handlers do depends on whether the claim is known to be lost.
    if (!isClaimHeld) {
        noteShardLost("claim-superseded");
    } else if (slot != error.entries.end() && !isApplied) {
        noteShardLost("slot-taken");
    }
    if (isApplied) {
        // An earlier attempt was applied, and its answer was lost or is delayed.
        finishCommit();
    }
    reportShardLost();
}

void JobLog::finishCommit()
{
    if (m_resendTimer) {
        m_context.cancel(*m_resendTimer);
        m_resendTimer.reset();
    }
    const CommitGroup group = std::move(*m_inFlight);
    m_inFlight.reset();
    m_averageCommitTime += (m_context.now() - group.begunAt - m_averageCommitTime) / averageWeightDivisor;
    if (!m_pending.empty() || !m_pendingHandlers.empty()) {
        scheduleCommit(Milliseconds(0));
    }
    for (const CommitHandler &handler : group.handlers) {
        handler();
    }
}

void JobLog::checkWriter(std::function<void(WriterCheck)> then)
{
    m_context.callStore(
        KvGet { m_layout.claimKey() }, checkTimeout,
        m_lifetime.guard([this, then = std::move(then), sentAt = m_context.now()](const KvResult &result) {
            if (!result) {
                then(WriterCheck::NoAnswer);
                return;
            }
            const bool isOurs = !result->entries.empty() && result->entries.front().revision.value() == m_token.value();
            if (isOurs) {
                m_lastConfirmed = std::max(m_lastConfirmed, sentAt);
                then(WriterCheck::StillWriter);
            } else {
                then(WriterCheck::Superseded);
                noteShardLost("claim-superseded");
                reportShardLost();
            }
        }));
}

void JobLog::noteShardLost(std::string_view reason)
{
    if (!std::exchange(m_isLost, true)) {
        m_context.log(LogLevel::Warning, events::shardLost,
                      { { "token", std::to_string(m_token.value()) }, { "reason", std::string(reason) } });
    }
}

/** Runs the callback once the shard is lost, the first time. */
void JobLog::reportShardLost()
{
    if (!m_isLost || !m_onLost) {
        return;
    }
    // The callback may destroy this object, so it is moved to a local first.
    const std::function<void()> onLost = std::exchange(m_onLost, {});
    onLost();
}

JobTable &JobLog::table()
{
    return m_table;
}

const JobTable &JobLog::table() const
{
    return m_table;
}

TimePoint JobLog::lastConfirmed() const
{
    return m_lastConfirmed;
}

std::optional<TimePoint> JobLog::provenAt() const
{
    return m_isLost ? std::nullopt : std::optional(m_lastConfirmed);
}

Milliseconds JobLog::commitAge() const
{
    return m_inFlight ? m_context.now() - m_inFlight->begunAt : Milliseconds(0);
}

bool JobLog::isStuck() const
{
    return commitAge() > std::clamp(m_averageCommitTime * stuckFactor, minStuckAge, maxStuckAge);
}

} // namespace currantring
