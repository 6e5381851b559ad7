#include "runstarter.h"

#include "jobevents.h"
#include "workercosttable.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** Minimum time between passes; tasks that become ready in between are placed in one batch. */
constexpr Milliseconds passInterval { 20 };
/** Tasks with constraints of their own for which one pass looks for a worker in vain, in each step. */
constexpr std::size_t maxConstrainedTries = 8;
/** After this wait, while most of the service is unused, fillers may be placed where they may be throttled. */
constexpr Milliseconds unthrottledWait { 2000 };
/** After this time the claim is read again when the store didn't answer. */
constexpr Milliseconds proofRetryDelay { 150 };

} // namespace

RunStarter::RunStarter(Parts parts, LossHandler onLoss)
    : m_parts(parts)
    , m_onLoss(std::move(onLoss))
    , m_admission(parts.context, [this] { requestPass(); })
{
    if (parts.farFactor) {
        m_rackWaits.emplace(*parts.farFactor, parts.fleet, parts.context);
    }
}

void RunStarter::open(const TaskRef &task, const Job &job)
{
    m_ready.add(task, job.step(task.step.step), job.spec->queue, m_parts.context.now());
    requestPass();
}

void RunStarter::forgetJob(const JobId &job)
{
    m_ready.removeJob(job);
    m_admission.forgetJob(job);
    if (m_rackWaits) {
        m_rackWaits->forgetJob(job);
    }
}

void RunStarter::withdraw(const TaskRef &task)
{
    m_ready.remove(task);
}

void RunStarter::forgetStep(const StepRef &step)
{
    m_ready.removeStep(step);
    m_admission.forgetStep(step);
    if (m_rackWaits) {
        m_rackWaits->forgetStep(step);
    }
}

void RunStarter::dropTicket(const RunRef &run, const WorkerId &worker)
{
    m_admission.drop(run.task.step, worker);
}

bool RunStarter::isOpen(const TaskRef &task) const
{
    const auto step = m_ready.steps().find(task.step);
    return step != m_ready.steps().end() && step->second.tasks.contains(task.index);
}

std::size_t RunStarter::waitingTasks(const JobId &job) const
{
    return m_ready.countOf(job);
}

std::size_t RunStarter::trackedSteps() const
{
    const std::size_t decided = m_rackWaits ? m_rackWaits->trackedSteps() : 0;
    return m_ready.steps().size() + m_admission.trackedSteps() + decided;
}

void RunStarter::requestPass()
{
    if (!std::exchange(m_passRequested, true)) {
        const TimePoint now = m_parts.context.now();
        const TimePoint due = m_lastPass ? std::max(now, *m_lastPass + passInterval) : now;
        m_parts.context.schedule(due - now, m_lifetime.guard([this] {
            m_passRequested = false;
            pass();
        }));
    }
}

void RunStarter::pass()
{
    if (!m_parts.fleet.isListed() || !m_parts.evacuations.confirm()) {
        return;
    }
    m_lastPass = m_parts.context.now();
    startDeferred();
    m_noRoom.clear();
    m_isMostlyUnused.clear();
    noteSchedulableRacks();
    if (m_rackWaits) {
        m_rackWaits->beginPass();
    }
    placeAnswered();
    if (m_rackWaits) {
        m_rackWaits->beginOrder();
    }
    m_waitingForTickets.clear();
    for (const StepRef &step : stepsByUrgency()) {
        placeStep(step);
    }
    askAdmission();
    scheduleRackRetry();
    reportLeftWork();
}

/** The steps that may be placed, or that tickets may be requested for now, in order of urgency. */
std::vector<StepRef> RunStarter::stepsByUrgency() const
{
    std::vector<std::pair<JobUrgency, StepRef>> order;
    for (const auto &[step, ready] : m_ready.steps()) {
        const Job *const job = m_parts.log.table().find(step.job);
        const QueueEntry *const queue = m_parts.queues.find(ready.queue);
        if (job != nullptr && queue != nullptr && (m_admission.maySend() || !lacksTickets(step, *queue))) {
            order.emplace_back(urgencyOfStep(step, ready, *job, *queue), step);
        }
    }
    std::ranges::sort(order);
    std::vector<StepRef> steps;
    steps.reserve(order.size());
    for (const auto &[urgency, step] : order) {
        steps.push_back(step);
    }
    return steps;
}

