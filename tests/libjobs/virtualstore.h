#pragma once

#include "kvrequest.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace currantring {

/**
 * The platform's store as the tests need it: one revision counter, conditions, leases, history.
 *
 * Thread safety: one thread at a time.
 */
class VirtualStore
{
public:
    /** Carries @p request out at @p now; a watch without news gives an empty reply. */
    KvResult execute(const KvRequest &request, TimePoint now);
    /** Whether a watch would be answered at once. */
    [[nodiscard]] bool hasNews(const KvWatch &watch) const;
    /** Lets leases end that are over at @p now. */
    void advance(TimePoint now);
    /** When the next lease ends. */
    [[nodiscard]] std::optional<TimePoint> nextLeaseEnd() const;

    /** Writes as the operator and the workers do, who need no condition. */
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /** Value of an entry; nullopt when absent. */
    [[nodiscard]] std::optional<std::string> read(const std::string &key) const;
    [[nodiscard]] std::vector<std::string> keys(const std::string &prefix) const;

    // Faults.

    /** Forgets all changes until now; watches that began before find their history gone. */
    void compact();
    /** Ends all leases. */
    void revokeLeases();
    /** While they are held, leases don't end by themselves. */
    void holdLeases(bool areHeld, TimePoint now);

    /** Commits that took effect. */
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
    [[nodiscard]] StoreRevision revisionOf(const std::string &key) const;

    std::map<std::string, Entry> m_entries;
    std::map<LeaseId, Lease> m_leases;
    std::vector<KvEntry> m_history;
    StoreRevision m_revision { 100 };
    StoreRevision m_compacted { 0 };
    LeaseId m_lastLease { 7000 };
    bool m_leasesHeld = false;
    std::size_t m_commits = 0;
};

} // namespace currantring
