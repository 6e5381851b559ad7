#pragma once

#include "jobcontext.h"
#include "lifetime.h"
#include "liverun.h"
#include "reservedresources.h"
#include "workerentry.h"
#include "workerlease.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace currantring {

/** Lease durations that workers honour, and how long the writer's polls wait. */
struct WorkerTiming
{
    /** Lease duration that each poll requests. */
    Milliseconds lease { 4500 };
    /** Upper bound that workers apply to any lease, whichever writer requests it. */
    Milliseconds longestLease { 6000 };
    /** Longest time that a worker may hold back the answer to a poll. */
    Milliseconds pollWait { 1000 };
    /** Shorter limit for workers that run serving tasks, whose response times are monitored. */
    Milliseconds servingPollWait { 500 };
};

/** Position in a worker's list of ended runs; the numbers are valid for one connection only. */
struct EndCursor
{
    WorkerChannel channel;
    EndNumber number;
};

/**
 * The writer's connection to one worker: polls it to renew its lease, sends orders, and tracks the runs placed on it.
 *
 * A run keeps its resources reserved until the worker reports its end or until it provably can't be running: either the
 * worker omits it from the complete answer to a poll sent after its start was settled, or the worker's lease has
 * expired.
 *
 * All listed ends are acknowledged, those of untracked runs too, as the worker lists the next ones only then. An end is
 * untracked when it was recorded before, by this writer or an earlier one, or when its run was given up after the lease
 * had expired; the end of such a run counts for nothing.
 *
 * A worker that restarts under its id counts its clock anew, so that it would take the time in an order as the longest
 * lease there is. Orders with a time therefore go over connections that lead to the known life of the worker, or to
 * none. Thread safety: one thread at a time.
 */
class WorkerLink
{
public:
    struct Handlers
    {
        /** The worker reported the end of a live run, which has been removed from runs(). */
        std::function<void(const LiveRun &run, ReportedEnd end, const CheckpointId &checkpoint)> onEnded;
        /** The run is known not to be running, without a reported end; it has been removed from runs(). */
        std::function<void(const LiveRun &run, std::string_view reason)> onLost;
        std::function<void(const LiveRun &run)> onStarted;
        /** The start order got no answer, so the run may have started; a stop order has been sent. */
        std::function<void(const LiveRun &run)> onUnsettled;
        /** The worker refused to start the run, which has been removed from runs(). */
        std::function<void(const LiveRun &run, WorkerFailure failure)> onRefused;
        /**
         * A poll was answered and its ended runs were passed on. @p newEnds: the position after them, if there were
         * any, tracked or not; to be acknowledged once what was passed on is recorded.
         */
        std::function<void(const std::optional<EndCursor> &newEnds)> onPolled;
        /** The worker became reachable or unreachable. */
        std::function<void()> onReachability;
        /** The worker rejected this writer's fencing token because it has seen a higher one. */
        std::function<void()> onFenced;
        /** Looks up the step of a run that the worker reports but the writer doesn't track; null when unknown. */
        std::function<std::shared_ptr<const StepSpec>(const TaskRef &task)> describeRun;
        /** Whether nothing may be started on the worker as its data centre is evacuated; checked for held starts. */
        std::function<bool()> isEvacuated = [] {
            return false;
        };
        /** The term of a lease that is granted now; nullopt while the writer may not extend leases. */
        std::function<std::optional<GrantTerm>()> grantLease;
    };

    /**
     * @p inheritedUntil: latest expiry of a lease that a previous writer may have granted. Precondition: @p context
     * outlives the object.
     */
    WorkerLink(WorkerEntry entry, WriterToken token, WorkerTiming timing, TimePoint inheritedUntil, JobContext &context,
               Handlers handlers);

    /** Starts polling. */
    void begin();
    /** Applies the worker's current entry in the platform's list. */
    void setEntry(WorkerEntry entry);
    /** Sets whether the platform's list contains the worker. */
    void setListed(bool isListed);
    /** Lowers the bound on the leases that previous writers may have granted. */
    void limitInherited(TimePoint until);

