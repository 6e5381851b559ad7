#include "configuration.h"

#include <array>

namespace currantring {

std::span<const SettingSpec> fleetSettings()
{
    using enum Setting;
    static constexpr std::array<SettingSpec, 17> specs { {
        { ShardCount, "shard-count", "", 1, 256, 8, "number of ledger shards of the fleet" },
        { GroupCommitTick, "group-commit-tick", "ms", 0, 5000, 50, "longest wait before a commit group is written" },
        { TaskLease, "task-lease", "ms", 500, 600000, 10000, "term after which a worker stops an unrenewed attempt" },
        { OutageTerm, "outage-term", "ms", 1000, 86400000, 3600000,
          "how long leases may be renewed while the store can't confirm the writer" },
        { ClockError, "clock-error", "ms", 0, 60000, 500, "bound on the difference of clock rates over a term" },
        { StartWindow, "start-window", "ms", 100, 60000, 5000, "time within which a worker may begin a sent start" },
        { ReportInterval, "report-interval", "ms", 50, 60000, 1000, "time between two reports of a worker" },
        { HostListInterval, "host-list-interval", "ms", 50, 60000, 1000, "time between two reads of the host list" },
        { HeartbeatInterval, "heartbeat-interval", "ms", 20, 10000, 500, "time between two heartbeats to a peer" },
        { PeerSilence, "peer-silence", "ms", 100, 60000, 2500, "silence after which a peer counts as gone" },
        { RequestDeadline, "request-deadline", "ms", 10, 600000, 2000, "deadline of requests that bring none" },
        { RequestQueueLimit, "request-queue-limit", "", 0, 100000, 256, "requests that may wait for a slot" },
        { TaskQueueLimit, "task-queue-limit", "", 1, 1000000, 20000, "tasks that may wait in a shard" },
        { RetryBudget, "retry-budget", "percent", 0, 100, 10, "retries and hedges as a share of recent requests" },
        { AttemptLimit, "attempt-limit", "", 1, 100, 4, "attempts after which a failing task ends" },
        { EndedRetention, "ended-retention", "s", 1, 2592000, 86400, "how long an ended task's account is kept" },
        { SnapshotSlots, "snapshot-slots", "", 8, 10000, 256, "log slots between two snapshots of a shard" },
    } };
    return specs;
}

} // namespace currantring
