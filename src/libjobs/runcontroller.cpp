#include "runcontroller.h"

#include "jobevents.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds sweepInterval { 500 };
/** Due occurrences of a job begin only while fewer of its tasks wait for a worker, which bounds the work of a pass. */
constexpr std::size_t maxWaitingTasks = 250;
/** Interval at which more occurrences begin when so many wait. */
constexpr Milliseconds refillInterval { 100 };
/** Limit on concurrent runs of one task, where copies are allowed. */
constexpr std::size_t maxRunsPerTask = 2;

RunEnd toRunEnd(ReportedEnd end)
{
    switch (end) {
    case ReportedEnd::Done:
        return RunEnd::Done;
    case ReportedEnd::Failed:
        return RunEnd::Failed;
    case ReportedEnd::Stopped:
        return RunEnd::Stopped;
    case ReportedEnd::LeaseExpired:
        return RunEnd::LeaseExpired;
    case ReportedEnd::GangBroken:
        return RunEnd::GangEnded;
    case ReportedEnd::GangIncomplete:
        break;
    }
    return RunEnd::GangIncomplete;
}

} // namespace

RunController::RunController(Options options, SiteFormats formats, JobLog &log, JobContext &context, Handlers handlers)
    : m_options(std::move(options))
    , m_log(log)
    , m_context(context)
    , m_handlers(std::move(handlers))
    , m_authority(m_options.terms, authoritySources())
    , m_evacuations(formats.evacuationPrefix, formats.evacuationBound, context, evacuationHandlers())
    , m_fleet(m_options.token, m_options.timing, m_options.inherited, std::move(formats), m_evacuations, context,
              { [this](WorkerLink & /*link*/) { m_starter.requestPass(); }, [this] { m_starter.requestPass(); },
                [this](WorkerLink & /*link*/) { m_starter.requestPass(); },
                [this](const WorkerId &worker) {
                    return linkHandlers(worker);
                } })
    , m_evacuationReport(m_evacuations, m_fleet, context)
    , m_availability(m_log, m_fleet)
    , m_knowledge(m_options.layout, m_options.token, context, m_neighbours)
    , m_interference(m_neighbours)
    , m_pacer(m_neighbours)
    , m_placer(m_fleet, m_interference, m_health)
    , m_loadAdmission(context.now())
    , m_starter({ m_log, m_context, m_authority, m_fleet, m_evacuations, m_placer, m_health, m_queues, m_loadAdmission,
                  m_options.farFactor },
                [this](const WorkerId &worker, const LiveRun &run, std::string_view reason) {
                    handleRunLoss(worker, run, reason);
                })
    , m_monitor(m_neighbours, m_placer, m_health, monitorSources())
{
}

WorkerLink::Handlers RunController::linkHandlers(const WorkerId &worker)
{
    WorkerLink::Handlers handlers;
    handlers.onEnded = [this, worker](const LiveRun &run, ReportedEnd end, const CheckpointId &checkpoint) {
        handleRunEnd(worker, run, end, checkpoint);
    };
    handlers.onLost = [this, worker](const LiveRun &run, std::string_view reason) {
        handleRunLoss(worker, run, reason);
    };
    handlers.onStarted = [this](const LiveRun &run) {
        handleRunStart(run);
    };
    handlers.onUnsettled = [this](const LiveRun &run) {
        copyRun(run, "start-unsettled");
    };
    handlers.onRefused = [this, worker](const LiveRun &run, WorkerFailure failure) {
        handleRefusal(worker, run, failure);
    };
    handlers.onPolled = [this, worker](const std::optional<EndCursor> &newEnds) {
        finishReport(worker, newEnds);
    };
    handlers.onReachability = [this, worker] {
        handleReachability(worker);
    };
    handlers.onFenced = [this, worker] {
        m_context.log(LogLevel::Warning, events::fenceMet,
                      { { "worker", worker.value() }, { "token", std::to_string(m_options.token.value()) } });
        m_handlers.onFenced();
    };
    handlers.describeRun = [this](const TaskRef &task) -> std::shared_ptr<const StepSpec> {
        const Job *const job = m_log.table().find(task.step.job);
        const bool isKnown = job != nullptr && task.step.step < job->spec->steps.size();
        return isKnown ? job->step(task.step.step) : nullptr;
    };
    handlers.isEvacuated = [this, worker] {
        const WorkerLink *const link = m_fleet.find(worker);
        return link != nullptr && m_evacuations.isEvacuated(link->entry().dataCentre);
    };
    handlers.grantLease = [this] {
        return m_authority.grantLease();
    };
    return handlers;
}

