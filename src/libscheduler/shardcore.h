#pragma once

#include "configuration.h"
#include "context.h"
#include "shardlog.h"

#include <map>
#include <optional>
#include <set>

namespace currantring {

/** A worker as the writer of its shard knows it. */
struct WorkerView
{
    WorkerInfo info;
    /** Whether the platform's list still names it. */
    bool listed = true;
    /** Its own word that it is leaving. */
    bool saysLeaving = false;
    /** Its clock, as read by the report that came at clockReadAt. */
    std::optional<WorkerTime> clock;
    TimePoint clockReadAt {};
    /** Whether it answered under the present epoch, so that it refuses older writers. */
    bool knowsEpoch = false;
    TimePoint lastAnswer {};
    /** When leases on it were last extended by this host. */
    TimePoint lastExtension {};
    TimePoint nextReport {};
    bool reportInFlight = false;
    /** No placement before this moment. */
    TimePoint avoidUntil {};
    /** Ended attempts that are committed and that the worker may forget. */
    std::set<AttemptKey> recorded;
};

/** What the parts that schedule one shard share. */
struct ShardCore
{
    Context &context;
    ShardLog &log;
    Configuration configuration;
    std::map<WorkerId, WorkerView> workers;
    /** When this host took the shard over. */
    TimePoint activeSince {};
    /** Whether the former writer said that it has stopped. */
    bool handedOver = false;
    /** Longest settings that this writer has worked under; leases given under them may still last. */
    Milliseconds longestMargin {};
    Milliseconds longestOutage {};
    /** Whether leases may be extended while the store can't confirm the writer. */
    bool outageRenewals = true;

    [[nodiscard]] CommandFence fence() const
    {
        return { log.shard(), log.epoch() };
    }

    /** Whether new work may be placed on @p worker. */
    [[nodiscard]] bool isUsable(const WorkerView &worker) const;
    /** Capacity of @p worker that no live attempt holds. */
    [[nodiscard]] Resources freeOn(const WorkerView &worker) const;
    /** Until when a lease may last, in the worker's clock. Precondition: the worker's clock is known. */
    [[nodiscard]] WorkerTime leaseUntil(const WorkerView &worker) const;
    /** The worker's clock now, as far as its last report tells. Precondition: the worker's clock is known. */
    [[nodiscard]] WorkerTime estimatedClock(const WorkerView &worker, TimePoint at) const;
};

} // namespace currantring
