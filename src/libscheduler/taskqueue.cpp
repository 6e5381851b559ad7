#include "taskqueue.h"

#include <algorithm>

namespace currantring {

namespace {

/** How long no worker may be large enough before a task is ended for it; the list of workers lags. */
constexpr Milliseconds unplaceableAfter(5000);
/** Least stay of a task in a shard's queue before it is moved on; without it tasks would go round a full fleet. */
constexpr Milliseconds leastStay(1000);
/** Stay after which a task may go back to the worker that it came from. */
constexpr Milliseconds formerWorkerAfter(3000);

/** Orders urgent work first, then by deadline; watchers have none and come after work that has. */
bool comesBefore(const TaskState *left, const TaskState *right)
{
    const auto key = [](const TaskState *task) {
        const bool isWatcher = task->spec.kind == TaskKind::Watcher;
        return std::tuple(!task->spec.urgent, isWatcher, isWatcher ? WallTime(0) : task->spec.deadline,
                          task->account.front().at, task->id);
    };
    return key(left) < key(right);
}

} // namespace

TaskQueue::TaskQueue(ShardCore &core, Handlers handlers)
    : m_core(core)
    , m_handlers(std::move(handlers))
{
}

void TaskQueue::setFleet(FleetView fleet)
{
    m_fleet = std::move(fleet);
}

std::vector<const TaskState *> TaskQueue::queuedTasks() const
{
    std::vector<const TaskState *> queued;
    const TaskLedger &ledger = m_core.log.ledger();
    for (const TaskId &id : ledger.activeTasks()) {
        const TaskState *task = ledger.find(id);
        if (task->state == "queued") {
            queued.push_back(task);
        }
    }
    std::ranges::sort(queued, comesBefore);
    return queued;
}

void TaskQueue::pump()
{
    // Without an answer from the store nothing that needs a record is begun.
    if (m_core.log.state() != ShardLog::State::Active || m_core.log.isBlocked() || !m_core.log.storeAnswers()) {
        return;
    }
    m_reasons.clear();
    const std::vector<const TaskState *> queued = queuedTasks();
    std::map<TaskId, TimePoint> arrived;
    for (const TaskState *task : queued) {
        const auto known = m_arrivedAt.find(task->id);
        arrived[task->id] = known == m_arrivedAt.end() ? m_core.context.now() : known->second;
    }
    m_arrivedAt = std::move(arrived);
    for (const TaskState *task : queued) {
        decide(*task);
    }
}

void TaskQueue::decide(const TaskState &task)
{
    if (endIfHopeless(task)) {
        return;
    }
    const std::vector<PlacementCandidate> fitting = candidates(task);
    if (!fitting.empty()) {
        place(task, fitting.at(m_policy.choose(task.spec.declared, fitting, m_core.context.random())).worker);
        return;
    }
    if (moveElsewhere(task) || returnToFormer(task) || endIfUnplaceable(task)) {
        return;
    }
    if (!m_reasons.contains(task.id)) {
        m_reasons[task.id] = "no-room";
    }
}

bool TaskQueue::endIfHopeless(const TaskState &task)
{
    const Scope scope { task.owner, {}, {}, {} };
    const auto limit = static_cast<std::uint32_t>(m_core.configuration.value(Setting::AttemptLimit, scope));
    if (task.failures >= limit) {
        end(task, TaskEnd::Exhausted, task.detail.empty() ? "attempt-limit" : task.detail);
        return true;
    }
    if (task.spec.kind == TaskKind::Batch && task.spec.deadline <= m_core.context.wallNow()) {
        end(task, TaskEnd::Expired, task.mayHaveRun ? "deadline passed before it could resume" : "deadline passed");
        return true;
    }
    return false;
}

void TaskQueue::end(const TaskState &task, TaskEnd how, std::string detail)
{
    m_core.context.log(LogLevel::Warning, "task_ended",
                       { { "task", task.id.value() },
                         { "owner", task.owner.value() },
                         { "end", std::string(taskEndName(how)) },
                         { "detail", detail } });
    m_core.context.count("tasks_ended", std::string(taskEndName(how)));
    static_cast<void>(m_core.log.append(TaskEnded { task.id, how, std::move(detail) }));
}

std::vector<PlacementCandidate> TaskQueue::candidates(const TaskState &task) const
{
    std::vector<PlacementCandidate> fitting;
    for (const auto &[id, worker] : m_core.workers) {
        const Resources free = m_core.freeOn(worker);
        const bool fits = m_core.isUsable(worker) && free.covers(task.spec.declared);
        // The worker that it was evicted from, or failed on, is the last resort.
        if (fits && id != task.lastWorker) {
            fitting.push_back({ id, worker.info.capacity, free, m_core.log.ledger().attemptsOn(id).size() });
        }
    }
    return fitting;
}

bool TaskQueue::returnToFormer(const TaskState &task)
{
    const auto former = m_core.workers.find(task.lastWorker);
    const bool hasWaited = m_core.context.now() - m_arrivedAt.at(task.id) >= formerWorkerAfter;
    if (former == m_core.workers.end() || !hasWaited || !m_core.isUsable(former->second)
        || !m_core.freeOn(former->second).covers(task.spec.declared)) {
        return false;
    }
    place(task, task.lastWorker);
    return true;
}

void TaskQueue::place(const TaskState &task, const WorkerId &worker)
{
    const AttemptKey attempt { task.id, AttemptNumber(task.attempts + 1) };
    const AttemptPlaced record { attempt, worker, task.checkpoint };
    static_cast<void>(m_core.log.append(record, task.spec.urgent, m_lifetime.guard([this, attempt](bool committed) {
        if (committed) {
            m_handlers.onPlaced(attempt);
        }
    })));
}

bool TaskQueue::moveElsewhere(const TaskState &task)
{
    // Urgent work can't spend its time to start in a shard without room; it is moved at once, but only the first time.
    const bool isFirstMove = task.spec.urgent && task.account.size() == 1;
    if (!isFirstMove && m_core.context.now() - m_arrivedAt.at(task.id) < leastStay) {
        return false;
    }
    const ShardRoom *best = nullptr;
    for (const ShardRoom &room : m_fleet.otherShards) {
        const bool isBetter = best == nullptr || best->largestRoom.processors < room.largestRoom.processors;
        if (room.largestRoom.covers(task.spec.declared) && isBetter) {
            best = &room;
        }
    }
    if (best == nullptr) {
        return false;
    }
    static_cast<void>(m_core.log.append(TaskMovedOut { task.id, best->shard }, task.spec.urgent,
                                        m_lifetime.guard([this, id = task.id](bool committed) {
                                            if (committed) {
                                                m_handlers.onMovedOut(id);
                                            }
                                        })));
    return true;
}

bool TaskQueue::endIfUnplaceable(const TaskState &task)
{
    const auto isLargeEnough = [&](const Resources &capacity) {
        return capacity.covers(task.spec.declared);
    };
    if (!m_fleet.isKnown || std::ranges::any_of(m_fleet.capacities, isLargeEnough)) {
        m_tooLargeSince.erase(task.id);
        return false;
    }
    const auto [since, isNew] = m_tooLargeSince.emplace(task.id, m_core.context.now());
    if (m_core.context.now() - since->second < unplaceableAfter) {
        m_reasons[task.id] = "no-worker-large-enough";
        return false;
    }
    m_tooLargeSince.erase(since);
    end(task, TaskEnd::Unplaceable, "no worker of the fleet has this much");
    return true;
}

std::string TaskQueue::waitingReason(const TaskId &task) const
{
    const auto found = m_reasons.find(task);
    return found == m_reasons.end() ? std::string() : found->second;
}

Resources TaskQueue::largestRoom() const
{
    Resources largest;
    for (const auto &[id, worker] : m_core.workers) {
        const Resources free = m_core.freeOn(worker);
        if (m_core.isUsable(worker) && free.processors > largest.processors) {
            largest = free;
        }
    }
    return largest;
}

} // namespace currantring