EvacuationList::Handlers RunController::evacuationHandlers()
{
    return { [this](const DataCentreId & /*dataCentre*/) {
                m_evacuationReport.update();
                m_starter.requestPass();
            },
             [this] {
                 m_starter.requestPass();
             } };
}

RunMonitor::Sources RunController::monitorSources()
{
    return { [this](const LiveRun &run) { return m_starter.requestFor(run.ref.task, *run.step, run.queue); },
             [this](const LiveRun &run) { return m_availability.unavailableSiblings(run); },
             [this](const LiveRun &run, TimePoint time) {
                 return m_availability.siblingsLeavingBefore(run, time);
             } };
}

LeaseAuthority::Sources RunController::authoritySources()
{
    return { [this] { return m_context.now(); }, [this] { return m_log.provenAt(); },
             [this] {
                 return m_handlers.heardByAll();
             } };
}

bool RunController::isSupported() const
{
    return m_authority.isSupported();
}

void RunController::begin()
{
    reconsider();
    for (const auto &[id, job] : m_log.table().jobs()) {
        inheritRuns(job);
        if (job.isClosed()) {
            closeJob(id);
        } else {
            openJob(id);
        }
    }
    m_knowledge.start();
    m_evacuations.start();
    m_fleet.start();
    sweep();
}

void RunController::inheritRuns(const Job &job)
{
    for (const RunRef &ref : job.liveRuns()) {
        const PlacedRun *const placed = job.task(ref.task).run(ref.number);
        LiveRun run;
        run.ref = ref;
        run.step = job.step(ref.task.step.step);
        run.queue = job.spec->queue;
        m_fleet.expect(placed->worker, placed->life).inherit(std::move(run));
    }
}

LoadDecision RunController::admissionOf(const std::shared_ptr<const JobSpec> &spec)
{
    const QueueEntry *const queue = m_queues.find(spec->queue);
    if (queue == nullptr) {
        return {};
    }
    const TimePoint now = m_context.now();
    LoadDecision decision;
    if (m_loadAdmission.mayRefuse(*spec, now)) {
        Job job(spec, m_context.wallNow());
        job.beginOccurrence();
        decision = m_loadAdmission.decide(*spec, *queue, urgencyOf(job, 0, *queue, m_context.wallNow()), now);
    }
    if (decision.isAccepted) {
        m_loadAdmission.recordAccepted(*spec, *queue, now);
    }
    return decision;
}

void RunController::openJob(const JobId &id)
{
    const Job *const job = m_log.table().find(id);
    if (job == nullptr || job->isClosed()) {
        return;
    }
    for (std::uint32_t occurrence = job->firstKept; occurrence < job->occurrences.size(); ++occurrence) {
        for (std::uint32_t step = 0; step < job->spec->steps.size(); ++step) {
            openStep(*job, occurrence, step);
        }
    }
    if (job->spec->schedule) {
        startDueOccurrences(id);
    }
}

/** Starts occurrences that are due, as many as may wait, and schedules a check for the next one. */
void RunController::startDueOccurrences(const JobId &id)
{
    const Job *const job = m_log.table().find(id);
    if (job == nullptr || job->isClosed()) {
        return;
    }
    m_log.table().compactOccurrences(id);
    const std::size_t first = job->occurrences.size();
    std::optional<Milliseconds> untilNext = timeUntilNextOccurrence(*job);
    const Milliseconds untilFirst = untilNext.value_or(Milliseconds(0));
    std::size_t waiting = m_starter.waitingTasks(id);
    while (untilNext && untilNext->count() <= 0 && waiting < maxWaitingTasks) {
        beginOccurrence(*job);
        waiting = m_starter.waitingTasks(id);
        untilNext = timeUntilNextOccurrence(*job);
    }
    if (job->occurrences.size() > first) {
        m_context.log(LogLevel::Info, events::occurrenceDue,
                      { { "job", id.value() },
                        { "occurrence", std::to_string(first) },
                        { "count", std::to_string(job->occurrences.size() - first) },
                        { "late_ms", std::to_string(-untilFirst.count()) } });
    }
    if (untilNext) {
        // Checks again at short intervals, as the wall clock may be adjusted in the meantime.
        const Milliseconds delay = untilNext->count() > 0 ? std::min(*untilNext, sweepInterval) : refillInterval;
        m_context.schedule(delay, m_lifetime.guard([this, id] { startDueOccurrences(id); }));
    }
}

