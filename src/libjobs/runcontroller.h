#pragma once

#include "evacuationlist.h"
#include "evacuationreport.h"
#include "fillerpacer.h"
#include "joblog.h"
#include "knowledgestore.h"
#include "leaseauthority.h"
#include "loadadmission.h"
#include "neighbourmodel.h"
#include "queueregistry.h"
#include "runmonitor.h"
#include "runplacer.h"
#include "runstarter.h"
#include "siteconfiguration.h"
#include "stepavailability.h"
#include "workerfleet.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace currantring {

/**
 * Places the tasks of a shard's jobs on workers and records how their runs end.
 *
 * A run is started only after its placement is committed to the log. A task is placed again only after its previous
 * run is known to have ended, except where copies are allowed. Thread safety: one thread at a time.
 */
class RunController
{
public:
    struct Options
    {
        StoreLayout layout;
        WriterToken token;
        /** A time at which the claim was in force. */
        TimePoint provenAt {};
        WorkerTiming timing;
        /** Leases that earlier writers may have granted. */
        InheritedLeases inherited;
        /** What this writer's claim says of the leases that it grants. */
        LeaseTerms terms;
        /** By how much a task's run time grows on another rack than its own; nullopt: waits for racks are fixed. */
        std::optional<double> farFactor;
    };
    struct Handlers
    {
        /** Returns the active configuration, or null if there is none. */
        std::function<std::shared_ptr<const SiteConfiguration>()> configuration;
        /** When this writer sent the last heartbeat that all hosts have heard; nullopt when it hears no host. */
        std::function<std::optional<TimePoint>()> heardByAll;
        std::function<void()> onFenced;
    };

    /** Precondition: @p log and @p context outlive the object; the log is loaded. */
    RunController(Options options, SiteFormats formats, JobLog &log, JobContext &context, Handlers handlers);

    /** Restores the state from the log and starts polling the workers. */
    void begin();
    /** Whether a submitted job may be accepted under the present load. The job must be new. */
    LoadDecision admissionOf(const std::shared_ptr<const JobSpec> &spec);
    /** Makes the tasks of a newly accepted job eligible for placement. */
    void openJob(const JobId &job);
    /** Stops the remaining runs of a closed job. */
    void closeJob(const JobId &job);
    /** Applies a changed configuration. */
    void reconsider();
    /** Lowers the bounds on the leases that earlier writers may have granted. */
    void limitInherited(TimePoint until);
    /** Whether all other hosts hear this writer, so that it may extend leases for longer without the store. */
    [[nodiscard]] bool isSupported() const;
    /** Whether the job is being closed and the record of that isn't committed yet. */
    [[nodiscard]] bool isClosing(const JobId &job) const;
    [[nodiscard]] const WorkerFleet &fleet() const;
    /** Number of steps and tasks that something is kept for beside the log; 0 when all jobs are closed. */
    [[nodiscard]] std::size_t trackedWork() const;

private:
    WorkerLink::Handlers linkHandlers(const WorkerId &worker);
    RunMonitor::Sources monitorSources();
    EvacuationList::Handlers evacuationHandlers();
    void inheritRuns(const Job &job);
    void openStep(const Job &job, std::uint32_t occurrence, std::uint32_t step);
    void openTask(const Job &job, const TaskRef &task);
    void openSuccessorSteps(const Job &job, const StepRef &done);
    void startDueOccurrences(const JobId &job);
    [[nodiscard]] std::optional<Milliseconds> timeUntilNextOccurrence(const Job &job) const;
    void beginOccurrence(const Job &job);
    void handleRunStart(const LiveRun &run);
    void handleRunEnd(const WorkerId &worker, const LiveRun &run, ReportedEnd end, const CheckpointId &checkpoint);
    void handleRunLoss(const WorkerId &worker, const LiveRun &run, std::string_view reason);
    void handleRefusal(const WorkerId &worker, const LiveRun &run, WorkerFailure failure);
    void recordDone(const LiveRun &run);
    void updateHealth(const WorkerId &worker, const LiveRun &run, ReportedEnd end);
    void recordEnd(const LiveRun &run, RunEnd end, const CheckpointId &checkpoint);
    void forgetIfSettled(const TaskRef &task);
    void stopOthers(const Job &job, const LiveRun &ended, RunEnd end);
    void continueJob(const TaskRef &task);
    void finishReport(const WorkerId &worker, const std::optional<EndCursor> &newEnds);
    void handleReachability(const WorkerId &worker);
    void paceFillers(WorkerLink &link);
    void moveRuns(WorkerLink &link);
    void copyRun(const LiveRun &run, std::string_view reason);
    void sweep();
    void stopRun(const RunRef &run, const WorkerId &worker);
    void observeClose(const JobId &id, JobPhase phase);
    void close(const JobId &job, JobPhase phase);
    LeaseAuthority::Sources authoritySources();

    Options m_options;
    JobLog &m_log;
    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    LeaseAuthority m_authority;
    QueueRegistry m_queues;
    EvacuationList m_evacuations;
    WorkerFleet m_fleet;
    EvacuationReport m_evacuationReport;
    StepAvailability m_availability;
    NeighbourModel m_neighbours;
    KnowledgeStore m_knowledge;
    WorkerHealth m_health;
    InterferenceTable m_interference;
    FillerPacer m_pacer;
    RunPlacer m_placer;
    LoadAdmission m_loadAdmission;
    RunStarter m_starter;
    RunMonitor m_monitor;
    std::set<JobId> m_closing;
};

} // namespace currantring
