#include "rundirector.h"

#include "jobevents.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds sweepInterval { 500 };

RunEnd toRunEnd(ListedEnd end)
{
    switch (end) {
    case ListedEnd::Done:
        return RunEnd::Done;
    case ListedEnd::Failed:
        return RunEnd::Failed;
    case ListedEnd::Stopped:
        return RunEnd::Stopped;
    case ListedEnd::Lapsed:
        return RunEnd::Lapsed;
    case ListedEnd::Broken:
        return RunEnd::Broken;
    case ListedEnd::Alone:
        break;
    }
    return RunEnd::Alone;
}

} // namespace

RunDirector::RunDirector(Options options, SiteFormats formats, JobLog &log, JobContext &context, Handlers handlers)
    : m_options(options)
    , m_log(log)
    , m_context(context)
    , m_handlers(std::move(handlers))
    , m_fleet(options.token, options.timing, options.inheritedUntil, std::move(formats), context,
              { [this](WorkerLink & /*link*/) { requestPass(); }, [this] { requestPass(); },
                [this](WorkerLink & /*link*/) { requestPass(); },
                [this](const WorkerId &worker) {
                    return linkHandlers(worker);
                } })
    , m_pacer(m_neighbours)
    , m_placer(m_fleet, m_neighbours, m_health)
    , m_watch(m_neighbours, m_placer, m_health,
              { [this](const LiveRun &run) { return wishFor(run); },
                [this](const LiveRun &run) {
                    return awayBeside(run);
                } })
{
}

WorkerLink::Handlers RunDirector::linkHandlers(const WorkerId &worker)
{
    return { [this, worker](const LiveRun &run, ListedEnd end, const CheckpointId &checkpoint) {
                takeEnd(worker, run, end, checkpoint);
            },
             [this, worker](const LiveRun &run, std::string_view reason) { takeLoss(worker, run, reason); },
             [](const LiveRun & /*run*/) {},
             [this, worker](const LiveRun &run, WorkerFailure failure) {
                 takeLoss(worker, run, workerFailureName(failure));
             },
             [this, worker] { finishLook(worker); },
             [this] { requestPass(); },
             [this] { m_handlers.onFenced(); },
             [this](const TaskRef &task) -> std::shared_ptr<const StepSpec> {
                 const Job *const job = m_log.table().find(task.step.job);
                 const bool isKnown = job != nullptr && task.step.step < job->spec->steps.size();
                 return isKnown ? job->step(task.step.step) : nullptr;
             },
             [this] {
                 return mayExtendLease();
             } };
}

bool RunDirector::mayExtendLease() const
{
    return m_context.now() - m_log.lastConfirmed() < m_options.confirmationTerm;
}

void RunDirector::begin()
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
    m_fleet.start();
    sweep();
}

void RunDirector::inheritRuns(const Job &job)
{
    for (const RunRef &ref : job.liveRuns()) {
        const PlacedRun *const placed = job.task(ref.task)->run(ref.number);
        LiveRun run;
        run.ref = ref;
        run.step = job.step(ref.task.step.step);
        run.queue = job.spec->queue;
        m_fleet.expect(placed->worker, placed->life).inherit(std::move(run), placed->life);
    }
}

void RunDirector::openJob(const JobId &id)
{
    const Job *const job = m_log.table().find(id);
    if (job == nullptr || job->isClosed()) {
        return;
    }
    for (std::uint32_t occurrence = 0; occurrence < job->occurrences.size(); ++occurrence) {
        for (std::uint32_t step = 0; step < job->spec->steps.size(); ++step) {
            openStep(*job, occurrence, step);
        }
    }
}

void RunDirector::openStep(const Job &job, std::uint32_t occurrence, std::uint32_t step)
{
    if (!job.isStepOpen(occurrence, step)) {
        return;
    }
    for (std::uint32_t index = 0; index < job.spec->steps.at(step).count; ++index) {
        openTask(job, { { job.spec->id, occurrence, step }, index });
    }
}

void RunDirector::openTask(const Job &job, const TaskRef &ref)
{
    const Task *const task = job.task(ref);
    if (task->isDone || !task->runs.empty()) {
        return;
    }
    m_ready.add(ref, job.step(ref.step.step), job.spec->queue);
    requestPass();
}

void RunDirector::closeJob(const JobId &id)
{
    m_ready.removeJob(id);
    const Job *const job = m_log.table().find(id);
    if (job == nullptr) {
        return;
    }
    for (const RunRef &run : job->liveRuns()) {
        if (WorkerLink *const link = m_fleet.find(job->task(run.task)->run(run.number)->worker)) {
            link->stop(run);
        }
    }
}

void RunDirector::reconsider()
{
    m_configuration = m_handlers.configuration();
    if (m_configuration) {
        for (const QueueEntry &queue : m_configuration->queues) {
            m_queues.insert_or_assign(queue.name, queue);
        }
    }
    requestPass();
}