std::size_t RunStarter::waitingTasksOf(const StepRef &step) const
{
    const auto ready = m_ready.steps().find(step);
    return ready == m_ready.steps().end() ? 0 : ready->second.tasks.size();
}

/**
 * Fillers whose image disturbs the serving tasks of all workers would wait for as long as those run. While most of the
 * service is unused they run throttled instead.
 */
FillerThrottling RunStarter::throttlingOf(const ReadyStep &ready, const ServiceName &service)
{
    if (!ready.step->isFiller || m_parts.context.now() - ready.since < unthrottledWait) {
        return FillerThrottling::Avoided;
    }
    const auto [place, isNew] = m_isMostlyUnused.try_emplace(service);
    if (isNew) {
        place->second = m_parts.placer.isMostlyUnused(service);
    }
    return place->second ? FillerThrottling::Accepted : FillerThrottling::Avoided;
}

JobUrgency RunStarter::urgencyOfStep(const StepRef &step, const ReadyStep &ready, const Job &job,
                                     const QueueEntry &queue) const
{
    const WallTime wallNow = m_parts.context.wallNow();
    if (ready.step->isLasting) {
        const Milliseconds waited = m_parts.context.now() - ready.since;
        return urgencyOfLasting(queue, WallTime(wallNow.value() - waited.count()), wallNow);
    }
    return urgencyOf(job, step.occurrence, queue, wallNow);
}

void RunStarter::placeStep(const StepRef &step)
{
    const auto found = m_ready.steps().find(step);
    if (found == m_ready.steps().end()) {
        return;
    }
    // A copy, as placing tasks removes them from the original.
    const ReadyStep ready = found->second;
    if (ready.step->isGang) {
        placeGang(step, ready);
    } else {
        placeTasks(step, ready);
    }
}

const Task &RunStarter::task(const TaskRef &ref) const
{
    return m_parts.log.table().task(ref);
}

std::optional<PlacementRequest> RunStarter::requestFor(const TaskRef &task, const StepSpec &step,
                                                       const QueueName &queue) const
{
    const QueueEntry *const entry = m_parts.queues.find(queue);
    const Job *const job = m_parts.log.table().find(task.step.job);
    if (entry == nullptr || job == nullptr) {
        return std::nullopt;
    }
    PlacementRequest request {
        task.step, step, entry->service, m_parts.health.failedOn(task), false, {}, {}, false, {}
    };
    const std::uint32_t failures = job->failuresOf(task);
    request.isLastAttempt = !step.isLasting && failures > 0 && failures + 1 >= entry->attemptLimit;
    for (const PlacedRun &run : job->task(task).runs) {
        request.excludedWorkers.push_back(run.worker);
    }
    return request;
}

void RunStarter::placeTasks(const StepRef &step, const ReadyStep &ready)
{
    const QueueEntry *const queue = m_parts.queues.find(ready.queue);
    if (lacksTickets(step, *queue)) {
        waitForTickets(step, *queue);
        return;
    }
    const std::size_t unplaced =
        m_rackWaits ? placeByRackPolicy(step, ready) : placeEach(step, ready, RackUse::FixedWait, ready.tasks.size());
    if (unplaced > 0) {
        waitForTickets(step, *queue);
    }
}

/** Places up to @p maxCount of the tasks one by one; returns how many found no worker before it gave up. */
std::size_t RunStarter::placeEach(const StepRef &step, const ReadyStep &ready, RackUse use, std::size_t maxCount)
{
    const QueueEntry &queue = *m_parts.queues.find(ready.queue);
    const FillerThrottling throttling = throttlingOf(ready, queue.service);
    std::optional<WorkerCostTable> costs;
    std::size_t unplaced = 0;
    std::size_t placed = 0;
    for (const std::uint32_t index : ready.tasks) {
        const TaskRef task { step, index };
        std::optional<PlacementRequest> request = requestFor(task, *ready.step, ready.queue);
        if (!request || placed == maxCount) {
            break;
        }
        requireTicket(step, queue, *request);
        request->rack = rackOf(step, *ready.step);
        request->isRackNeeded = use == RackUse::FixedWait
            ? isWaitingForRack(ready, request->rack)
            : use == RackUse::OnlyOnRack && !request->rack.value().empty();
        request->throttling = throttling;
        WorkerLink *const link = choose(*request, costs);
        if (link == nullptr) {
            ++unplaced;
            if (unplaced == maxConstrainedTries || !hasPlaceForOthers(*request, costs)) {
                break;
            }
            continue;
        }
        const Assignment assignment { task, link, RunNumber(this->task(task).lastRun.value() + 1) };
        record(assignment, reserve(assignment, ready));
        ++placed;
        if (costs) {
            costs->update(*link);
        }
    }
    return unplaced;
}

