#include "attemptdriver.h"

#include <algorithm>

namespace currantring {

namespace {

/** Wait before a command without an answer is repeated. */
constexpr Milliseconds commandRetry(500);
/** Rest that a worker gets from new work after refusing some. */
constexpr Milliseconds refusalRest(2000);

std::string refusalName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        break;
    case RefusalReason::StaleEpoch:
        return "stale-epoch";
    case RefusalReason::AlreadyStarted:
        return "already-started";
    case RefusalReason::TooLate:
        return "too-late";
    case RefusalReason::NoRoom:
        return "no-room";
    case RefusalReason::Leaving:
        return "leaving";
    case RefusalReason::UnknownAttempt:
        return "unknown-attempt";
    case RefusalReason::Failing:
        return "failing";
    }
    return "refused";
}

/** How the ledger calls the end of @p task's attempt that its worker reports in @p phase. */
AttemptEnd endOf(const TaskState &task, AttemptPhase phase)
{
    switch (phase) {
    case AttemptPhase::Succeeded:
        return AttemptEnd::Succeeded;
    case AttemptPhase::Failed:
        return AttemptEnd::Failed;
    case AttemptPhase::Checkpointed:
        return task.state == "checkpointing" || task.state == "cancelling" ? AttemptEnd::Checkpointed
                                                                           : AttemptEnd::Lost;
    case AttemptPhase::Stopped:
        return task.state == "cancelling" ? AttemptEnd::Stopped : AttemptEnd::Lost;
    case AttemptPhase::NeverStarted:
        // A worker that confirmed the start and now knows nothing has lost its memory.
        return task.attempt->confirmed ? AttemptEnd::Lost : AttemptEnd::NotRun;
    case AttemptPhase::Running:
    case AttemptPhase::LeaseLapsed:
        break;
    }
    return AttemptEnd::Lost;
}

} // namespace

AttemptDriver::AttemptDriver(ShardCore &core, Handlers handlers)
    : m_core(core)
    , m_handlers(std::move(handlers))
{
}

WorkerView *AttemptDriver::view(const WorkerId &worker)
{
    const auto found = m_core.workers.find(worker);
    return found == m_core.workers.end() ? nullptr : &found->second;
}

const TaskState *AttemptDriver::liveTask(const AttemptKey &attempt) const
{
    const TaskState *task = m_core.log.ledger().find(attempt.task);
    const bool isLive = task != nullptr && task->attempt && task->attempt->number == attempt.attempt;
    return isLive ? task : nullptr;
}

void AttemptDriver::tick()
{
    for (auto &[id, worker] : m_core.workers) {
        if (!worker.reportInFlight && worker.nextReport <= m_core.context.now()) {
            renew(worker);
        }
        giveUpIfSilent(worker);
    }
    const std::set<TaskId> active = m_core.log.ledger().activeTasks();
    for (const TaskId &task : active) {
        drive(task);
    }
}

void AttemptDriver::renew(WorkerView &worker)
{
    const TimePoint now = m_core.context.now();
    const Milliseconds lease = m_core.configuration.duration(Setting::TaskLease);
    RenewLeases request { m_core.fence(), WorkerTime(0), { worker.recorded.begin(), worker.recorded.end() } };
    // A worker that has been silent for long is only asked, not extended, so that its leases run out.
    if (worker.clock && worker.knowsEpoch && now - worker.lastAnswer < lease / 2) {
        request.leaseUntil = m_core.leaseUntil(worker);
        worker.lastExtension = now;
    }
    worker.reportInFlight = true;
    worker.nextReport = now + m_core.configuration.duration(Setting::ReportInterval);
    m_core.context.callWorker(worker.info.id, worker.info.address, std::move(request),
                              m_lifetime.guard([this, id = worker.info.id, now](const WorkerResult &result) {
                                  handleRenewal(id, now, result);
                              }));
}

void AttemptDriver::handleRenewal(const WorkerId &id, TimePoint sentAt, const WorkerResult &result)
{
    WorkerView *worker = view(id);
    if (worker == nullptr) {
        return;
    }
    worker->reportInFlight = false;
    if (result) {
        handleReport(*worker, sentAt, result->report);
    } else if (result.error().reason == RefusalReason::StaleEpoch) {
        m_handlers.onStaleEpoch();
    }
}

void AttemptDriver::handleReport(WorkerView &worker, TimePoint sentAt, const WorkerReport &report)
{
    const bool isFirst = !worker.knowsEpoch;
    worker.clock = report.clock;
    worker.clockReadAt = m_core.context.now();
    worker.lastAnswer = m_core.context.now();
    worker.knowsEpoch = true;
    worker.saysLeaving = report.leaving;
    if (isFirst) {
        worker.nextReport = m_core.context.now(); // Extend the leases of what already runs there.
    }
    std::erase_if(worker.recorded, [&](const AttemptKey &key) {
        return std::ranges::none_of(report.attempts, [&](const AttemptReport &r) { return r.key == key; });
    });
    for (const AttemptReport &attempt : report.attempts) {
        handleAttempt(worker, attempt);
    }
    resolveMissing(worker, sentAt, report);
    m_handlers.onReport(report);
}