    /** Adds a run that a previous writer placed, possibly before the worker restarted. */
    void inherit(LiveRun run);
    /** Reserves resources for @p run while its placement is being recorded. */
    void reserve(LiveRun run);
    /** Releases the resources of a reserved run for which no order has been sent. */
    void release(const RunRef &run);
    /** Sends the start order of a reserved run, which the worker refuses after @p term. */
    void start(const RunRef &run, const GrantTerm &term, std::string payload, const CheckpointId &resumeFrom,
               std::string ticket);
    /** Stops a run; does nothing when the run isn't tracked or is already stopping. */
    void stop(const RunRef &run);
    void pace(const RunRef &run, std::uint32_t percent);
    /** Confirms that the ended runs up to @p cursor are recorded. */
    void acknowledge(const EndCursor &cursor);
    [[nodiscard]] const WorkerEntry &entry() const;
    [[nodiscard]] WorkerLife life() const;
    [[nodiscard]] const std::map<RunRef, LiveRun> &runs() const;
    /** Whether the worker has answered this writer and still does. */
    [[nodiscard]] bool isReachable() const;
    [[nodiscard]] bool isListed() const;
    /** When the worker disappeared from the platform's list. */
    [[nodiscard]] TimePoint unlistedSince() const;
    /** Earliest time at which a draining worker leaves; nullopt when the worker isn't draining. */
    [[nodiscard]] std::optional<TimePoint> leavesAt() const;
    /** From this time on, nothing that was started before can still be running, if the lease isn't extended. */
    [[nodiscard]] TimePoint leaseExpiry() const;
    /** Changes with the runs, what is known of them, and the capacity; no two links ever have the same. */
    [[nodiscard]] std::uint64_t revision() const;
    /** Resources reserved by the runs. */
    [[nodiscard]] const ReservedResources &reservedResources() const;

private:
    void poll(Milliseconds wait);
    [[nodiscard]] bool canExtendLease() const;
    void handlePoll(TimePoint sentAt, const WorkerResult &result);
    void applyAnswer(TimePoint sentAt, const WorkerAnswer &answer);
    void updateRunning(const WorkerAnswer &answer);
    std::optional<EndCursor> reportEnded(const WorkerAnswer &answer);
    void removeAbsent(TimePoint sentAt, const WorkerAnswer &answer);
    [[nodiscard]] static bool isProvenAbsent(const LiveRun &run, TimePoint sentAt, const WorkerAnswer &answer);
    void restorePace(const LiveRun &run);
    void stopUntracked(const RunningRow &row);
    void schedulePoll();
    void handlePollFailure(WorkerFailure failure);
    void checkLeaseExpiry();
    void scheduleLeaseExpiry();
    /** What becomes of a start order that couldn't be sent. */
    enum class IfNotSent { Hold, Refuse };
    void sendStart(const std::shared_ptr<const StartOrder> &order, IfNotSent then);
    void holdStart(const std::shared_ptr<const StartOrder> &order);
    void identifyChannel();
    void handleIdentity(const WorkerResult &result);
    void refuseStart(const RunRef &run, WorkerFailure failure);
    [[nodiscard]] bool isStarting(const RunRef &run) const;
    void handleStart(const RunRef &run, const WorkerResult &result);
    void sendStop(const RunRef &run);
    void handleStop(const RunRef &run, const WorkerResult &result);
    void setReachable(bool isReachable, std::string_view reason);
    void reportLost(const RunRef &run, std::string_view reason);
    void sendOrder(WorkerOrder order, JobDriver::WorkerHandler then);
    void callWorker(WorkerOrder order, Milliseconds timeout, JobDriver::WorkerHandler then);
    [[nodiscard]] Milliseconds pollWait() const;
    void addRun(LiveRun run);
    LiveRun removeRun(std::map<RunRef, LiveRun>::iterator place);
    void noteChange();
    void updateDeparture();

    WorkerEntry m_entry;
    WriterToken m_token;
    WorkerTiming m_timing;
    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    bool m_isListed = true;
    TimePoint m_unlistedSince {};
    std::optional<TimePoint> m_leavesAt;
    bool m_isReachable = false;
    /** The worker's life according to its latest answer, or to its entry before the first answer. */
    WorkerLife m_life;
    WorkerLease m_lease;
    /** The worker's address, and what is known of the connections to it. */
    WorkerTarget m_target;
    /** Start orders that wait for a connection that leads to the known life. */
    std::vector<std::shared_ptr<const StartOrder>> m_heldStarts;
    /** Ended runs up to here were passed on. */
    EndNumber m_reported;
    /** Ended runs up to here are recorded. */
    EndNumber m_acknowledged;
    /** The connection for which the numbers of ended runs are valid. */
    std::optional<WorkerChannel> m_channel;
    /** Incremented with each poll; answers to earlier polls are discarded. */
    std::uint64_t m_round = 0;
    std::optional<TimerId> m_pollTimer;
    /** Set while the runs of an unreachable worker wait for the expiry of its lease. */
    std::optional<TimerId> m_expiryTimer;
    std::uint32_t m_failedPolls = 0;
    std::map<RunRef, LiveRun> m_runs;
    ReservedResources m_reserved;
    std::uint64_t m_revision = 0;
};

} // namespace currantring
