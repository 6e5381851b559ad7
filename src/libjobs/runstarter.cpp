#include "runstarter.h"

#include "jobevents.h"
#include "pricelist.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** A task waits for its rack as long as the detour would take, within these bounds. */
constexpr Milliseconds leastRackPatience { 300 };
constexpr Milliseconds longestRackPatience { 3000 };
/** Passes are so far apart at least; what waits meanwhile is placed together. */
constexpr Milliseconds passInterval { 20 };
/** Workers that one call for admission names. */
constexpr std::size_t admissionCandidates = 30;

} // namespace

RunStarter::RunStarter(Parts parts, LossHandler onLoss)
    : m_parts(parts)
    , m_onLoss(std::move(onLoss))
    , m_admission(parts.context, [this] { requestPass(); })
{
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
    if (!m_parts.fleet.isListed()) {
        return;
    }
    m_lastPass = m_parts.context.now();
    m_noRoom.clear();
    std::vector<std::pair<JobUrgency, StepRef>> order;
    for (const auto &[step, ready] : m_ready.steps()) {
        if (const QueueEntry *const queue = m_parts.queues.find(ready.queue)) {
            order.emplace_back(urgencyOfStep(step, ready, *queue), step);
        }
    }
    std::ranges::sort(order);
    for (const auto &[urgency, step] : order) {
        placeStep(step);
    }
}

JobUrgency RunStarter::urgencyOfStep(const StepRef &step, const ReadyStep &ready, const QueueEntry &queue) const
{
    const WallTime wallNow = m_parts.context.wallNow();
    if (ready.step->isLasting) {
        const Milliseconds waited = m_parts.context.now() - ready.since;
        return urgencyOfLasting(queue, WallTime(wallNow.value() - waited.count()));
    }
    return urgencyOf(*m_parts.log.table().find(step.job), step.occurrence, queue, wallNow);
}

void RunStarter::placeStep(const StepRef &step)
{
    const auto found = m_ready.steps().find(step);
    if (found == m_ready.steps().end()) {
        return;
    }
    // Placing takes tasks out of the original.
    const ReadyStep ready = found->second;
    if (ready.step->isGang) {
        placeGang(step, ready);
    } else {
        placeTasks(step, ready);
    }
}

const Task *RunStarter::taskOf(const TaskRef &ref) const
{
    return m_parts.log.table().find(ref.step.job)->task(ref);
}

std::optional<PlacementWish> RunStarter::wishFor(const TaskRef &task, const StepSpec &step,
                                                 const QueueName &queue) const
{
    const QueueEntry *const entry = m_parts.queues.find(queue);
    const Job *const job = m_parts.log.table().find(task.step.job);
    if (entry == nullptr || job == nullptr || job->task(task) == nullptr) {
        return std::nullopt;
    }
    PlacementWish wish { task.step, step, entry->service, m_parts.health.failedOn(task), false, {}, {}, false, {} };
    const std::uint32_t failures = job->failuresOf(task);
    wish.isLastAttempt = !step.isLasting && failures > 0 && failures + 1 >= entry->attemptLimit;
    for (const PlacedRun &run : job->task(task)->runs) {
        wish.taken.push_back(run.worker);
    }
    return wish;
}

/** The rack that a step's tasks do best on: that of the data, or that of the other tasks. */
Label RunStarter::rackOf(const StepRef &step, const StepSpec &spec) const
{
    if (!spec.dataRack.value().empty() || !spec.wantsOneRack) {
        return spec.dataRack;
    }
    const Job &job = *m_parts.log.table().find(step.job);
    for (std::uint32_t index = 0; index < spec.count; ++index) {
        for (const PlacedRun &run : job.task({ step, index })->runs) {
            if (const WorkerLink *const link = m_parts.fleet.find(run.worker)) {
                return link->entry().rack;
            }
        }
    }
    return {};
}

/** Narrows @p wish to the workers that have admitted the step, where its queue asks for that. */
void RunStarter::requireTicket(const StepRef &step, const QueueEntry &queue, PlacementWish &wish) const
{
    if (queue.needsAdmission) {
        wish.isAdmitted = [this, &step](const WorkerId &worker) {
            return !m_admission.ticket(step, worker).empty();
        };
    }
}

/** Asks for admission to the workers that would do best for a step that found no place. */
void RunStarter::askAdmission(const StepRef &step, const QueueEntry &queue, PlacementWish wish)
{
    if (!queue.needsAdmission) {
        return;
    }
    wish.isAdmitted = [this, &step](const WorkerId &worker) {
        return m_admission.mayObtainTicket(step, worker);
    };
    m_admission.ask(step, m_parts.placer.candidates(wish, admissionCandidates, m_parts.context.now()));
}

void RunStarter::placeTasks(const StepRef &step, const ReadyStep &ready)
{
    const QueueEntry *const queue = m_parts.queues.find(ready.queue);
    const TimePoint now = m_parts.context.now();
    const Milliseconds patience = std::clamp(ready.step->estimate, leastRackPatience, longestRackPatience);
    std::optional<PriceList> prices;
    for (const std::uint32_t index : ready.tasks) {
        const TaskRef task { step, index };
        std::optional<PlacementWish> wish = wishFor(task, *ready.step, ready.queue);
        if (!wish) {
            return;
        }
        requireTicket(step, *queue, *wish);
        wish->rack = rackOf(step, *ready.step);
        wish->isRackNeeded = !wish->rack.value().empty() && now - ready.since < patience;
        WorkerLink *const link = choose(*wish, prices);
        if (link == nullptr) {
            askAdmission(step, *queue, *wish);
            return;
        }
        const Choice choice { task, link, RunNumber(taskOf(task)->lastRun.value() + 1) };
        record(choice, reserve(choice, ready));
        if (prices) {
            prices->reprice(*link);
        }
    }
}

