#pragma once

#include "context.h"
#include "lifetime.h"
#include "shardsnapshot.h"
#include "taskledger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace currantring {

/** Slots of a shard's log that the store holds at once; older ones are overwritten once a snapshot covers them. */
inline constexpr std::uint64_t logRingSlots = 256;
/** Most slots between two snapshots; leaves half of the ring for slow snapshots. */
inline constexpr std::uint64_t maximumSnapshotInterval = logRingSlots / 2;

/** Result of asking the store whether this host still writes a shard. */
enum class WriterCheck {
    /** No other writer had taken the shard when the store answered. */
    StillWriter,
    Superseded,
    /** The store gave no answer. */
    Unknown,
};

/**
 * Writes one shard of the ledger: claims it, commits groups of records, and finds out when another has taken it.
 *
 * Each slot is written by compare-and-swap against the version that this writer knows of the slot's place in the
 * ring, so a writer that was paused finds its next slot changed, whatever the clocks say. The ledger is ahead of the
 * store by the records that aren't committed yet; nothing outside may act on them before their commit handler ran.
 * Thread safety: one thread at a time.
 */
class ShardLog
{
public:
    enum class State { Idle, Loading, Claiming, Active, Fenced, Stopped };

    /** Told whether the record is committed; false means that the shard was lost first, and its next writer knows. */
    using CommitHandler = std::function<void(bool committed)>;
    using CheckHandler = std::function<void(WriterCheck)>;

    struct Handlers
    {
        /** The shard is claimed and its ledger is loaded. */
        std::function<void()> onActive;
        /** Another writer has the shard; the object is of no more use. */
        std::function<void()> onFenced;
    };

    struct Limits
    {
        Milliseconds groupCommitTick {};
        /** Ended tasks stay readable for this time. */
        Milliseconds retention {};
        std::uint64_t snapshotInterval = maximumSnapshotInterval;
    };

    /** Precondition: @p context outlives the object. */
    ShardLog(ShardId shard, HostId self, TaskCharts charts, Context &context, Handlers handlers);

    void setLimits(const Limits &limits);
    /** Loads the shard and takes it over. Precondition: state() is Idle. */
    void claim();
    /**
     * Adds @p record to the next group; an urgent one closes the group at once. Precondition: state() is Active.
     * @p then runs once the fate is known. Returns why the ledger doesn't take the record.
     */
    tl::expected<void, LedgerError> append(const LedgerRecord &record, bool urgent = false, CommitHandler then = {});
    /** Commits what is pending, then gives up the shard; @p done gets whether all of it was committed. */
    void stop(std::function<void(bool committed)> done);
    /** Asks the store whether this host still writes the shard, as of after this call. */
    void checkWriter(CheckHandler then);

    [[nodiscard]] State state() const;
    [[nodiscard]] ShardId shard() const;
    [[nodiscard]] Epoch epoch() const;
    /** Ahead of the store by the uncommitted records. */
    [[nodiscard]] const TaskLedger &ledger() const;
    /** Whether @p entry is committed. */
    [[nodiscard]] bool isCommitted(const AccountEntry &entry) const;
    /** Whether the group that is being gathered is so large that submissions and moved tasks must wait. */
    [[nodiscard]] bool isGroupFull() const;
    /** Whether the last write got no clear answer and is being tried again. */
    [[nodiscard]] bool isBlocked() const;
    /** Latest moment at which this host was surely the writer. */
    [[nodiscard]] TimePoint lastConfirmed() const;
    /** Whether the store answered the shard's last call. */
    [[nodiscard]] bool storeAnswers() const;

private:
    struct Pending
    {
        TimedRecord timed;
        CommitHandler then;
    };

    void load();
    void loadRing(std::optional<ShardSnapshot> snapshot);
    bool replay(const StoreReply &reply, const std::optional<ShardSnapshot> &snapshot);
    void retryLoad();
    void writeClaim();
    void scheduleGroup();
    void closeGroup();
    void putSlot();
    void handlePut(TimePoint sentAt, const StoreResult &result);
    void readBack();
    void handleReadBack(const StoreResult &result);
    void retryPut();
    void commitSlot(TimePoint sentAt, StoreVersion version);
    void fence();
    void failHandlers();
    void finishStop();
    void runChecks();
    void handleCheck(TimePoint sentAt, const StoreResult &result, const std::vector<CheckHandler> &waiting);
    void writeSnapshot();
    [[nodiscard]] bool isRingFull() const;
    [[nodiscard]] bool isSnapshotDue() const;
    [[nodiscard]] ShardSnapshot draftSnapshot(SlotNumber through) const;
    [[nodiscard]] std::string slotKey(SlotNumber slot) const;
    [[nodiscard]] std::string slotPrefix() const;
    [[nodiscard]] StoreVersion knownVersion(SlotNumber slot) const;
    [[nodiscard]] RecordOrigin origin(SlotNumber slot) const;
    [[nodiscard]] Milliseconds backoff();

    ShardId m_shard;
    HostId m_self;
    TaskCharts m_charts;
    Context &m_context;
    Handlers m_handlers;
    Limits m_limits;
    Lifetime m_lifetime;
    State m_state = State::Idle;
    /** Distinguishes this object's slots from those of another process under the same host id. */
    std::uint64_t m_nonce;
    TaskLedger m_ledger;
    Epoch m_epoch;
    SlotNumber m_nextSlot { 1 };
    std::map<std::string, StoreVersion> m_versions;
    std::vector<Pending> m_pending;
    std::size_t m_pendingBytes = 0;
    bool m_pendingUrgent = false;
    bool m_groupScheduled = false;
    std::optional<LedgerSlot> m_inFlight;
    std::string m_inFlightText;
    /** When the slot in flight was first sent; this host was the writer until then at least. */
    TimePoint m_firstSentAt {};
    std::vector<CommitHandler> m_inFlightHandlers;
    std::uint32_t m_failures = 0;
    bool m_storeAnswers = true;
    TimePoint m_lastConfirmed {};
    TimePoint m_lastCommit {};
    std::function<void(bool)> m_stopHandler;
    bool m_checkRunning = false;
    std::vector<CheckHandler> m_checks;
    SnapshotWriter m_snapshots;
    std::optional<ShardSnapshot> m_draft;
};

} // namespace currantring