void AttemptDriver::handleAttempt(WorkerView &worker, const AttemptReport &attempt)
{
    const TaskState *task = m_core.log.ledger().find(attempt.key.task);
    const bool isLive = task != nullptr && task->attempt && task->attempt->number == attempt.key.attempt
        && task->attempt->worker == worker.info.id;
    if (!isLive) {
        handleOrphan(worker, attempt, task);
        return;
    }
    if (attempt.phase != AttemptPhase::Running) {
        endAttempt(*task, attempt);
        return;
    }
    if (!task->attempt->confirmed && task->state == "starting") {
        static_cast<void>(m_core.log.append(AttemptStarted { attempt.key }));
    }
}

void AttemptDriver::handleOrphan(WorkerView &worker, const AttemptReport &attempt, const TaskState *task)
{
    if (attempt.phase == AttemptPhase::Running) {
        m_core.context.log(LogLevel::Warning, "orphan_attempt_stopped",
                           { { "task", attempt.key.task.value() },
                             { "attempt", std::to_string(attempt.key.attempt.value()) },
                             { "worker", worker.info.id.value() } });
        m_core.context.count("orphan_attempts_stopped");
        sendStop(attempt.key, worker.info.id);
        return;
    }
    // What the worker may forget must be in the store, for a successor would otherwise run the attempt again.
    if (task == nullptr || m_core.log.isCommitted(task->account.back())) {
        worker.recorded.insert(attempt.key);
    }
}

void AttemptDriver::endAttempt(const TaskState &task, const AttemptReport &attempt)
{
    append(task, endOf(task, attempt.phase), attempt.checkpoint, attempt.detail);
}

void AttemptDriver::append(const TaskState &task, AttemptEnd end, CheckpointId checkpoint, std::string detail)
{
    const AttemptKey key { task.id, task.attempt->number };
    const WorkerId worker = task.attempt->worker;
    const std::string owner = task.owner.value();
    const AttemptEnded record { key, end, std::move(checkpoint), std::move(detail) };
    m_core.context.log(end == AttemptEnd::Lost || end == AttemptEnd::Failed ? LogLevel::Warning : LogLevel::Info,
                       "attempt_ended",
                       { { "task", key.task.value() },
                         { "attempt", std::to_string(key.attempt.value()) },
                         { "end", std::string(attemptEndName(end)) },
                         { "worker", worker.value() },
                         { "owner", owner },
                         { "detail", record.detail } });
    const auto appended =
        m_core.log.append(record, task.spec.urgent, m_lifetime.guard([this, key, worker](bool committed) {
            m_controls.erase(key);
            if (WorkerView *known = view(worker); committed && known != nullptr) {
                known->recorded.insert(key);
            }
        }));
    if (!appended) {
        m_core.context.log(LogLevel::Error, "attempt_end_refused", { { "task", key.task.value() } });
        return;
    }
    m_handlers.onAttemptEnded();
}

void AttemptDriver::resolveMissing(WorkerView &worker, TimePoint sentAt, const WorkerReport &report)
{
    std::vector<AttemptKey> missing;
    for (const TaskState *task : m_core.log.ledger().attemptsOn(worker.info.id)) {
        const AttemptKey key { task->id, task->attempt->number };
        const bool isReported =
            std::ranges::any_of(report.attempts, [&](const AttemptReport &r) { return r.key == key; });
        const Control &control = m_controls[key];
        // Without a control the attempt was placed by a former writer, whose commands the worker refuses by now.
        const TimePoint resolved =
            control.startResolved.value_or(control.callInFlight ? TimePoint::max() : m_core.activeSince);
        const bool isCommitted = m_core.log.isCommitted(task->account.back());
        if (!isReported && isCommitted && sentAt > resolved) {
            missing.push_back(key);
        }
    }
    for (const AttemptKey &key : missing) {
        sendStop(key, worker.info.id);
    }
}

void AttemptDriver::start(const AttemptKey &attempt)
{
    const TaskState *task = liveTask(attempt);
    WorkerView *worker = task == nullptr ? nullptr : view(task->attempt->worker);
    if (worker == nullptr || task->state != "starting" || !worker->clock) {
        return;
    }
    const TimePoint now = m_core.context.now();
    const Milliseconds window = m_core.configuration.duration(Setting::StartWindow);
    StartAttempt request { m_core.fence(),
                           attempt.task,
                           attempt.attempt,
                           task->owner,
                           task->spec,
                           task->attempt->resumeFrom,
                           WorkerTime(m_core.estimatedClock(*worker, now).value() + window.count()),
                           m_core.leaseUntil(*worker) };
    m_controls[attempt].callInFlight = true;
    worker->lastExtension = now;
    m_core.context.callWorker(worker->info.id, worker->info.address, std::move(request),
                              m_lifetime.guard([this, attempt, id = worker->info.id](const WorkerResult &result) {
                                  handleStart(attempt, id, result);
                              }));
}