const QueueEntry *RunDirector::queueOf(const QueueName &name) const
{
    const auto found = m_queues.find(name);
    return found == m_queues.end() ? nullptr : &found->second;
}

void RunDirector::requestPass()
{
    if (!std::exchange(m_passRequested, true)) {
        m_context.schedule(Milliseconds(0), m_lifetime.guard([this] {
            m_passRequested = false;
            pass();
        }));
    }
}

void RunDirector::pass()
{
    if (!m_fleet.isListed()) {
        return;
    }
    std::vector<std::pair<JobUrgency, StepRef>> order;
    for (const auto &[step, ready] : m_ready.steps()) {
        if (const QueueEntry *const queue = queueOf(ready.queue)) {
            const Job &job = *m_log.table().find(step.job);
            order.emplace_back(urgencyOf(job, step.occurrence, *queue, m_context.wallNow()), step);
        }
    }
    std::ranges::sort(order);
    for (const auto &[urgency, step] : order) {
        placeStep(step);
    }
}

void RunDirector::placeStep(const StepRef &step)
{
    const auto found = m_ready.steps().find(step);
    if (found == m_ready.steps().end()) {
        return;
    }
    const ReadyStep ready = found->second;
    const QueueEntry *const queue = queueOf(ready.queue);
    if (queue == nullptr) {
        return;
    }
    for (const std::uint32_t index : ready.tasks) {
        if (!placeTask({ step, index }, ready, *queue)) {
            return;
        }
    }
}

bool RunDirector::placeTask(const TaskRef &ref, const ReadyStep &ready, const QueueEntry &queue)
{
    const Task *const task = m_log.table().find(ref.step.job)->task(ref);
    const bool isLastAttempt = !ready.step->isLasting && task->failures > 0 && task->failures + 1 >= queue.attemptLimit;
    WorkerLink *const link = m_placer.choose(
        { ref.step, *ready.step, queue.service, m_health.failedOn(ref), isLastAttempt }, m_context.now());
    if (link == nullptr) {
        return false;
    }
    LiveRun run;
    run.ref = { ref, RunNumber(task->lastRun.value() + 1) };
    run.step = ready.step;
    run.queue = ready.queue;
    run.checkpoint = task->checkpoint;
    const WorkerId worker = link->entry().id;
    m_ready.remove(ref);
    m_context.log(LogLevel::Info, events::runPlaced,
                  { { "task", describe(ref) },
                    { "run", std::to_string(run.ref.number.value()) },
                    { "worker", worker.value() },
                    { "image", ready.step->image.value() },
                    { "held", std::to_string(link->held().processors.value()) },
                    { "fill", std::to_string(link->fillerDemand().value()) } });
    link->reserve(run);
    m_log.append(RunPlaced { run.ref, worker, link->life() }, RecordUrgency::Urgent,
                 m_lifetime.guard([this, started = run.ref, worker] { startRun(started, worker); }));
    return true;
}

void RunDirector::startRun(const RunRef &run, const WorkerId &worker)
{
    WorkerLink *const link = m_fleet.find(worker);
    const Job *const job = m_log.table().find(run.task.step.job);
    if (link == nullptr || job == nullptr || !link->runs().contains(run)) {
        return;
    }
    if (job->isClosed() || !link->isReachable()) {
        const LiveRun live = link->runs().at(run);
        link->release(run);
        takeLoss(worker, live, job->isClosed() ? "job-closed" : "worker-silent");
        return;
    }
    link->start(run, job->spec->payload, job->task(run.task)->checkpoint, {});
}

void RunDirector::takeEnd(const WorkerId &worker, const LiveRun &run, ListedEnd end, const CheckpointId &checkpoint)
{
    m_hasNewEnds = true;
    m_context.log(LogLevel::Info, events::runEnded,
                  { { "task", describe(run.ref.task) },
                    { "run", std::to_string(run.ref.number.value()) },
                    { "worker", worker.value() },
                    { "how", std::string(runEndName(toRunEnd(end))) },
                    { "after_ms", std::to_string((m_context.now() - run.placedAt).count()) } });
    noteHealth(worker, run.ref.task, end);
    m_neighbours.noteEnded(*m_fleet.find(worker), run, m_context.now());
    recordEnd(run, toRunEnd(end), checkpoint);
}

void RunDirector::noteHealth(const WorkerId &worker, const TaskRef &task, ListedEnd end)
{
    if (end == ListedEnd::Done) {
        m_health.noteSuccess(worker);
    } else if (end == ListedEnd::Failed && m_health.noteFailure(worker, task, m_context.now())) {
        m_context.log(LogLevel::Warning, events::workerQuarantined,
                      { { "worker", worker.value() }, { "task", describe(task) } });
    }
}

void RunDirector::takeLoss(const WorkerId &worker, const LiveRun &run, std::string_view reason)
{
    m_context.log(LogLevel::Info, events::runLost,
                  { { "task", describe(run.ref.task) },
                    { "run", std::to_string(run.ref.number.value()) },
                    { "worker", worker.value() },
                    { "reason", std::string(reason) },
                    { "after_ms", std::to_string((m_context.now() - run.placedAt).count()) } });
    recordEnd(run, RunEnd::Lost, run.checkpoint);
}

