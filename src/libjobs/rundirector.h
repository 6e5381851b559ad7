#pragma once

#include "fillerpacer.h"
#include "joblog.h"
#include "joburgency.h"
#include "neighbourmodel.h"
#include "readysteps.h"
#include "runplacer.h"
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
    void inheritRuns(const Job &job);
    void openStep(const Job &job, std::uint32_t occurrence, std::uint32_t step);
    void openTask(const Job &job, const TaskRef &task);
    void requestPass();
    void pass();
    void placeStep(const StepRef &step);
    bool placeTask(const TaskRef &ref, const ReadyStep &ready, const QueueEntry &queue);
    void startRun(const RunRef &run, const WorkerId &worker);
    void takeEnd(const WorkerId &worker, const LiveRun &run, ListedEnd end, const CheckpointId &checkpoint);
    void takeLoss(const WorkerId &worker, const LiveRun &run, std::string_view reason);
    void noteHealth(const WorkerId &worker, const TaskRef &task, ListedEnd end);
    void recordEnd(const LiveRun &run, RunEnd end, const CheckpointId &checkpoint);
    void continueJob(const TaskRef &task);
    void finishLook(const WorkerId &worker);
    void paceFillers(WorkerLink &link);
    void moveRuns(WorkerLink &link);
    [[nodiscard]] std::optional<PlacementWish> wishFor(const LiveRun &run) const;
    [[nodiscard]] std::uint32_t awayBeside(const LiveRun &run);
    void sweep();
    void close(const JobId &job, JobPhase phase);
    [[nodiscard]] const QueueEntry *queueOf(const QueueName &name) const;
    [[nodiscard]] bool mayExtendLease() const;

    Options m_options;
    JobLog &m_log;
    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    std::shared_ptr<const SiteConfiguration> m_configuration;
    /** The last known entry of each queue, also of one that the configuration has dropped. */
    std::map<QueueName, QueueEntry> m_queues;
    WorkerFleet m_fleet;
    NeighbourModel m_neighbours;
    WorkerHealth m_health;
    FillerPacer m_pacer;
    RunPlacer m_placer;
    RunWatch m_watch;
    ReadySteps m_ready;
    std::set<JobId> m_closing;
    bool m_passRequested = false;
    /** Whether ends were told in the look that is being taken in. */
    bool m_hasNewEnds = false;
};

} // namespace currantring
