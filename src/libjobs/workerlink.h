#pragma once

#include "heldroom.h"
#include "jobcontext.h"
#include "lifetime.h"
#include "liverun.h"
#include "workerentry.h"
#include "workerlease.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace currantring {

/** What workers promise about their time, and how the writer uses it. */
struct WorkerTiming
{
    /** Lease that each look asks for. */
    Milliseconds lease { 4500 };
    /** Longest lease that a worker grants, whoever asked for it. */
    Milliseconds longestLease { 6000 };
    /** Longest wait of one look at the worker. */
    Milliseconds lookWait { 1000 };
    /** The same where a serving task's response times are watched. */
    Milliseconds servingLookWait { 500 };
};

/** The ends that a worker has told, by the connection that their numbers hold for. */
struct EndMark
{
    WorkerChannel channel;
    EndNumber number;
};

/**
 * Everything between the writer and one worker: looks that renew its lease, orders, and the runs that hold room there.
 *
 * A run holds its room until the worker lists its end, or until it surely can't run: the worker doesn't list it in a
 * look that began after its start was settled, or the worker's lease is over. Thread safety: one thread at a time.
 */
class WorkerLink
{
public:
    struct Handlers
    {
        /** The worker lists an end of a live run; the run is gone from runs(). */
        std::function<void(const LiveRun &run, ListedEnd end, const CheckpointId &checkpoint)> onEnded;
        /** The run surely doesn't run and didn't end by itself; it is gone from runs(). */
        std::function<void(const LiveRun &run, std::string_view reason)> onLost;
        std::function<void(const LiveRun &run)> onStarted;
        /** The order to start the run got no answer; the worker is asked to stop it. */
        std::function<void(const LiveRun &run)> onUnsettled;
        /** The worker refused to start the run, which is gone from runs(). */
        std::function<void(const LiveRun &run, WorkerFailure failure)> onRefused;
        /** A look was answered, and its ends were told. The owner acknowledges them once they are on record. */
        std::function<void()> onLooked;
        /** The worker begins or ceases to answer. */
        std::function<void()> onReachability;
        /** The worker has seen a higher token. */
        std::function<void()> onFenced;
        /** What a run is that the worker reports and the writer doesn't expect; null when unknown. */
        std::function<std::shared_ptr<const StepSpec>(const TaskRef &task)> describeRun;
        /** Whether the writer may extend leases now. */
        std::function<bool()> mayExtendLease;
    };

    /**
     * @p inheritedUntil: until then a former writer may have extended the worker's lease. Precondition: @p context
     * outlives the object.
     */
    WorkerLink(WorkerEntry entry, WriterToken token, WorkerTiming timing, TimePoint inheritedUntil, JobContext &context,
               Handlers handlers);

    /** Begins to look. */
    void begin();
    /** Takes over what the platform's list says now. */
    void setEntry(WorkerEntry entry);
    /** Whether the platform's list still names the worker. */
    void setListed(bool isListed);

    /** Adds a run that an earlier writer placed; in an earlier life, perhaps. */
    void inherit(LiveRun run);
    /** Takes room for @p run, whose placement is being recorded. */
    void reserve(LiveRun run);
    /** Gives the room of a reserved run back; nothing was ordered. */
    void release(const RunRef &run);
    /** Orders the start of a reserved run. */
    void start(const RunRef &run, std::string payload, const CheckpointId &resumeFrom, std::string ticket);
    /** Stops a run; does nothing when it isn't live. */
    void stop(const RunRef &run);
    void pace(const RunRef &run, std::uint32_t percent);
    /** The ends up to @p mark are on record. */
    void acknowledge(const EndMark &mark);
    /** The ends told so far. */
    [[nodiscard]] EndMark endMark() const;

    [[nodiscard]] const WorkerEntry &entry() const;
    [[nodiscard]] WorkerLife life() const;
    [[nodiscard]] const std::map<RunRef, LiveRun> &runs() const;
    /** Whether the worker has answered a look of this writer, and the latest one. */
    [[nodiscard]] bool isReachable() const;
    [[nodiscard]] bool isListed() const;
    /** Since when the platform's list hasn't named the worker. */
    [[nodiscard]] TimePoint unlistedSince() const;
    /** What the runs hold. */
    [[nodiscard]] const HeldRoom &room() const;

private:
    void look(Milliseconds wait);
    void handleLook(TimePoint sentAt, const WorkerResult &result);
    void takeAnswer(TimePoint sentAt, const WorkerAnswer &answer);
    void takeRunning(const WorkerAnswer &answer);
    void takeEnded(const WorkerAnswer &answer);
    void dropAbsent(TimePoint sentAt, const WorkerAnswer &answer);
    [[nodiscard]] bool isSurelyAbsent(const LiveRun &run, TimePoint sentAt, const WorkerAnswer &answer) const;
    void settlePace(const LiveRun &run);
    void takeStray(const RunningRow &row);
    void continueLooking();
    void failLook(WorkerFailure failure);
    void checkLease();
    void handleStart(const RunRef &run, const WorkerResult &result);
    void sendStop(const RunRef &run);
    void handleStop(const RunRef &run, const WorkerResult &result);
    void setReachable(bool isReachable, std::string_view reason);
    void lose(const RunRef &run, std::string_view reason);
    void order(WorkerOrder order, JobDriver::WorkerHandler then);
    [[nodiscard]] Milliseconds lookWait() const;
    LiveRun take(std::map<RunRef, LiveRun>::iterator place);

    WorkerEntry m_entry;
    WriterToken m_token;
    WorkerTiming m_timing;
    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    bool m_isListed = true;
    TimePoint m_unlistedSince {};
    bool m_isReachable = false;
    /** The life of the latest answer; that of the list's entry before. */
    WorkerLife m_life;
    WorkerLease m_lease;
    /** Ends up to here were told to the owner. */
    EndNumber m_told;
    /** Ends up to here are on record. */
    EndNumber m_acknowledged;
    /** The connection that the numbers of the ends hold for. */
    std::optional<WorkerChannel> m_channel;
    /** Answers to looks of an earlier round are dropped. */
    std::uint64_t m_round = 0;
    std::optional<TimerId> m_lookTimer;
    std::uint32_t m_failedLooks = 0;
    std::map<RunRef, LiveRun> m_runs;
    HeldRoom m_room;
};

} // namespace currantring
