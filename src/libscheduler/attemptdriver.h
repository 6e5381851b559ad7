#pragma once

#include "shardcore.h"

#include <functional>
#include <map>

namespace currantring {

/**
 * Carries the shard's committed decisions to its workers and brings back what the workers say.
 *
 * Starts, checkpoints and stops attempts, renews their leases, reconciles each report with the ledger, and gives up
 * the attempts of a worker that stays silent past its leases. Thread safety: one thread at a time.
 */
class AttemptDriver
{
public:
    struct Handlers
    {
        /** A worker reported under the present epoch. */
        std::function<void(const WorkerReport &)> onReport;
        /** An attempt ended; its resources are free. */
        std::function<void()> onAttemptEnded;
        /** A worker refused a command because a newer writer has the shard. */
        std::function<void()> onStaleEpoch;
    };

    /** Precondition: @p core outlives the object. */
    AttemptDriver(ShardCore &core, Handlers handlers);

    /** Renews leases that are due, repeats commands that got no answer, gives up silent workers. */
    void tick();
    /** Sends the start command of a committed placement. */
    void start(const AttemptKey &attempt);
    /** Sends the checkpoint or stop command that the task's committed state asks for. */
    void drive(const TaskId &task);

private:
    /** What this host knows of a command that it sent, beyond the ledger. */
    struct Control
    {
        bool callInFlight = false;
        TimePoint nextCall {};
        /** Reports asked for after this moment show whether the start took effect. */
        std::optional<TimePoint> startResolved;
    };

    void renew(WorkerView &worker);
    void handleRenewal(const WorkerId &worker, TimePoint sentAt, const WorkerResult &result);
    void handleReport(WorkerView &worker, TimePoint sentAt, const WorkerReport &report);
    void handleAttempt(WorkerView &worker, const AttemptReport &attempt);
    void handleOrphan(WorkerView &worker, const AttemptReport &attempt, const TaskState *task);
    void endAttempt(const TaskState &task, const AttemptReport &attempt);
    void append(const TaskState &task, AttemptEnd end, CheckpointId checkpoint, std::string detail);
    void resolveMissing(WorkerView &worker, TimePoint sentAt, const WorkerReport &report);
    void handleStart(const AttemptKey &attempt, const WorkerId &worker, const WorkerResult &result);
    void sendStop(const AttemptKey &attempt, const WorkerId &worker);
    void sendCheckpoint(const AttemptKey &attempt, const WorkerId &worker);
    void sendCommand(const AttemptKey &attempt, const WorkerId &worker, WorkerRequest request);
    void handleCommand(const AttemptKey &attempt, const WorkerId &worker, const WorkerResult &result);
    void giveUpIfSilent(WorkerView &worker);
    [[nodiscard]] TimePoint leasesOverAt(const WorkerView &worker) const;
    [[nodiscard]] const TaskState *liveTask(const AttemptKey &attempt) const;
    [[nodiscard]] WorkerView *view(const WorkerId &worker);

    ShardCore &m_core;
    Handlers m_handlers;
    Lifetime m_lifetime;
    std::map<AttemptKey, Control> m_controls;
};

} // namespace currantring