/** Whether a task of the same step without constraints of its own finds a place where the task of @p request doesn't.
 */
bool RunStarter::hasPlaceForOthers(PlacementRequest request, std::optional<WorkerCostTable> &costs)
{
    if (!request.hasTaskConstraints()) {
        return false;
    }
    request.dropTaskConstraints();
    return choose(request, costs) != nullptr;
}

/** Chooses from the step's cost table if the request has no constraints beyond its step and rack. */
WorkerLink *RunStarter::choose(const PlacementRequest &request, std::optional<WorkerCostTable> &costs)
{
    if (m_noRoom.isKnownNotToFit(request)) {
        return nullptr;
    }
    WorkerLink *link = nullptr;
    if (request.hasOnlyStepConstraints()) {
        if (!costs || !costs->isValidFor(request)) {
            costs.emplace(m_parts.placer, m_parts.fleet, request, m_parts.context.now());
        }
        link = costs->best();
    } else {
        link = m_parts.placer.choose(request, m_parts.context.now());
    }
    if (link == nullptr) {
        noteNoRoom(request);
    }
    return link;
}

/** Places all members of a gang or none. If they want one rack, the racks are tried in turn. */
void RunStarter::placeGang(const StepRef &step, const ReadyStep &ready)
{
    if (ready.tasks.size() < ready.step->count) {
        return;
    }
    const std::optional<PlacementRequest> request = requestFor({ step, 0 }, *ready.step, ready.queue);
    if (!request) {
        return;
    }
    const QueueEntry &queue = *m_parts.queues.find(ready.queue);
    if (lacksTickets(step, queue)) {
        waitForTickets(step, queue);
        return;
    }
    const Label dataRack = ready.step->dataRack;
    if (!dataRack.value().empty() && placeGangOn(step, ready, dataRack)) {
        return;
    }
    if (ready.step->wantsOneRack) {
        for (const Label &rack : m_parts.placer.racks(request->service)) {
            if (placeGangOn(step, ready, rack)) {
                return;
            }
        }
    }
    const bool maySpanRacks = dataRack.value().empty() && !ready.step->wantsOneRack;
    const bool wantsAbsentRack = !ready.step->wantsOneRack && isRackAbsent(dataRack);
    const bool mayWait = !maySpanRacks && !wantsAbsentRack && mayGangWait(step, ready);
    if (mayWait || !placeGangOn(step, ready, {})) {
        waitForTickets(step, queue);
    }
}

bool RunStarter::placeGangOn(const StepRef &step, const ReadyStep &ready, const Label &rack)
{
    const QueueEntry *const queue = m_parts.queues.find(ready.queue);
    std::uint32_t number = 0;
    for (std::uint32_t index = 0; index < ready.step->count; ++index) {
        number = std::max(number, task({ step, index }).lastRun.value());
    }
    std::vector<std::pair<Assignment, LiveRun>> chosen;
    for (std::uint32_t index = 0; index < ready.step->count; ++index) {
        PlacementRequest request = *requestFor({ step, index }, *ready.step, ready.queue);
        request.rack = rack;
        request.isRackNeeded = !rack.value().empty();
        requireTicket(step, *queue, request);
        WorkerLink *const link = m_parts.placer.choose(request, m_parts.context.now());
        if (link == nullptr) {
            for (const auto &[assignment, run] : chosen) {
                assignment.link->release(run.ref);
            }
            return false;
        }
        const Assignment assignment { { step, index }, link, RunNumber(number + 1) };
        chosen.emplace_back(assignment, reserve(assignment, ready));
    }
    for (const auto &[assignment, run] : chosen) {
        record(assignment, run);
    }
    return true;
}

LiveRun RunStarter::reserve(const Assignment &assignment, const ReadyStep &ready)
{
    LiveRun run;
    run.ref = { assignment.task, assignment.number };
    run.step = ready.step;
    run.queue = ready.queue;
    run.checkpoint = task(assignment.task).checkpoint;
    assignment.link->reserve(run);
    return run;
}