/** Nullopt when all occurrences have begun; not positive when the next one is due. */
std::optional<Milliseconds> RunController::timeUntilNextOccurrence(const Job &job) const
{
    if (job.occurrences.size() >= job.spec->occurrences()) {
        return std::nullopt;
    }
    const JobSchedule &schedule = *job.spec->schedule;
    const auto number = static_cast<std::int64_t>(job.occurrences.size());
    return Milliseconds(schedule.first.value() + schedule.interval.count() * number - m_context.wallNow().value());
}

void RunController::beginOccurrence(const Job &job)
{
    const auto number = static_cast<std::uint32_t>(job.occurrences.size());
    m_log.table().beginOccurrence(job.spec->id);
    for (std::uint32_t step = 0; step < job.spec->steps.size(); ++step) {
        openStep(job, number, step);
    }
}

void RunController::openStep(const Job &job, std::uint32_t occurrence, std::uint32_t step)
{
    if (!job.isStepOpen(occurrence, step)) {
        return;
    }
    for (std::uint32_t index = 0; index < job.spec->steps.at(step).count; ++index) {
        openTask(job, { { job.spec->id, occurrence, step }, index });
    }
}

void RunController::openTask(const Job &job, const TaskRef &ref)
{
    const Task &task = job.task(ref);
    if (!task.isDone && task.runs.empty()) {
        m_starter.open(ref, job);
    }
}

void RunController::closeJob(const JobId &id)
{
    m_starter.forgetJob(id);
    m_monitor.forgetJob(id);
    m_health.forgetJob(id);
    const Job *const job = m_log.table().find(id);
    if (job == nullptr) {
        return;
    }
    for (const RunRef &run : job->liveRuns()) {
        stopRun(run, job->task(run.task).run(run.number)->worker);
    }
}

void RunController::stopRun(const RunRef &run, const WorkerId &worker)
{
    if (WorkerLink *const link = m_fleet.find(worker)) {
        link->stop(run);
    }
}

void RunController::reconsider()
{
    if (const auto configuration = m_handlers.configuration()) {
        m_queues.take(*configuration);
    }
    m_starter.requestPass();
}

void RunController::handleRunStart(const LiveRun &run)
{
    m_context.observe("start_ms", run.queue, "run", m_context.now() - run.placedAt);
    const JobId &id = run.ref.task.step.job;
    if (m_log.append(JobBegun { id }, RecordUrgency::Relaxed)) {
        const Milliseconds waited(m_context.wallNow().value() - m_log.table().find(id)->acceptedAt.value());
        m_context.log(LogLevel::Info, events::jobBegun,
                      { { "job", id.value() }, { "after_ms", std::to_string(waited.count()) } });
    }
}

void RunController::handleRunEnd(const WorkerId &worker, const LiveRun &run, ReportedEnd end,
                                 const CheckpointId &checkpoint)
{
    m_context.count("runs_ended", runEndName(toRunEnd(end)));
    m_context.log(LogLevel::Info, events::runEnded,
                  { { "task", describe(run.ref.task) },
                    { "run", std::to_string(run.ref.number.value()) },
                    { "worker", worker.value() },
                    { "how", std::string(runEndName(toRunEnd(end))) },
                    { "after_ms", std::to_string((m_context.now() - run.placedAt).count()) } });
    updateHealth(worker, run, end);
    m_neighbours.recordFillerEnd(*m_fleet.find(worker), run, m_context.now());
    m_starter.noteEnd(*m_fleet.find(worker), run);
    recordEnd(run, toRunEnd(end), checkpoint);
}

void RunController::recordDone(const LiveRun &run)
{
    const QueueEntry *const queue = m_queues.find(run.queue);
    if (run.step && queue != nullptr) {
        const TimePoint now = m_context.now();
        m_loadAdmission.recordDone({ queue->service, run.isFiller() }, run.queue, *run.step, now - run.placedAt, now);
    }
}

void RunController::updateHealth(const WorkerId &worker, const LiveRun &run, ReportedEnd end)
{
    const TaskRef &task = run.ref.task;
    if (end == ReportedEnd::Done) {
        m_health.noteSuccess(worker);
        m_monitor.recordCompletion(run, m_context.now());
        recordDone(run);
    } else if (end == ReportedEnd::Failed && m_health.noteFailure(worker, task, m_context.now())) {
        m_context.log(LogLevel::Warning, events::workerQuarantined,
                      { { "worker", worker.value() }, { "task", describe(task) } });
    }
}

