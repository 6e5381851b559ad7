#pragma once

#include "callercall.h"
#include "siteconfiguration.h"
#include "virtualworker.h"
#include "writerclaim.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace currantring {

/**
 * Compares the runs on the virtual workers with the answers that callers get, and records violated invariants.
 *
 * Thread safety: one thread at a time.
 */
class InvariantChecker
{
public:
    /** Tolerances of the checks. */
    struct Bounds
    {
        Milliseconds cancelDelay { 3000 };
        Milliseconds acknowledgementDelay { 1000 };
        Milliseconds earlyStart { 250 };
        /** Age at which an accepted job without a start has to be counted as waiting. */
        Milliseconds countedAge { 5000 };
        /** A count may be this old. */
        Milliseconds countAge { 2000 };
        /** Time after its last run, or its job's acceptance, from which a lasting task has to run. */
        Milliseconds restartDelay { 6000 };
        /** Time for which a lasting task may then not run although there is room for it. */
        Milliseconds idleTime { 3000 };
        /** Time without a disturbance from which lasting tasks are checked. */
        Milliseconds calmTime { 4000 };
        /** A host in touch with the store uses a configuration after this time. */
        Milliseconds configurationDelay { 3000 };
        /** A worker of an evacuated data centre may receive start orders for this time. */
        Milliseconds evacuationDelay { 5000 };
        /** The same, counted from the end of an outage of the store. */
        Milliseconds evacuationDelayAfterOutage { 4000 };
        /** A host is in touch when it was undisturbed for this time. */
        Milliseconds contactTime { 3000 };
    };

    /** Successive processes of a host have different numbers. */
    using ProcessRef = std::pair<HostId, std::uint64_t>;

    /** The store acknowledged @p configuration at @p at. */
    void noteConfiguration(const SiteConfiguration &configuration, TimePoint at);
    /**
     * Checks the version by which a process handles a call sent at @p sentAt; version 0 stands for none.
     * @p undisturbedSince is nullopt for a process that is disturbed.
     */
    void noteVersionUse(const ProcessRef &process, ConfigurationVersion version, TimePoint sentAt,
                        std::optional<TimePoint> undisturbedSince);
    void noteWorker(const WorkerEntry &entry);
    /** The store acknowledged that a data centre is evacuated, or no longer is. */
    void noteEvacuation(const DataCentreId &dataCentre, bool isEvacuated, TimePoint at);
    /** The store is out or slow until @p until. */
    void noteStoreOutage(TimePoint until);
    /** Checks a start order that arrives at a worker, whether or not the worker carries it out. */
    void noteStartOrder(const WorkerId &worker, TimePoint at);
    /** When the latest start order arrived at a worker of the data centre. */
    [[nodiscard]] std::optional<TimePoint> lastStartOrderIn(const DataCentreId &dataCentre) const;
    /** Sets the wall-clock time at which the virtual clock is 0. */
    void noteWallStart(WallTime start);
    /** Widens the tolerance of early starts by the largest jump of a host's wall clock. */
    void noteClockSteps(Milliseconds most);
    /** The claim of a writer takes effect at @p at. */
    void noteClaim(const WriterClaim &claim, TimePoint at);
    /**
     * Checks that an order of the writer with @p token extends the lease of a worker no longer than the writer's
     * successor waits for.
     */
    void noteLease(const WorkerId &worker, WriterToken token, TimePoint until, TimePoint at);
    /** Checks a start, end or acknowledgement that took place on a worker. */
    void noteFact(const WorkerRunEvent &fact);
    void noteSubmission(const std::shared_ptr<const JobSpec> &spec);
    void noteCancelSent(const JobId &job, TimePoint at);
    void noteAnswer(const CallerCall &call, const CallAnswer &answer, TimePoint sentAt, TimePoint at);
    /** The store refused a commit for its size; it would refuse it each time, so that the writer is stuck. */
    void noteCommitBeyondLimits(TimePoint at);
    /** Faults are injected or act between these times. */
    void noteDisturbance(TimePoint from, TimePoint until);
    /**
     * Records a violation for each lasting task of an accepted job without a cancellation that hasn't run for too long
     * in calm time, while one of @p sound had room for it twice over. Call it at short intervals.
     */
    void checkLasting(TimePoint now, const std::vector<WorkerId> &sound);
    /** Time from which all lasting tasks have been checked after the last disturbance, if checkLasting() was called. */
    [[nodiscard]] TimePoint lastingCheckedAt() const;
    /** Whether there is a lasting task that has to run. */
    [[nodiscard]] bool hasLastingTasks() const;
    /**
     * Records a violation for each accepted job without a cancellation that isn't shown in its expected final phase,
     * and for each refused job of which a task started. Jobs with lasting steps are skipped.
     */
    void checkAllCompleted(const std::map<JobId, JobPhase> &shown);