void AttemptDriver::handleStart(const AttemptKey &attempt, const WorkerId &id, const WorkerResult &result)
{
    Control &control = m_controls[attempt];
    control.callInFlight = false;
    control.startResolved = m_core.context.now();
    const TaskState *task = liveTask(attempt);
    WorkerView *worker = view(id);
    if (task == nullptr || worker == nullptr) {
        m_controls.erase(attempt);
        return;
    }
    if (result) {
        for (const AttemptReport &report : result->report.attempts) {
            handleAttempt(*worker, report);
        }
        return;
    }
    const WorkerError &error = result.error();
    if (error.kind == WorkerErrorKind::Unknown) {
        control.startResolved = m_core.context.now() + m_core.configuration.duration(Setting::StartWindow);
        return;
    }
    if (error.reason == RefusalReason::StaleEpoch) {
        m_handlers.onStaleEpoch();
        return;
    }
    if (error.reason == RefusalReason::AlreadyStarted) {
        return; // The next report shows it.
    }
    worker->avoidUntil = m_core.context.now() + refusalRest;
    const bool wasSent = error.kind != WorkerErrorKind::NotSent;
    append(*task, AttemptEnd::NotRun, {}, wasSent ? refusalName(error.reason) : "worker-unreachable");
}

void AttemptDriver::drive(const TaskId &id)
{
    const TaskState *task = m_core.log.ledger().find(id);
    if (task == nullptr || !task->attempt || !m_core.log.isCommitted(task->account.back())) {
        return;
    }
    const AttemptKey key { id, task->attempt->number };
    const auto control = m_controls.find(key);
    if (control != m_controls.end()
        && (control->second.callInFlight || control->second.nextCall > m_core.context.now())) {
        return;
    }
    if (task->state == "checkpointing") {
        sendCheckpoint(key, task->attempt->worker);
    } else if (task->state == "cancelling") {
        sendStop(key, task->attempt->worker);
    }
}

void AttemptDriver::sendStop(const AttemptKey &attempt, const WorkerId &worker)
{
    sendCommand(attempt, worker, StopAttempt { m_core.fence(), attempt.task, attempt.attempt });
}

void AttemptDriver::sendCheckpoint(const AttemptKey &attempt, const WorkerId &worker)
{
    sendCommand(attempt, worker, CheckpointAttempt { m_core.fence(), attempt.task, attempt.attempt });
}

void AttemptDriver::sendCommand(const AttemptKey &attempt, const WorkerId &id, WorkerRequest request)
{
    const WorkerView *worker = view(id);
    Control &control = m_controls[attempt];
    if (worker == nullptr || control.callInFlight) {
        return;
    }
    control.callInFlight = true;
    control.nextCall = m_core.context.now() + commandRetry;
    m_core.context.callWorker(
        id, worker->info.address, std::move(request),
        m_lifetime.guard([this, attempt, id](const WorkerResult &result) { handleCommand(attempt, id, result); }));
}

void AttemptDriver::handleCommand(const AttemptKey &attempt, const WorkerId &id, const WorkerResult &result)
{
    const auto control = m_controls.find(attempt);
    if (control != m_controls.end()) {
        control->second.callInFlight = false;
        if (liveTask(attempt) == nullptr) {
            m_controls.erase(control);
        }
    }
    WorkerView *worker = view(id);
    if (worker == nullptr) {
        return;
    }
    if (result) {
        for (const AttemptReport &report : result->report.attempts) {
            handleAttempt(*worker, report);
        }
        return;
    }
    if (result.error().reason == RefusalReason::StaleEpoch) {
        m_handlers.onStaleEpoch();
    } else if (result.error().reason == RefusalReason::UnknownAttempt && liveTask(attempt) != nullptr) {
        // A stop settles it: it leaves a mark by which the worker will never start the attempt.
        sendStop(attempt, id);
    }
}

TimePoint AttemptDriver::leasesOverAt(const WorkerView &worker) const
{
    if (worker.knowsEpoch) {
        return worker.lastExtension + m_core.longestMargin;
    }
    // A former writer that lost sight of the store may have gone on extending leases for the outage term.
    const bool formerHasEnded = m_core.handedOver || !worker.listed;
    const Milliseconds outage = formerHasEnded ? Milliseconds(0) : m_core.longestOutage;
    return m_core.activeSince + outage + m_core.longestMargin;
}

void AttemptDriver::giveUpIfSilent(WorkerView &worker)
{
    const TimePoint now = m_core.context.now();
    const Milliseconds lease = m_core.configuration.duration(Setting::TaskLease);
    if (now - worker.lastAnswer < lease / 2 || now <= leasesOverAt(worker)) {
        return;
    }
    std::vector<const TaskState *> lost = m_core.log.ledger().attemptsOn(worker.info.id);
    for (const TaskState *task : lost) {
        append(*task, AttemptEnd::Lost, {}, "worker-silent");
    }
}

} // namespace currantring