void RunController::handleRunLoss(const WorkerId &worker, const LiveRun &run, std::string_view reason)
{
    m_context.log(LogLevel::Info, events::runLost,
                  { { "task", describe(run.ref.task) },
                    { "run", std::to_string(run.ref.number.value()) },
                    { "worker", worker.value() },
                    { "reason", std::string(reason) },
                    { "after_ms", std::to_string((m_context.now() - run.placedAt).count()) } });
    m_context.count("runs_lost", reason);
    if (reason == "evacuated") {
        m_context.count("starts_evacuated");
    }
    recordEnd(run, RunEnd::Lost, run.checkpoint);
}

void RunController::handleRefusal(const WorkerId &worker, const LiveRun &run, WorkerFailure failure)
{
    m_context.log(LogLevel::Info, events::runRefused,
                  { { "task", describe(run.ref.task) },
                    { "run", std::to_string(run.ref.number.value()) },
                    { "worker", worker.value() },
                    { "reason", std::string(workerFailureName(failure)) } });
    if (failure == WorkerFailure::NoAdmission) {
        m_starter.dropTicket(run.ref, worker);
    } else if (failure == WorkerFailure::Unhealthy) {
        m_health.noteFailure(worker, run.ref.task, m_context.now());
    }
    handleRunLoss(worker, run, workerFailureName(failure));
}

void RunController::recordEnd(const LiveRun &run, RunEnd end, const CheckpointId &checkpoint)
{
    if (m_log.append(RunEnded { run.ref, end, checkpoint }, RecordUrgency::Urgent)) {
        stopOthers(*m_log.table().find(run.ref.task.step.job), run, end);
        continueJob(run.ref.task);
    }
    forgetIfSettled(run.ref.task);
    m_starter.requestPass();
}

/** Drops what is kept for a task, and for its step, once they are done or their job is closed, also by a late end. */
void RunController::forgetIfSettled(const TaskRef &task)
{
    const Job *const job = m_log.table().find(task.step.job);
    const bool isJobOpen = job != nullptr && !job->isClosed();
    if (!m_log.table().task(task).isDone && isJobOpen) {
        return;
    }
    m_health.forget(task);
    m_starter.withdraw(task);
    if (!isJobOpen || job->isStepDone(task.step.occurrence, task.step.step)) {
        m_monitor.forgetStep(task.step);
        m_starter.forgetStep(task.step);
    }
}

/** Stops the other runs of a completed task, and all members of a gang after one ended without completing. */
void RunController::stopOthers(const Job &job, const LiveRun &ended, RunEnd end)
{
    const TaskRef &ref = ended.ref.task;
    if (job.isClosed()) {
        return;
    }
    if (job.task(ref).isDone) {
        for (const PlacedRun &run : std::vector<PlacedRun>(job.task(ref).runs)) {
            stopRun({ ref, run.number }, run.worker);
        }
    }
    if (!ended.step || !ended.step->isGang || end == RunEnd::Done) {
        return;
    }
    for (std::uint32_t index = 0; index < ended.step->count; ++index) {
        const TaskRef member { ref.step, index };
        for (const PlacedRun &run : std::vector<PlacedRun>(job.task(member).runs)) {
            stopRun({ member, run.number }, run.worker);
        }
    }
}

void RunController::continueJob(const TaskRef &ref)
{
    const Job *const job = m_log.table().find(ref.step.job);
    if (job->isClosed()) {
        return;
    }
    const bool isDone = job->task(ref).isDone;
    const QueueEntry *const queue = m_queues.find(job->spec->queue);
    const bool isLasting = job->spec->steps.at(ref.step.step).isLasting;
    if (!isLasting && queue != nullptr && !isDone && job->failuresOf(ref) >= queue->attemptLimit) {
        close(ref.step.job, JobPhase::Failed);
        return;
    }
    if (!isDone) {
        openTask(*job, ref);
    } else if (job->areAllTasksDone()) {
        close(ref.step.job, JobPhase::Completed);
    } else if (job->isStepDone(ref.step.occurrence, ref.step.step)) {
        openSuccessorSteps(*job, ref.step);
    }
}

void RunController::openSuccessorSteps(const Job &job, const StepRef &done)
{
    for (std::uint32_t successor = done.step + 1; successor < job.spec->steps.size(); ++successor) {
        const std::vector<std::uint32_t> &after = job.spec->steps.at(successor).after;
        if (std::ranges::find(after, done.step) != after.end()) {
            openStep(job, done.occurrence, successor);
        }
    }
}

