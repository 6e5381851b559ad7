#pragma once

#include "jobcontext.h"
#include "lifetime.h"

#include <functional>
#include <map>
#include <string>

namespace currantring {

/**
 * Tracks all store entries under a prefix. Lists them, then watches for changes, and lists them again after a watch
 * that failed or wasn't answered, or when the history after the last revision has been compacted; alternatively polls
 * by listing at an interval.
 *
 * The store may drop a watch without a sign, so a change is seen at the latest after the wait of the watch, the margin
 * for its answer, and a listing.
 *
 * Thread safety: one thread at a time.
 */
class PrefixWatch
{
public:
    struct Handlers
    {
        /** An entry was added, changed or deleted; never reports an older revision after a newer one. */
        std::function<void(const KvEntry &entry)> onChange;
        /** Runs after each complete listing. */
        std::function<void()> onSynced = [] {
        };
    };

    /** Precondition: @p context outlives the object. */
    PrefixWatch(std::string prefix, JobContext &context, Handlers handlers);

    void start();
    /** Sets how long the store holds a watch request without changes; a pending one with a longer wait is replaced. */
    void setWait(Milliseconds wait);
    /** Lists all entries at this interval instead of watching; cheaper where most of them change constantly. */
    void poll(Milliseconds interval);
    /** Lists all entries now instead of waiting for a change; a listing that is under way is awaited. */
    void refresh();
    /** Time of the store's last answer; nullopt before the first one. */
    [[nodiscard]] std::optional<TimePoint> lastAnswer() const;
    /**
     * When the request of the last complete answer was sent: changes up to then are known. Unlike lastAnswer(), it
     * isn't later than the answer, which a paused process may handle long after it was given. Nullopt before the first
     * complete listing.
     */
    [[nodiscard]] std::optional<TimePoint> currentAsOf() const;
    /** Whether all entries have been listed at least once. */
    [[nodiscard]] bool isSynced() const;

private:
    void list(const std::string &after);
    void handleList(const KvResult &result);
    void finishList();
    void scheduleNext();
    void watch();
    void handleWatch(const KvResult &result);
    void logFailedWatch(const KvError &error);
    void retryList();
    void applyEntry(const KvEntry &entry);

    std::string m_prefix;
    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    Milliseconds m_wait;
    std::optional<Milliseconds> m_pollInterval;
    Milliseconds m_backoff {};
    /** Incremented by refresh(); answers to calls of an earlier round are dropped. */
    std::uint64_t m_round = 0;
    StoreRevision m_revision;
    bool m_isListing = false;
    /** Wait and beginning of the watch under way; nullopt when there is none. */
    std::optional<Milliseconds> m_pendingWait;
    TimePoint m_watchBegunAt {};
    /** When the first page of the latest listing was requested. */
    TimePoint m_listBegunAt {};
    bool m_isSynced = false;
    std::map<std::string, StoreRevision> m_known;
    std::map<std::string, StoreRevision> m_listed;
    std::optional<TimePoint> m_lastAnswer;
    std::optional<TimePoint> m_currentAsOf;
};

} // namespace currantring