/** Takes the worker from the step's prices where these hold for the task. */
WorkerLink *RunStarter::choose(const PlacementWish &wish, std::optional<PriceList> &prices)
{
    if (m_noRoom.isHopeless(wish)) {
        return nullptr;
    }
    WorkerLink *link = nullptr;
    if (wish.isPlain()) {
        if (!prices || !prices->holdsFor(wish)) {
            prices.emplace(m_parts.placer, m_parts.fleet, wish, m_parts.context.now());
        }
        link = prices->best();
    } else {
        link = m_parts.placer.choose(wish, m_parts.context.now());
    }
    if (link == nullptr) {
        m_noRoom.noteNone(wish);
    }
    return link;
}

/** The members of a gang start together or not at all; where they want one rack, the racks are tried in turn. */
void RunStarter::placeGang(const StepRef &step, const ReadyStep &ready)
{
    if (ready.tasks.size() < ready.step->count) {
        return;
    }
    const std::optional<PlacementWish> wish = wishFor({ step, 0 }, *ready.step, ready.queue);
    if (!wish) {
        return;
    }
    const Label dataRack = ready.step->dataRack;
    if (!dataRack.value().empty() && tryGang(step, ready, dataRack)) {
        return;
    }
    if (ready.step->wantsOneRack) {
        for (const Label &rack : m_parts.placer.racks(wish->service)) {
            if (tryGang(step, ready, rack)) {
                return;
            }
        }
    }
    const Milliseconds patience = std::clamp(ready.step->estimate, leastRackPatience, longestRackPatience);
    const bool mayScatter = dataRack.value().empty() && !ready.step->wantsOneRack;
    const bool mayWait = !mayScatter && m_parts.context.now() - ready.since < patience;
    if (mayWait || !tryGang(step, ready, {})) {
        askAdmission(step, *m_parts.queues.find(ready.queue), *wish);
    }
}

bool RunStarter::tryGang(const StepRef &step, const ReadyStep &ready, const Label &rack)
{
    const QueueEntry *const queue = m_parts.queues.find(ready.queue);
    std::uint32_t number = 0;
    for (std::uint32_t index = 0; index < ready.step->count; ++index) {
        number = std::max(number, taskOf({ step, index })->lastRun.value());
    }
    std::vector<std::pair<Choice, LiveRun>> chosen;
    for (std::uint32_t index = 0; index < ready.step->count; ++index) {
        PlacementWish wish = *wishFor({ step, index }, *ready.step, ready.queue);
        wish.rack = rack;
        wish.isRackNeeded = !rack.value().empty();
        requireTicket(step, *queue, wish);
        WorkerLink *const link = m_parts.placer.choose(wish, m_parts.context.now());
        if (link == nullptr) {
            for (const auto &[choice, run] : chosen) {
                choice.link->release(run.ref);
            }
            return false;
        }
        const Choice choice { { step, index }, link, RunNumber(number + 1) };
        chosen.emplace_back(choice, reserve(choice, ready));
    }
    for (const auto &[choice, run] : chosen) {
        record(choice, run);
    }
    return true;
}

LiveRun RunStarter::reserve(const Choice &choice, const ReadyStep &ready)
{
    LiveRun run;
    run.ref = { choice.task, choice.number };
    run.step = ready.step;
    run.queue = ready.queue;
    run.checkpoint = taskOf(choice.task)->checkpoint;
    choice.link->reserve(run);
    return run;
}

void RunStarter::record(const Choice &choice, const LiveRun &run)
{
    const WorkerId worker = choice.link->entry().id;
    m_ready.remove(choice.task);
    m_parts.context.log(LogLevel::Info, events::runPlaced,
                        { { "task", describe(choice.task) },
                          { "run", std::to_string(run.ref.number.value()) },
                          { "worker", worker.value() },
                          { "image", run.step->image.value() },
                          { "held", std::to_string(choice.link->room().held().processors.value()) },
                          { "fill", std::to_string(choice.link->room().fillerDemand().value()) } });
    m_parts.log.append(RunPlaced { run.ref, worker, choice.link->life() }, RecordUrgency::Urgent,
                       m_lifetime.guard([this, started = run.ref, worker] { start(started, worker); }));
}

void RunStarter::start(const RunRef &run, const WorkerId &worker)
{
    WorkerLink *const link = m_parts.fleet.find(worker);
    const Job *const job = m_parts.log.table().find(run.task.step.job);
    if (link == nullptr || job == nullptr || !link->runs().contains(run)) {
        return;
    }
    const bool isDone = job->isClosed() || job->task(run.task)->isDone;
    if (isDone || !link->isReachable()) {
        const LiveRun live = link->runs().at(run);
        link->release(run);
        m_onLoss(worker, live, isDone ? "not-needed" : "worker-silent");
        return;
    }
    link->start(run, job->spec->payload, job->task(run.task)->checkpoint, m_admission.ticket(run.task.step, worker));
}

} // namespace currantring