void RunController::close(const JobId &job, JobPhase phase)
{
    m_closing.insert(job);
    m_log.append(JobClosed { job, phase, m_context.wallNow() }, RecordUrgency::Urgent,
                 m_lifetime.guard([this, job, phase] {
                     m_closing.erase(job);
                     observeClose(job, phase);
                     m_context.log(LogLevel::Info, events::jobClosed,
                                   { { "job", job.value() }, { "phase", std::string(jobPhaseName(phase)) } });
                 }));
    closeJob(job);
}

void RunController::observeClose(const JobId &id, JobPhase phase)
{
    if (const Job *const job = m_log.table().find(id)) {
        const Milliseconds age(m_context.wallNow().value() - job->acceptedAt.value());
        m_context.observe("job_ms", job->spec->queue, jobPhaseName(phase), age);
    }
}

void RunController::limitInherited(TimePoint until)
{
    m_fleet.limitInherited(until);
}

bool RunController::isClosing(const JobId &job) const
{
    return m_closing.contains(job);
}

void RunController::finishReport(const WorkerId &worker, const std::optional<EndCursor> &newEnds)
{
    WorkerLink &reported = *m_fleet.find(worker);
    m_neighbours.learn(reported, m_context.now());
    paceFillers(reported);
    moveRuns(reported);
    if (!newEnds) {
        return;
    }
    m_log.flush(m_lifetime.guard([this, worker, recorded = *newEnds] {
        if (WorkerLink *const link = m_fleet.find(worker)) {
            link->acknowledge(recorded);
        }
    }));
}

/** Tasks that allow copies are placed again without waiting for the unreachable worker's lease to expire. */
void RunController::handleReachability(const WorkerId &worker)
{
    if (const WorkerLink *const link = m_fleet.find(worker); link != nullptr && !link->isReachable()) {
        for (const auto &[ref, run] : link->runs()) {
            copyRun(run, "worker-silent");
        }
    }
    m_starter.requestPass();
}

void RunController::paceFillers(WorkerLink &link)
{
    for (const PaceChange &change : m_pacer.decide(link, m_context.now())) {
        m_context.log(LogLevel::Info, events::runPaced,
                      { { "task", describe(change.run.task) },
                        { "run", std::to_string(change.run.number.value()) },
                        { "worker", link.entry().id.value() },
                        { "percent", std::to_string(change.percent) } });
        link.pace(change.run, change.percent);
    }
}

/**
 * Copies or stops runs that should continue on another worker. A stopped run is placed again once its worker reports
 * its end.
 */
void RunController::moveRuns(WorkerLink &link)
{
    for (const RunMove &move : m_monitor.decide(link, m_context.now())) {
        const LiveRun &run = link.runs().at(move.run);
        if (run.step->mayRunCopies) {
            copyRun(run, move.reason);
            continue;
        }
        m_context.log(LogLevel::Info, events::runMoved,
                      { { "task", describe(move.run.task) },
                        { "run", std::to_string(move.run.number.value()) },
                        { "worker", link.entry().id.value() },
                        { "reason", std::string(move.reason) } });
        link.stop(move.run);
    }
}

void RunController::copyRun(const LiveRun &run, std::string_view reason)
{
    const Job *const job = m_log.table().find(run.ref.task.step.job);
    const Task &task = m_log.table().task(run.ref.task);
    if (job == nullptr || job->isClosed() || task.isDone || !run.step || !run.step->mayRunCopies
        || task.runs.size() >= maxRunsPerTask || m_starter.isOpen(run.ref.task)) {
        return;
    }
    m_context.log(LogLevel::Info, events::runCopied,
                  { { "task", describe(run.ref.task) }, { "reason", std::string(reason) } });
    m_starter.open(run.ref.task, *job);
}

void RunController::sweep()
{
    m_neighbours.expireLoads(m_context.now());
    m_interference.clear();
    m_evacuationReport.update();
    // Capacity for fillers changes with the load of serving tasks, which raises no event.
    m_starter.requestPass();
    m_context.schedule(sweepInterval, m_lifetime.guard([this] { sweep(); }));
}

const WorkerFleet &RunController::fleet() const
{
    return m_fleet;
}

std::size_t RunController::trackedWork() const
{
    std::size_t runs = 0;
    for (const auto &[worker, link] : m_fleet.links()) {
        runs += link->runs().size();
    }
    return runs + m_starter.trackedSteps() + m_monitor.trackedSteps() + m_health.trackedTasks() + m_closing.size();
}

} // namespace currantring
