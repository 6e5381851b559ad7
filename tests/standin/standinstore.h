#pragma once

#include "storerequest.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace currantring {

/**
 * The key-value service as a pure state machine: entries with versions, leases, compare-and-swap, history for watches.
 *
 * Time is passed in and never goes back. Thread safety: one thread at a time.
 */
class StandinStore
{
public:
    /**
     * Carries out one call at @p now. A StoreWatch is answered at once, with no entries when nothing has changed; a
     * driver that waits asks changesAfter() again and counts the watch once with this call. Precondition: not
     * ReadHostList.
     */
    StoreResult apply(const StoreRequest &request, TimePoint now);
    /**
     * Entries under @p prefix that changed after @p after, in order of their last change and as they are now; a
     * removed one has version 0. Nullopt when there are none.
     */
    [[nodiscard]] std::optional<StoreReply> changesAfter(const std::string &prefix, StoreRevision after) const;
    /** Ends the leases whose term is over at @p now, with their entries. */
    void advance(TimePoint now);
    /** When the next lease ends by itself. */
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const;
    /** Ends one lease with its entries, as if its term were over. */
    void lapseLease(LeaseId lease);
    void lapseAllLeases();
    [[nodiscard]] StoreRevision revision() const;
    /** Calls by kind: `get`, `list`, `put`, `delete`, `grant`, `renew`, `watch`. */
    [[nodiscard]] const std::map<std::string, std::uint64_t> &counts() const;

private:
    struct Entry
    {
        std::string value;
        StoreVersion version;
        std::optional<LeaseId> lease;
    };

    struct Lease
    {
        TimePoint end;
        Milliseconds term {};
        std::set<std::string> keys;
    };

    StoreResult run(const StoreGet &request, TimePoint now);
    StoreResult run(const StoreList &request, TimePoint now);
    StoreResult run(const StorePut &request, TimePoint now);
    StoreResult run(const StoreDelete &request, TimePoint now);
    StoreResult run(const StoreGrantLease &request, TimePoint now);
    StoreResult run(const StoreRenewLease &request, TimePoint now);
    StoreResult run(const StoreWatch &request, TimePoint now);
    StoreResult run(const ReadHostList &request, TimePoint now);
    void noteChange(const std::string &key);
    void detach(const std::string &key, const Entry &entry);
    void erase(const std::string &key);

    std::map<std::string, Entry> m_entries;
    std::map<LeaseId, Lease> m_leases;
    /** Each key that ever changed, removed ones too, under the revision of its last change. */
    std::map<StoreRevision, std::string> m_changes;
    std::map<std::string, StoreRevision> m_lastChange;
    std::map<std::string, std::uint64_t> m_counts;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastLease = 0;
};

} // namespace currantring
