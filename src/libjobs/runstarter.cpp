#include "runstarter.h"

#include "jobevents.h"
#include "workercosttable.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** Bounds of the wait for a rack where the cost of running elsewhere isn't known; within them it is the estimate. */
constexpr Milliseconds minRackWait { 300 };
constexpr Milliseconds maxRackWait { 3000 };
/** Minimum time between passes; tasks that become ready in between are placed in one batch. */
constexpr Milliseconds passInterval { 20 };
/** Steps without a worker to ask for that one pass goes through to find one with. */
constexpr std::size_t maxAdmissionTries = 8;
/** Tasks with constraints of their own for which one pass looks for a worker in vain, in each step. */
constexpr std::size_t maxConstrainedTries = 8;
/** After this wait, while most of the service is unused, fillers may be placed where they may be throttled. */
constexpr Milliseconds unthrottledWait { 2000 };
/** Interval at which steps that have no worker to ask for are looked at again. */
constexpr Milliseconds admissionRetryInterval { 100 };
/** A step that has waited for longer is taken to lack something other than capacity that running tasks hold. */
constexpr Milliseconds maxCapacityWait { 30'000 };

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

/** Passes on what this pass left waiting, which the admission of further jobs under load depends on. */
void RunStarter::reportLeftWork()
{
    if (m_parts.loadAdmission.needsLeftWork(m_ready.steps().size(), m_parts.context.now())) {
        m_parts.loadAdmission.takeLeftWork(leftWork());
    }
}

LeftWork RunStarter::leftWork() const
{
    LeftWork left { m_parts.context.now(), {}, {} };
    const StepRef *previous = nullptr;
    for (const auto &[step, ready] : m_ready.steps()) {
        const Job *const job = m_parts.log.table().find(step.job);
        const QueueEntry *const queue = m_parts.queues.find(ready.queue);
        if (job == nullptr || queue == nullptr || mayLackOtherThanProcessors(ready, *queue)) {
            continue;
        }
        const bool isFirstOfJob =
            previous == nullptr || previous->job != step.job || previous->occurrence != step.occurrence;
        previous = &step;
        const WaitingStep waiting { true,
                                    { queue->service, ready.step->isFiller },
                                    urgencyOfStep(step, ready, *job, *queue),
                                    ready.queue,
                                    ready.tasks.size(),
                                    ready.step->need,
                                    ready.step->estimate };
        left.steps.push_back(waiting);
        if (isFirstOfJob) {
            addLaterSteps(*job, step.occurrence, waiting, left);
        }
    }
    if (!left.steps.empty()) {
        left.capacity = capacityOfServices();
    }
    return left;
}

/** Adds the steps of the job that aren't open yet; @p like: one of its steps that is. */
void RunStarter::addLaterSteps(const Job &job, std::uint32_t occurrence, WaitingStep like, LeftWork &left)
{
    like.isOpen = false;
    for (std::uint32_t index = 0; index < job.spec->steps.size(); ++index) {
        const StepSpec &step = job.spec->steps[index];
        if (!job.isStepOpen(occurrence, index) && !step.isLasting) {
            like.capacity.isBestEffort = step.isFiller;
            like.tasks = step.count;
            like.need = step.need;
            like.estimate = step.estimate;
            left.steps.push_back(like);
        }
    }
}

/** Whether the step may wait for something other than processors; load admission doesn't count such steps. */
bool RunStarter::mayLackOtherThanProcessors(const ReadyStep &ready, const QueueEntry &queue) const
{
    const StepSpec &step = *ready.step;
    const Milliseconds waited = m_parts.context.now() - ready.since;
    const bool prefersRack = !step.dataRack.value().empty() || step.wantsOneRack;
    return step.isLasting || step.isGang || queue.admission || !step.requiredLabel.value().empty()
        || step.need.accelerators.value() > 0 || step.spreadLimit > 0 || (prefersRack && waited < maxRackWait)
        || waited > maxCapacityWait;
}

std::map<ServiceName, ServiceCapacity> RunStarter::capacityOfServices() const
{
    std::map<ServiceName, ServiceCapacity> services;
    for (const auto &[id, link] : m_parts.fleet.links()) {
        if (m_parts.fleet.isSchedulable(*link)) {
            ServiceCapacity &service = services[link->entry().service];
            const ReservedResources &reserved = link->reservedResources();
            service.total = Millicores(service.total.value() + link->entry().capacity.processors.value());
            service.counted = Millicores(service.counted.value() + reserved.held().processors.value());
            service.bestEffort = Millicores(service.bestEffort.value() + reserved.fillerDemand().value());
        }
    }
    return services;
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

/** Places the step whose tickets have just come before others take the room that they were requested for. */
void RunStarter::placeAnswered()
{
    const std::optional<StepRef> step = m_admission.takeAnswered();
    if (!step) {
        return;
    }
    const std::size_t before = waitingTasksOf(*step);
    if (before == 0) {
        return;
    }
    placeStep(*step);
    const bool isGang = m_ready.steps().contains(*step) && m_ready.steps().at(*step).step->isGang;
    if (waitingTasksOf(*step) < before) {
        m_admission.noteUse(*step, AdmissionUse::Started);
    } else {
        m_admission.noteUse(*step, isGang ? AdmissionUse::Incomplete : AdmissionUse::NotPlaced);
    }
}

std::size_t RunStarter::waitingTasksOf(const StepRef &step) const
{
    const auto ready = m_ready.steps().find(step);
    return ready == m_ready.steps().end() ? 0 : ready->second.tasks.size();
}

/** Requests tickets for one of the steps that this pass couldn't place for want of them. */
void RunStarter::askAdmission()
{
    std::size_t tries = 0;
    for (const StepRef &step : m_admission.turns(m_waitingForTickets)) {
        const std::optional<AdmissionDemand> demand = admissionDemand(step, m_ready.steps().at(step));
        if (demand) {
            m_admission.ask(*demand);
            return;
        }
        m_admission.postpone(step);
        if (++tries == maxAdmissionTries) {
            break;
        }
    }
    if (!m_waitingForTickets.empty() && !std::exchange(m_isRetryScheduled, true)) {
        m_parts.context.schedule(admissionRetryInterval, m_lifetime.guard([this] {
            m_isRetryScheduled = false;
            requestPass();
        }));
    }
}

/** Nullopt when no request can lead to a start at present. */
std::optional<AdmissionDemand> RunStarter::admissionDemand(const StepRef &step, const ReadyStep &ready)
{
    const QueueEntry &queue = *m_parts.queues.find(ready.queue);
    std::optional<PlacementRequest> request = requestFor({ step, *ready.tasks.begin() }, *ready.step, ready.queue);
    if (!request) {
        return std::nullopt;
    }
    const std::size_t wanted = ready.tasks.size();
    request->rack = rackOf(step, *ready.step);
    if (ready.step->isGang && request->rack.value().empty() && ready.step->wantsOneRack) {
        const std::vector<Label> racks = m_parts.placer.racks(request->service);
        request->rack = racks.empty() ? Label() : racks.front();
    }
    request->isRackNeeded = !ready.step->isGang && wantsOnlyRack(step, ready, request->rack);
    std::size_t admittedRoom = 0;
    if (ready.step->isGang) {
        requireTicket(step, queue, *request);
        for (const WorkerLink *const link : m_parts.placer.candidates(*request, m_parts.context.now())) {
            admittedRoom += RunPlacer::roomFor(*request, *link, wanted);
        }
    }
    request->isAdmitted = [this, &step](const WorkerLink &link) {
        return m_admission.mayObtainTicket(step, link.entry().id, link.life());
    };
    AdmissionDemand demand { step, queue.name, *queue.admission, {}, {} };
    std::size_t room = admittedRoom;
    for (const WorkerLink *const link : m_parts.placer.candidates(*request, m_parts.context.now())) {
        demand.candidates.push_back({ link->entry().id, link->life(), RunPlacer::roomFor(*request, *link, wanted) });
        room += demand.candidates.back().slots;
    }
    const bool isOfNoUse = ready.step->isGang && (room < wanted || admittedRoom >= wanted);
    if (demand.candidates.empty() || isOfNoUse) {
        return std::nullopt;
    }
    demand.need = { ready.step->isGang ? wanted - admittedRoom : wanted, ready.step->isGang };
    return demand;
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

bool RunStarter::mayWaitForRack(const ReadyStep &ready) const
{
    return m_parts.context.now() - ready.since < std::clamp(ready.step->estimate, minRackWait, maxRackWait);
}

bool RunStarter::isWaitingForRack(const ReadyStep &ready, const Label &rack) const
{
    return !rack.value().empty() && mayWaitForRack(ready) && !isRackAbsent(rack);
}

void RunStarter::noteSchedulableRacks()
{
    m_schedulableLabels.clear();
    if (m_parts.evacuations.evacuations().empty()) {
        return;
    }
    for (const auto &[id, link] : m_parts.fleet.links()) {
        if (m_parts.fleet.isSchedulable(*link)) {
            m_schedulableLabels.insert(link->entry().labels.begin(), link->entry().labels.end());
        }
    }
}

/** Whether waiting for a rack is futile, as an evacuation is under way and none of the rack's workers is schedulable.
 */
bool RunStarter::isRackAbsent(const Label &rack) const
{
    return !m_parts.evacuations.evacuations().empty() && !m_schedulableLabels.contains(rack);
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

/** The preferred rack of a step's tasks: that of its data, or that of its other tasks. */
Label RunStarter::rackOf(const StepRef &step, const StepSpec &spec) const
{
    if (!spec.dataRack.value().empty() || !spec.wantsOneRack) {
        return spec.dataRack;
    }
    for (std::uint32_t index = 0; index < spec.count; ++index) {
        for (const PlacedRun &run : task({ step, index }).runs) {
            if (const WorkerLink *const link = m_parts.fleet.find(run.worker)) {
                return link->entry().rack;
            }
        }
    }
    return {};
}

/** Restricts @p request to workers that have admitted the step, if its queue requires admission. */
void RunStarter::requireTicket(const StepRef &step, const QueueEntry &queue, PlacementRequest &request) const
{
    if (queue.admission) {
        request.isAdmitted = [this, &step](const WorkerLink &link) {
            return m_admission.isAdmitted(step, link.entry().id, link.life());
        };
    }
}

/** Whether the step can't be placed as no worker has admitted it. */
bool RunStarter::lacksTickets(const StepRef &step, const QueueEntry &queue) const
{
    return queue.admission && !m_admission.hasTickets(step);
}

/** Notes that a step wasn't placed completely, so that tickets are requested if its queue requires admission. */
void RunStarter::waitForTickets(const StepRef &step, const QueueEntry &queue)
{
    if (queue.admission) {
        m_waitingForTickets.push_back(step);
    }
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
    WorkerLink *const link = m_parts.fleet.find(worker);
    const Job *const job = m_parts.log.table().find(run.task.step.job);
    if (link == nullptr || job == nullptr || !link->runs().contains(run)) {
        return;
    }
    if (!m_parts.evacuations.confirm()) {
        m_deferredStarts.emplace_back(run, worker);
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
    link->start(run, job->spec->payload, job->task(run.task).checkpoint, ticket);
}

/** Sends the committed starts that waited for the list of evacuations, which has been read. */
void RunStarter::startDeferred()
{
    for (const auto &[run, worker] : std::exchange(m_deferredStarts, {})) {
        start(run, worker);
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
