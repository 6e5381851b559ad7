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

/** How soon a record has to be on record. */
enum class RecordUrgency {
    /** Somebody waits for it. */
    Urgent,
    /** May be gathered with others for longer. */
    Relaxed,
};

/** Whether this host still writes a shard, as the store answered. */
enum class WriterCheck { StillWriter, Superseded, NoAnswer };

/** Timing of a JobLog. */
struct JobLogLimits
{
    /** Least time between two commits. */
    Milliseconds commitInterval { 50 };
    /** Longest time that relaxed records are gathered. */
    Milliseconds relaxedDelay { 80 };
    /** Closed jobs stay readable for this time. */
    Milliseconds retention { 150'000 };
    /** Slots above this number are trimmed from the oldest on. */
    std::size_t slots = 256;
};

/**
 * The log of one shard's jobs in the store, and the table that it makes.
 *
 * Each commit creates the next numbered slot, on condition that this host's claim still stands and the slot is absent;
 * so a writer that was superseded can't add to it, and a commit that is carried out late or twice has no effect. The
 * table is ahead of the store by the records that aren't committed yet; nothing outside may act on these before their
 * handler ran. Old slots are trimmed by stating the jobs that began in them again. Thread safety: one thread at a time.
 */
class JobLog
{
public:
    /** Runs once the record is committed; never runs when the shard is lost first. */
    using CommitHandler = std::function<void()>;

    /**
     * @p token is the revision of this host's claim. @p onLost runs once, when another host has the shard; the object
     * is of no more use then. Precondition: @p context outlives the object.
     */
    JobLog(StoreLayout layout, WriterToken token, std::uint64_t nonce, JobContext &context, JobLogLimits limits,
           std::function<void()> onLost);

    /** Reads the whole log; @p then runs when the table is complete. */
    void load(std::function<void()> then);
    /** Applies @p record to the table and adds it to the next commit; false when the table doesn't take it. */
    bool append(const JobRecord &record, RecordUrgency urgency, CommitHandler then = {});
    /** Runs @p then when all that was appended until now is committed. */
    void flush(CommitHandler then);
    /** Asks the store whether this host still writes the shard, as of after this call. */
    void checkWriter(std::function<void(WriterCheck)> then);
    [[nodiscard]] JobTable &table();
    [[nodiscard]] const JobTable &table() const;
    /** Latest moment at which this host was surely the writer. */
    [[nodiscard]] TimePoint lastConfirmed() const;
    /** How long the commit under way has been unanswered; 0 when there is none. */
    [[nodiscard]] Milliseconds commitAge() const;
    /** Whether the commit under way takes much longer than they usually do. */
    [[nodiscard]] bool isStuck() const;

private:
    struct Group
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
    void retryLoad();
    void scheduleCommit(Milliseconds delay);
    void commit();
    void trim(JobSlot &slot, KvCommit &commit);
    void restateJobs(std::uint64_t slot, std::uint64_t into, JobSlot &group);
    void send();
    void handleCommit(std::uint64_t slot, TimePoint sentAt, const KvResult &result);
    void handleConflict(const KvError &error, TimePoint sentAt);
    void finishCommit(TimePoint sentAt);
    void lose(std::string_view reason);
    void noteBase(const JobRecord &record, std::uint64_t slot);
    [[nodiscard]] bool isForgettable(const Job &job) const;

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
    /** Where a job is stated whole, so that the slots after it tell the rest. */
    std::map<JobId, std::uint64_t> m_baseSlot;
    std::map<std::uint64_t, std::vector<JobId>> m_basedJobs;

    std::vector<JobRecord> m_pending;
    std::vector<CommitHandler> m_pendingHandlers;
    std::optional<Group> m_inFlight;
    std::optional<std::pair<TimePoint, TimerId>> m_commitTimer;
    std::optional<TimerId> m_resendTimer;
    TimePoint m_lastCommit {};
    /** Moving average of the time that commits take. */
    Milliseconds m_usualCommit {};
    TimePoint m_lastConfirmed {};
};

} // namespace currantring