    [[nodiscard]] bool isAccepted(const JobId &job) const;
    /** Whether a task of the job has started on a worker. */
    [[nodiscard]] bool hasBegun(const JobId &job) const;
    [[nodiscard]] const std::vector<std::string> &violations() const;
    [[nodiscard]] std::size_t starts() const;
    /** Number of runs of one task that were started. */
    [[nodiscard]] std::uint32_t startsOf(const TaskRef &task) const;
    /** Number of gang members that ended because the rest of the gang didn't start in time. */
    [[nodiscard]] std::size_t incompleteGangMembers() const;

private:
    struct TaskRecord
    {
        std::uint32_t starts = 0;
        std::uint32_t failed = 0;
        std::uint32_t acknowledgedFailures = 0;
        bool isDone = false;
        /** Runs that succeeded, and whether another run of the task started afterwards. */
        std::map<RunRef, bool> doneRuns;
        std::optional<TimePoint> doneAcknowledgedAt;
        std::map<RunRef, WorkerId> running;
        TimePoint lastEndAt {};
        /** Since when the task has been a lasting one that doesn't run although there is room, in calm time. */
        std::optional<TimePoint> idleSince;
        bool wasIdleTooLong = false;
    };
    /** A writer and the leases that it has granted. */
    struct WriterRecord
    {
        WorkerId latestOn;
        TimePoint latestLease {};
        /** How long its successor waits for these leases; nullopt while there is no successor. */
        std::optional<TimePoint> waitedForUntil;
    };
    struct JobRecord
    {
        std::shared_ptr<const JobSpec> spec;
        std::optional<TimePoint> acceptedAt;
        bool mayHaveBeenAccepted = false;
        std::optional<TimePoint> cancelSentAt;
        std::optional<TimePoint> cancelledAt;
        /** Start of the first task on a worker. */
        std::optional<TimePoint> begunAt;
        bool wasShownCompleted = false;
    };

    void checkLeases(WriterToken token, const WriterRecord &writer, TimePoint at);
    void checkStart(const WorkerRunEvent &fact);
    void checkPlacement(const WorkerRunEvent &fact, const StepSpec &step, const JobSpec &job);
    void checkCapacity(const WorkerRunEvent &fact);
    /** The resources that the runs on a worker use; fillers use no processors of their own. */
    [[nodiscard]] Resources usedOn(const WorkerId &worker) const;
    [[nodiscard]] std::uint32_t runsOfStep(const StepRef &step, const WorkerId &worker) const;
    void checkDependencies(const WorkerRunEvent &fact, const StepSpec &step);
    void checkSchedule(const WorkerRunEvent &fact, const JobSpec &spec);
    void checkCompleted(const JobSpec &spec, TimePoint at);
    /** Compares a count of waiting jobs with the jobs of which no task has started on a worker. */
    void checkCount(const QueueName &queue, std::uint64_t waiting, TimePoint sentAt, TimePoint at);
    void checkLastingTask(const TaskRef &ref, const JobRecord &job, bool isCalm, TimePoint now,
                          const std::vector<WorkerId> &sound);
    [[nodiscard]] bool isOpen(const StepRef &step, const StepSpec &spec);
    [[nodiscard]] bool hasRoomTwice(const StepRef &step, const JobSpec &job, const std::vector<WorkerId> &sound) const;
    [[nodiscard]] bool isCalm(TimePoint now) const;
    [[nodiscard]] static bool mustLast(const JobRecord &job);
    [[nodiscard]] std::uint32_t failuresOf(const TaskRef &task, const StepSpec &step);
    void recordViolation(const std::string &rule, TimePoint at, const std::string &what);
    [[nodiscard]] std::uint32_t attemptLimit(const JobSpec &spec) const;

    Bounds m_bounds;
    SiteConfiguration m_configuration;
    /** When the store acknowledged each version. */
    std::map<ConfigurationVersion, TimePoint> m_versions;
    std::map<ProcessRef, ConfigurationVersion> m_usedVersions;
    std::map<WorkerId, WorkerEntry> m_workers;
    /** Since when data centres are evacuated. */
    std::map<DataCentreId, TimePoint> m_evacuations;
    std::map<DataCentreId, TimePoint> m_lastStartOrders;
    std::optional<TimePoint> m_storeOutageEnd;
    std::map<WriterToken, WriterRecord> m_writers;
    std::map<JobId, JobRecord> m_jobs;
    std::map<TaskRef, TaskRecord> m_tasks;
    std::size_t m_starts = 0;
    std::size_t m_membersLeftAlone = 0;
    WallTime m_wallStart;
    std::vector<std::pair<TimePoint, TimePoint>> m_disturbances;
    std::vector<std::string> m_violations;
};

} // namespace currantring
