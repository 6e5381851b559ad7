#pragma once

#include "jobcontext.h"
#include "jobtable.h"
#include "lifetime.h"
#include "storelayout.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace currantring {

/** How soon a record has to be committed. */
enum class RecordUrgency {
    /** A caller waits for the commit. */
    Urgent,
    /** May be delayed so that more records share a commit. */
    Relaxed,
};

/** Whether this host still holds the claim to a shard, according to the store. */
enum class WriterCheck { StillWriter, Superseded, NoAnswer };

/** Timing of a JobLog. */
struct JobLogLimits
{
    /** Minimum time between two commits. */
    Milliseconds commitInterval { 50 };
    /** Maximum time that relaxed records wait for a commit. */
    Milliseconds relaxedDelay { 80 };
    /** Closed jobs stay readable for at least this time. */
    Milliseconds retention { 150'000 };
    /** Maximum number of slots; the oldest ones in excess are trimmed. */
    std::size_t slots = 256;
    /** Largest value that the store takes. */
    std::size_t valueBytes = 1'000'000;
};

/**
 * The write-ahead log of one shard's jobs in the store, and the job table built from it.
 *
 * Each commit creates the next numbered slot by compare-and-swap: this host's claim must be unchanged and the slot must
 * not exist. A superseded writer therefore can't append, and a commit that is applied late or twice has no effect. The
 * table already contains records that aren't committed; no effect of these may be visible outside before their handler
 * has run. Before an old slot is deleted, a snapshot is written of each retained job whose base record is in it, as
 * many in one commit as the store takes. Thread safety: one thread at a time.
 */
class JobLog
{
public:
    /** Runs once the record is committed; doesn't run when the shard is lost before that. */
    using CommitHandler = std::function<void()>;

    /** A claim of this host. */
    struct OwnClaim
    {
        /** The claim's revision. */
        WriterToken token;
        /** A time at which it was in force. */
        TimePoint provenAt {};
    };

    /**
     * @p onLost runs once, when another host has taken over the shard;
     * the object must not be used after that. Precondition: @p context outlives the object.
     */
    JobLog(StoreLayout layout, OwnClaim claim, std::uint64_t nonce, JobContext &context, JobLogLimits limits,
           std::function<void()> onLost);

    /** Reads the whole log; @p then runs when the table is complete. */
    void load(std::function<void()> then);
    /** Applies @p record to the table and queues it; false when the table rejects it or the shard is lost. */
    bool append(const JobRecord &record, RecordUrgency urgency, CommitHandler then = {});
    /** Runs @p then when all records appended so far are committed; doesn't run it once the shard is lost. */
    void flush(CommitHandler then);
    /** Reads the claim from the store, to learn whether this host is still the writer after this call. */
    void checkWriter(std::function<void(WriterCheck)> then);
    [[nodiscard]] JobTable &table();
    [[nodiscard]] const JobTable &table() const;
    /** Latest time at which this host is known to have been the writer. */
    [[nodiscard]] TimePoint lastConfirmed() const;
    /** The same; nullopt once it is known not to be the writer any more. */
    [[nodiscard]] std::optional<TimePoint> provenAt() const;
    /** Time since the commit in flight was started; 0 when there is none. */
    [[nodiscard]] Milliseconds commitAge() const;
    /** Whether the commit in flight takes much longer than the average. */
    [[nodiscard]] bool isStuck() const;

private:
    struct CommitGroup
    {
        std::uint64_t slot = 0;
        KvCommit commit;
        std::vector<CommitHandler> handlers;
        TimePoint begunAt;
        std::uint32_t tries = 0;
    };

    void loadPage(const std::string &after);
    void handlePage(const KvResult &result);
    void replay();
    [[nodiscard]] std::optional<JobSlot> lastReadableSlot();
    void replaySlot(std::uint64_t number, const JobSlot &slot);
    void retryLoad();
    void scheduleCommit(Milliseconds delay);
    void commit();
    void trim(JobSlot &slot, std::size_t spare, KvCommit &commit);
    [[nodiscard]] std::size_t moveJobs(std::uint64_t slot, std::uint64_t into, std::size_t spare, JobSlot &group);
    [[nodiscard]] std::vector<JobId> jobsBasedOn(std::uint64_t slot);
    void send();
    void handleCommit(std::uint64_t slot, TimePoint sentAt, const KvResult &result);
    void handleConflict(const KvError &error, TimePoint sentAt);
    void finishCommit();
    void noteShardLost(std::string_view reason);
    void reportShardLost();
    void setBaseSlot(const JobRecord &record, std::uint64_t slot);
    [[nodiscard]] bool isRetentionOver(const Job &job) const;

    StoreLayout m_layout;
    WriterToken m_token;
    std::uint64_t m_nonce;
    JobContext &m_context;
    JobLogLimits m_limits;
    std::function<void()> m_onLost;
    Lifetime m_lifetime;
    bool m_isLost = false;

    JobTable m_table;
    std::map<std::uint64_t, std::string> m_loaded;
    std::function<void()> m_onLoaded;

    std::uint64_t m_firstSlot = 1;
    std::uint64_t m_nextSlot = 1;
    /** Slot of a job's acceptance or latest snapshot; replay of the job starts there. */
    std::map<JobId, std::uint64_t> m_baseSlot;
    std::map<std::uint64_t, std::vector<JobId>> m_basedJobs;

    std::vector<JobRecord> m_pending;
    std::vector<CommitHandler> m_pendingHandlers;
    std::optional<CommitGroup> m_inFlight;
    std::optional<std::pair<TimePoint, TimerId>> m_commitTimer;
    std::optional<TimerId> m_resendTimer;
    TimePoint m_lastCommit {};
    /** Moving average of the commit duration. */
    Milliseconds m_averageCommitTime {};
    TimePoint m_lastConfirmed {};
};

} // namespace currantring
