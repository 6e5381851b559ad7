#pragma once

#include "jobcontext.h"
#include "lifetime.h"

#include <functional>
#include <map>
#include <string>

namespace currantring {

/**
 * Follows all entries of the store under a prefix: reads them, then watches, and reads again when history is gone; or
 * reads them all again and again.
 *
 * Thread safety: one thread at a time.
 */
class PrefixWatch
{
public:
    struct Handlers
    {
        /** An entry is new, has changed or is gone; never an older state after a newer one. */
        std::function<void(const KvEntry &entry)> onChange;
        /** All entries were read; runs after each whole read. */
        std::function<void()> onSynced = [] {
        };
    };

    /** Precondition: @p context outlives the object. */
    PrefixWatch(std::string prefix, JobContext &context, Handlers handlers);

    void start();
    /** How long each watch waits at the store, from the next one on. */
    void setWait(Milliseconds wait);
    /** Reads all entries in these intervals instead of watching; cheaper where most of them change all the time. */
    void poll(Milliseconds interval);
    /** Reads all entries now instead of waiting for a change. */
    void refresh();
    /** When the store last answered; nullopt when it never has. */
    [[nodiscard]] std::optional<TimePoint> lastAnswer() const;
    /** Whether all entries have been read once. */
    [[nodiscard]] bool isSynced() const;

private:
    void list(const std::string &after);
    void handleList(const KvResult &result);
    void finishList();
    void goOn();
    void watch();
    void handleWatch(const KvResult &result);
    void retry(std::function<void()> what);
    void take(const KvEntry &entry);

    std::string m_prefix;
    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    Milliseconds m_wait;
    std::optional<Milliseconds> m_pollInterval;
    Milliseconds m_backoff {};
    /** Answers to calls of an earlier round are dropped. */
    std::uint64_t m_round = 0;
    StoreRevision m_revision;
    bool m_isSynced = false;
    std::map<std::string, StoreRevision> m_known;
    std::map<std::string, StoreRevision> m_listed;
    std::optional<TimePoint> m_lastAnswer;
};

} // namespace currantring
