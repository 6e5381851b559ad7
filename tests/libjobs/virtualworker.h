#pragma once

#include "workerentry.h"
#include "workerorder.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace currantring {

/** Simulated behaviour of a task, parsed from the job's payload. */
struct TaskBehaviour
{
    /** Run time at full speed; nullopt when the task runs until it is stopped. */
    std::optional<Milliseconds> work;
    /** Number of first runs of each task that fail at the end of their work. */
    std::uint32_t failingRuns = 0;
    /** Tail latency without other tasks on the worker, in ms; 0 when the task serves no requests. */
    std::int64_t tail = 0;
    /** Time that a lasting task takes to become ready. */
    Milliseconds startup { 100 };
    /** Number of gang members that have to run before any of them makes progress; 0 when there is no gang. */
    std::size_t gang = 0;
    /** Whether a start needs an admission ticket. */
    bool needsTicket = false;
};

/** Parses a payload such as `work=700 fail=1 tail=12 startup=100 gang=3 ticket=1`; each argument is optional. */
TaskBehaviour parseBehaviour(const std::string &payload);

/** The ticket that a step needs on a worker; it becomes invalid when the worker restarts, and after @p validUntil. */
std::string admissionTicket(const StepRef &step, const WorkerEntry &worker, TimePoint validUntil);
/** Whether @p ticket is one for a step on a worker, and valid at @p now. */
bool isValidTicket(const std::string &ticket, const StepRef &step, const WorkerEntry &worker, TimePoint now);

/** Identifies the runs of one gang. */
struct GangRef
{
    StepRef step;
    RunNumber number;

    auto operator<=>(const GangRef &) const = default;
};

/** Start, end or acknowledged end of a run, or an extended lease, reported to InvariantChecker. */
struct WorkerRunEvent
{
    enum class Kind { Started, Ended, Acknowledged, LeaseExtended };

    Kind kind = Kind::Started;
    TimePoint at {};
    WorkerId worker;
    RunRef run;
    /** Ended, Acknowledged: how the run ended. */
    ReportedEnd end = ReportedEnd::Done;
    /** Acknowledged: whether the lease expired after the end, in which case the scheduler may disregard the end. */
    bool isLapsed = false;
    /** Started: the payload of the order. */
    std::string payload;
    CheckpointId resumeFrom;
    /** Ended: whether the run was a member of a gang. */
    bool isGangMember = false;
    /** Started: the ticket of the order. */
    std::string ticket {};
    /** LeaseExtended: the token of the order, and until when it counts. */
    WriterToken token {};
    TimePoint leaseEnd {};
};

/**
 * Simulated worker that enforces the same rules as the platform's: fencing tokens, leases on its own clock, numbered
 * ends.
 *
 * Thread safety: one thread at a time.
 */
class VirtualWorker
{
public:
    using RunEventHandler = std::function<void(const WorkerRunEvent &event)>;

    /** @p listedEnds: how many ends an answer lists at most; the next ones follow an acknowledgement. */
    VirtualWorker(WorkerEntry entry, TimePoint startedAt, Milliseconds clockOffset, std::size_t listedEnds,
                  RunEventHandler onRunEvent);

    /** Executes an order at @p now. */
    WorkerResult execute(const WorkerOrder &order, TimePoint now);
    /** Whether there are ends with a number above @p acknowledged. */
    [[nodiscard]] bool hasEnds(EndNumber acknowledged) const;
    /** Ends the runs that are finished, stopped, without a lease or past the timeout of their gang at @p now. */
    void advance(TimePoint now);
    /** When the next run ends by itself, by a stop or by the expiry of the lease. */
    [[nodiscard]] std::optional<TimePoint> nextEvent(TimePoint now) const;
    /** Loses all runs and state, and gets a new WorkerLife. */
    void restart(TimePoint now);

    [[nodiscard]] const WorkerEntry &entry() const;
    void setStanding(WorkerStanding standing);
    /** Announces that the worker leaves, after at least @p remaining. */
    void setDraining(Milliseconds remaining);
    /** Whether tasks neither fail nor hang because of the worker. */
    [[nodiscard]] bool isSound() const;
    [[nodiscard]] std::size_t runningCount() const;
    [[nodiscard]] bool runs(const TaskRef &task) const;

    /** Runs that wait for the other members of their gangs, with the size of the gang. */
    [[nodiscard]] std::map<RunRef, std::size_t> waitingGangMembers() const;
    /** Starts the work of the gang's runs here, once all members run. */
    void startGang(const GangRef &gang, TimePoint now);
    /** Ends the gang's runs here after a member has ended. */
    void endGang(const GangRef &gang, ReportedEnd how, TimePoint now);

    // Faults.

    void setFailing(bool isFailing);
    void setHanging(bool isHanging, TimePoint now);
    /** Multiplies the run time of tasks started from now on by @p factor. */
    void setSlowdownFactor(double factor);

private:
    struct Run
    {
        TaskBehaviour behaviour;
        TimePoint endsAt {};
        /** When a stop takes effect; nullopt when none is pending. */
        std::optional<TimePoint> stopsAt;
        TimePoint startedAt {};
        std::uint32_t pace = 100;
        /** Whether all members of its gang run. */
        bool isGangComplete = false;
        /** Whether it was started while setFailing() was on. */
        bool willFail = false;
    };

    WorkerResult look(const PollOrder &order, TimePoint now);
    WorkerResult start(const StartOrder &order, TimePoint now);
    WorkerResult stop(const StopOrder &order, TimePoint now);
    WorkerResult pace(const PaceOrder &order, TimePoint now);
    [[nodiscard]] bool fails(const RunRef &ref, const Run &run) const;
    void extendLease(WorkerTime until, TimePoint now);
    void end(const RunRef &run, ReportedEnd how, TimePoint now);
    [[nodiscard]] WorkerTime clock(TimePoint now) const;
    [[nodiscard]] WorkerAnswer answer(TimePoint now) const;
    [[nodiscard]] WorkerResult refuse(WorkerFailure failure, TimePoint now) const;

    WorkerEntry m_entry;
    RunEventHandler m_onRunEvent;
    TimePoint m_startedAt;
    Milliseconds m_clockOffset;
    std::size_t m_listedEnds;
    WriterToken m_token;
    std::optional<TimePoint> m_leaseEnd;
    std::map<RunRef, Run> m_runs;
    std::vector<EndedRow> m_ends;
    /** Last end before the most recent expiry of the lease. */
    EndNumber m_lapsedEnds;
    EndNumber m_lastEnd;
    /** Highest run number of each task that was stopped or has ended here; starts up to it are refused. */
    std::map<TaskRef, RunNumber> m_latestEnded;
    bool m_isFailing = false;
    bool m_isHanging = false;
    double m_slowdownFactor = 1;
};

} // namespace currantring
