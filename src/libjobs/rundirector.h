#pragma once

#include "fillerpacer.h"
#include "joblog.h"
#include "knowledgestore.h"
#include "neighbourmodel.h"
#include "queueregistry.h"
#include "runplacer.h"
#include "runstarter.h"
#include "runwatch.h"
#include "siteconfiguration.h"
#include "workerfleet.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace currantring {

/**
 * Brings the tasks of a shard's jobs to workers and takes note of their ends.
 *
 * A start is ordered only once its placement is on record, and a task is placed again only once its last run is surely
 * over. Thread safety: one thread at a time.
 */
class RunDirector
{
public:
    struct Options
    {
        StoreLayout layout;
        WriterToken token;
        WorkerTiming timing;
        /** Until then a former writer may have extended leases. */
        TimePoint inheritedUntil {};
        /** How long the writer may extend leases after it was last confirmed. */
        Milliseconds confirmationTerm {};
    };
    struct Handlers
    {
        /** The configuration in force; null while there is none. */
        std::function<std::shared_ptr<const SiteConfiguration>()> configuration;
        std::function<void()> onFenced;
    };

    /** Precondition: @p log and @p context outlive the object; the log is loaded. */
    RunDirector(Options options, SiteFormats formats, JobLog &log, JobContext &context, Handlers handlers);

    /** Takes over what the log says, and begins to look at the workers. */
    void begin();
    /** Lets the tasks of a job that was just accepted start. */
    void openJob(const JobId &job);
    /** Stops what runs of a closed job. */
    void closeJob(const JobId &job);
    /** The configuration has changed. */
    void reconsider();
    /** Whether the end of the job is decided and not on record yet. */
    [[nodiscard]] bool isClosing(const JobId &job) const;
    [[nodiscard]] const WorkerFleet &fleet() const;

private:
    WorkerLink::Handlers linkHandlers(const WorkerId &worker);
    RunWatch::Sources watchSources();
    void inheritRuns(const Job &job);
    void openStep(const Job &job, std::uint32_t occurrence, std::uint32_t step);
    void openTask(const Job &job, const TaskRef &task);
    void openLaterSteps(const Job &job, const StepRef &done);
    void beginOccurrences(const JobId &job);
    void takeEnd(const WorkerId &worker, const LiveRun &run, ListedEnd end, const CheckpointId &checkpoint);
    void takeLoss(const WorkerId &worker, const LiveRun &run, std::string_view reason);
    void takeRefusal(const WorkerId &worker, const LiveRun &run, WorkerFailure failure);
    void noteHealth(const WorkerId &worker, const LiveRun &run, ListedEnd end);
    void recordEnd(const LiveRun &run, RunEnd end, const CheckpointId &checkpoint);
    void stopOthers(const Job &job, const LiveRun &ended, RunEnd end);
    void continueJob(const TaskRef &task);
    void finishLook(const WorkerId &worker);
    void takeReachability(const WorkerId &worker);
    void paceFillers(WorkerLink &link);
    void moveRuns(WorkerLink &link);
    void copyRun(const LiveRun &run, std::string_view reason);
    void sweep();
    [[nodiscard]] std::uint32_t awayBeside(const LiveRun &run);
    [[nodiscard]] bool isAtWork(const TaskRef &task, const Task &state);
    void stopRun(const RunRef &run, const WorkerId &worker);
    void observeClose(const JobId &id, JobPhase phase);
    void close(const JobId &job, JobPhase phase);
    [[nodiscard]] bool mayExtendLease() const;

    Options m_options;
    JobLog &m_log;
    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    QueueRegistry m_queues;
    WorkerFleet m_fleet;
    NeighbourModel m_neighbours;
    KnowledgeStore m_knowledge;
    WorkerHealth m_health;
    FillerPacer m_pacer;
    RunPlacer m_placer;
    RunStarter m_starter;
    RunWatch m_watch;
    std::set<JobId> m_closing;
    /** Whether ends were told in the look that is being taken in. */
    bool m_hasNewEnds = false;
};

} // namespace currantring
