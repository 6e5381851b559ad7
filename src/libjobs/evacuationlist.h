#pragma once

#include "jobids.h"
#include "prefixwatch.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace currantring {

/**
 * The data centres that the operator has evacuated, read from the store: no task may be started there.
 *
 * A process that was paused, or whose watch is never answered, holds an old list without knowing. The list therefore
 * counts as synced only for a limited time after the request for it was sent; that time leaves room within the
 * operator's bound for a start order that is under way.
 *
 * Without a prefix the deployment has no evacuations: nothing is read, and the empty list is always synced.
 * Thread safety: one thread at a time.
 */
class EvacuationList
{
public:
    struct Evacuation
    {
        /** Revision of the key's last change. */
        StoreRevision revision;
        /** When this process learnt of it. */
        TimePoint since {};
    };
    struct Handlers
    {
        /** The evacuation of @p dataCentre has begun or ended. */
        std::function<void(const DataCentreId &dataCentre)> onChange;
        /** The complete list was read. */
        std::function<void()> onSynced;
    };

    /**
     * @p bound: time from the operator's write to the last start that a worker may receive. Precondition: @p context
     * outlives the object.
     */
    EvacuationList(std::string prefix, Milliseconds bound, JobContext &context, Handlers handlers);

    void start();
    [[nodiscard]] bool isEvacuated(const DataCentreId &dataCentre) const;
    /** Whether the list has been read, recently enough to decide on a start. */
    [[nodiscard]] bool isSynced() const;
    /** Returns isSynced(); a list that is too old is requested again, at limited intervals. */
    bool confirm();
    /** Age of what is known, counted from when it was requested; 0 before the first answer. */
    [[nodiscard]] Milliseconds age() const;
    [[nodiscard]] const std::map<DataCentreId, Evacuation> &evacuations() const;

private:
    void applyEntry(const KvEntry &entry);
    void noteStale();
    void noteCurrent();

    std::string m_prefix;
    JobContext &m_context;
    Handlers m_handlers;
    Milliseconds m_maxAge;
    /** Empty when the deployment has no evacuations. */
    std::optional<PrefixWatch> m_watch;
    std::map<DataCentreId, Evacuation> m_evacuations;
    std::optional<TimePoint> m_refreshedAt;
    /** Since when confirm() has found the list too old. */
    std::optional<TimePoint> m_staleSince;
};

} // namespace currantring