void RunDirector::recordEnd(const LiveRun &run, RunEnd end, const CheckpointId &checkpoint)
{
    if (m_log.append(RunEnded { run.ref, end, checkpoint }, RecordUrgency::Urgent)) {
        continueJob(run.ref.task);
    }
    requestPass();
}

void RunDirector::continueJob(const TaskRef &ref)
{
    const Job *const job = m_log.table().find(ref.step.job);
    const Task *const task = job->task(ref);
    if (job->isClosed() || task == nullptr) {
        return;
    }
    const QueueEntry *const queue = queueOf(job->spec->queue);
    const bool isLasting = job->spec->steps.at(ref.step.step).isLasting;
    if (!isLasting && queue != nullptr && !task->isDone && task->failures >= queue->attemptLimit) {
        close(ref.step.job, JobPhase::Failed);
        return;
    }
    if (!task->isDone) {
        openTask(*job, ref);
        return;
    }
    m_health.forget(ref);
    if (job->isWholeDone()) {
        close(ref.step.job, JobPhase::Completed);
        return;
    }
    if (!job->occurrences.at(ref.step.occurrence).steps.at(ref.step.step).isDone()) {
        return;
    }
    for (std::uint32_t later = ref.step.step + 1; later < job->spec->steps.size(); ++later) {
        const std::vector<std::uint32_t> &after = job->spec->steps.at(later).after;
        if (std::ranges::find(after, ref.step.step) != after.end()) {
            openStep(*job, ref.step.occurrence, later);
        }
    }
}

void RunDirector::close(const JobId &job, JobPhase phase)
{
    m_closing.insert(job);
    m_log.append(JobClosed { job, phase, m_context.wallNow() }, RecordUrgency::Urgent,
                 m_lifetime.guard([this, job, phase] {
                     m_closing.erase(job);
                     m_context.log(LogLevel::Info, events::jobClosed,
                                   { { "job", job.value() }, { "phase", std::string(jobPhaseName(phase)) } });
                 }));
    closeJob(job);
}

bool RunDirector::isClosing(const JobId &job) const
{
    return m_closing.contains(job);
}

void RunDirector::finishLook(const WorkerId &worker)
{
    WorkerLink &looked = *m_fleet.find(worker);
    m_neighbours.learn(looked, m_context.now());
    paceFillers(looked);
    moveRuns(looked);
    if (!std::exchange(m_hasNewEnds, false)) {
        return;
    }
    const EndMark mark = looked.endMark();
    m_log.flush(m_lifetime.guard([this, worker, mark] {
        if (WorkerLink *const link = m_fleet.find(worker)) {
            link->acknowledge(mark);
        }
    }));
}

void RunDirector::paceFillers(WorkerLink &link)
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

/** Stops runs that get on badly; they are placed again once their ends are listed. */
void RunDirector::moveRuns(WorkerLink &link)
{
    for (const RunMove &move : m_watch.decide(link, m_context.now())) {
        m_context.log(LogLevel::Info, events::runMoved,
                      { { "task", describe(move.run.task) },
                        { "run", std::to_string(move.run.number.value()) },
                        { "worker", link.entry().id.value() },
                        { "reason", std::string(move.reason) } });
        link.stop(move.run);
    }
}

std::optional<PlacementWish> RunDirector::wishFor(const LiveRun &run) const
{
    const QueueEntry *const queue = queueOf(run.queue);
    if (queue == nullptr) {
        return std::nullopt;
    }
    return PlacementWish { run.ref.task.step, *run.step, queue->service, m_health.failedOn(run.ref.task), false };
}

std::uint32_t RunDirector::awayBeside(const LiveRun &run)
{
    const Job *const job = m_log.table().find(run.ref.task.step.job);
    std::uint32_t away = 0;
    for (std::uint32_t index = 0; job != nullptr && index < run.step->count; ++index) {
        const TaskRef task { run.ref.task.step, index };
        const std::vector<PlacedRun> &runs = job->task(task)->runs;
        const WorkerLink *const link = runs.empty() ? nullptr : m_fleet.find(runs.front().worker);
        const auto live = link == nullptr ? std::map<RunRef, LiveRun>::const_iterator()
                                          : link->runs().find(RunRef { task, runs.front().number });
        const bool isAtWork = link != nullptr && live != link->runs().end() && live->second.phase == RunPhase::Running
            && live->second.percent == 100;
        away += isAtWork ? 0 : 1;
    }
    return away;
}

void RunDirector::sweep()
{
    m_neighbours.forgetOld(m_context.now());
    // Rooms for fillers open and close as loads swing, without an event of their own.
    requestPass();
    m_context.schedule(sweepInterval, m_lifetime.guard([this] { sweep(); }));
}

const WorkerFleet &RunDirector::fleet() const
{
    return m_fleet;
}

} // namespace currantring
