#pragma once

#include "kvrequest.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace currantring {

/**
 * In-memory simulation of the platform's key-value store: one revision counter, conditional commits, leases, watches.
 *
 * Thread safety: one thread at a time.
 */
class VirtualStore
{
public:
    /** Limits of the platform's store; a commit beyond one of them is refused, however often it is sent. */
    struct Limits
    {
        std::size_t keyBytes = 200;
        std::size_t valueBytes = 1'048'576;
        /** Conditions, puts and deletes together. */
        std::size_t entries = 32;
    };

    VirtualStore() = default;
    explicit VirtualStore(Limits limits);

    /** Executes @p request at @p now; a watch without changes gives an empty reply. */
    KvResult execute(const KvRequest &request, TimePoint now);
    /**
     * Whether a watch that waits has changes to report. The platform's store doesn't end a waiting watch when it drops
     * the history, but refuses it at the end of its wait.
     */
    [[nodiscard]] bool hasChanges(const KvWatch &watch) const;
    /** Changes whenever a watch may have something new to report. */
    [[nodiscard]] std::pair<StoreRevision, bool> watchState() const;
    /** Whether the history that a watch asks for is compacted. */
    [[nodiscard]] bool isCompacted(const KvWatch &watch) const;
    /** Ends the leases that have expired at @p now and deletes their entries. */
    void advance(TimePoint now);
    /** When the next lease expires; nullopt when none does. */
    [[nodiscard]] std::optional<TimePoint> nextLeaseExpiry() const;

    /** Writes without conditions, as the operator and the workers do. */
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /** Value of an entry; nullopt when absent. */
    [[nodiscard]] std::optional<std::string> read(const std::string &key) const;
    [[nodiscard]] std::vector<std::string> keys(const std::string &prefix) const;

    // Faults.

    /** Compacts the history up to the present revision; watches from earlier revisions fail with HistoryGone. */
    void compact();
    /** While they are held, watches report no changes; then the history is dropped, so that they are cut. */
    void holdWatches(bool isHeld);
    /** Ends all leases and deletes their entries. */
    void revokeLeases();
    /** Suspends or resumes the expiry of leases; in either case each lease lasts at least its term from @p now on. */
    void suspendLeaseExpiry(bool isSuspended, TimePoint now);

    /** Number of commits that were refused for a limit. */
    [[nodiscard]] std::size_t commitsBeyondLimits() const;
    /** Number of commits that took effect. */
    [[nodiscard]] std::size_t commits() const;

private:
    struct Entry
    {
        std::string value;
        StoreRevision revision;
        LeaseId lease;
    };
    struct Lease
    {
        Milliseconds term {};
        TimePoint end {};
    };

    KvResult get(const KvGet &request) const;
    KvResult list(const KvList &request) const;
    KvResult watch(const KvWatch &request) const;
    KvResult commit(const KvCommit &request);
    void write(const std::string &key, const std::string &value, LeaseId lease);
    void erase(const std::string &key);
    void endLease(LeaseId lease);
    [[nodiscard]] bool isWithinLimits(const KvCommit &request) const;
    [[nodiscard]] StoreRevision revisionOf(const std::string &key) const;

    std::map<std::string, Entry> m_entries;
    std::map<LeaseId, Lease> m_leases;
    std::vector<KvEntry> m_history;
    StoreRevision m_revision { 100 };
    StoreRevision m_compacted { 0 };
    LeaseId m_lastLease { 7000 };
    bool m_isLeaseExpirySuspended = false;
    bool m_areWatchesHeld = false;
    std::size_t m_commits = 0;
    std::size_t m_commitsBeyondLimits = 0;
    Limits m_limits;
};

} // namespace currantring