void RunStarter::record(const Assignment &assignment, const LiveRun &run)
{
    const WorkerId worker = assignment.link->entry().id;
    m_ready.remove(assignment.task);
    notePlacedOnRack(assignment.task.step, *run.step, *assignment.link);
    m_parts.context.log(LogLevel::Info, events::runPlaced,
                        { { "task", describe(assignment.task) },
                          { "run", std::to_string(run.ref.number.value()) },
                          { "worker", worker.value() },
                          { "image", run.step->image.value() },
                          { "held", std::to_string(assignment.link->reservedResources().held().processors.value()) },
                          { "fill", std::to_string(assignment.link->reservedResources().fillerDemand().value()) } });
    m_parts.log.append(RunPlaced { run.ref, worker, assignment.link->life() }, RecordUrgency::Urgent,
                       m_lifetime.guard([this, started = run.ref, worker] { start(started, worker); }));
}

void RunStarter::start(const RunRef &run, const WorkerId &worker)
{
    if (const std::optional<GrantTerm> term = startTerm()) {
        sendStart(run, worker, *term);
        return;
    }
    const std::optional<Milliseconds> age = m_parts.authority.proofAge();
    m_parts.context.log(LogLevel::Info, events::startDeferred,
                        { { "task", describe(run.task) },
                          { "run", std::to_string(run.number.value()) },
                          { "worker", worker.value() },
                          { "proof_age_ms", age ? std::to_string(age->count()) : "lost" } });
    m_deferredStarts.emplace_back(run, worker);
}

/** The term of a start that is sent now; nullopt while the claim isn't proven or the evacuations aren't known. */
std::optional<GrantTerm> RunStarter::startTerm()
{
    const std::optional<GrantTerm> term = m_parts.authority.grantStart();
    if (!term) {
        requestProof();
    }
    return m_parts.evacuations.confirm() ? term : std::nullopt;
}

/** Reads the claim, once for all starts that wait for that. */
void RunStarter::requestProof()
{
    if (std::exchange(m_isProofRequested, true)) {
        return;
    }
    m_parts.log.checkWriter(m_lifetime.guard([this](WriterCheck check) {
        const Milliseconds delay = check == WriterCheck::StillWriter ? Milliseconds(0) : proofRetryDelay;
        m_parts.context.schedule(delay, m_lifetime.guard([this] {
            m_isProofRequested = false;
            startDeferred();
        }));
    }));
}

void RunStarter::sendStart(const RunRef &run, const WorkerId &worker, const GrantTerm &term)
{
    WorkerLink *const link = m_parts.fleet.find(worker);
    const Job *const job = m_parts.log.table().find(run.task.step.job);
    if (link == nullptr || job == nullptr || !link->runs().contains(run)) {
        return;
    }
    const std::string ticket = m_admission.ticket(run.task.step, worker, link->life());
    const std::string_view obstacle = obstacleToStart(run.task, *job, *link, ticket);
    if (!obstacle.empty()) {
        const LiveRun live = link->runs().at(run);
        link->release(run);
        m_onLoss(worker, live, obstacle);
        return;
    }
    link->start(run, term, job->spec->payload, job->task(run.task).checkpoint, ticket);
}

/** Sends the committed starts that waited, if none of them has to any longer. */
void RunStarter::startDeferred()
{
    const std::optional<GrantTerm> term = m_deferredStarts.empty() ? std::nullopt : startTerm();
    if (!term) {
        return;
    }
    for (const auto &[run, worker] : std::exchange(m_deferredStarts, {})) {
        sendStart(run, worker, *term);
    }
}

/** Why a committed run isn't started after all; empty when it is. */
std::string_view RunStarter::obstacleToStart(const TaskRef &task, const Job &job, const WorkerLink &link,
                                             const std::string &ticket) const
{
    if (job.isClosed() || job.task(task).isDone) {
        return "not-needed";
    }
    if (m_parts.evacuations.isEvacuated(link.entry().dataCentre)) {
        return "evacuated";
    }
    if (!link.isReachable()) {
        return "worker-silent";
    }
    const QueueEntry *const queue = m_parts.queues.find(job.spec->queue);
    const bool needsTicket = queue != nullptr && queue->admission;
    return needsTicket && ticket.empty() ? "ticket-expired" : "";
}

} // namespace currantring
