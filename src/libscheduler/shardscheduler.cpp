#include "shardscheduler.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** Interval at which timeouts, retries and queued tasks are looked at. */
constexpr Milliseconds tickInterval(100);
/** Wait before an unconfirmed move is sent again. */
constexpr Milliseconds moveRetry(1000);
/** The writer is confirmed this often within one task lease. */
constexpr int confirmationsPerLease = 4;

} // namespace

ShardScheduler::ShardScheduler(ShardId shard, HostId self, TaskCharts charts, Context &context, Handlers handlers)
    : m_context(context)
    , m_handlers(std::move(handlers))
    , m_log(shard, std::move(self), std::move(charts), context,
            { [this] { activate(); },
              [this] {
                  m_handlers.onFenced();
              } })
    , m_core { context, m_log, {}, {}, {}, false, {}, {}, true }
    , m_queue(m_core,
              { [this](const AttemptKey &attempt) { m_driver.start(attempt); },
                [this](const TaskId &) {
                    sendMoves();
                } })
    , m_driver(m_core,
               { [this](const WorkerReport &report) { m_handlers.onReport(report); }, [this] { pumpSoon(); },
                 [this] {
                     m_log.checkWriter([](WriterCheck) {});
                 } })
    , m_desk(m_core, m_queue, [this](const TaskId &task) {
        pumpSoon();
        m_driver.drive(task);
    })
{
}

void ShardScheduler::setConfiguration(const Configuration &configuration)
{
    m_core.configuration = configuration;
    m_core.longestMargin = std::max(
        m_core.longestMargin, configuration.duration(Setting::TaskLease) + configuration.duration(Setting::ClockError));
    m_core.longestOutage = std::max(m_core.longestOutage, configuration.duration(Setting::OutageTerm));
    const std::chrono::seconds retention(configuration.value(Setting::EndedRetention));
    m_log.setLimits({ configuration.duration(Setting::GroupCommitTick), retention,
                      static_cast<std::uint64_t>(configuration.value(Setting::SnapshotSlots)) });
}

void ShardScheduler::setWorkers(const std::map<WorkerId, WorkerInfo> &workers)
{
    for (auto &[id, view] : m_core.workers) {
        view.listed = workers.contains(id);
    }
    for (const auto &[id, info] : workers) {
        m_core.workers[id].info = info;
        m_core.workers[id].listed = true;
    }
    std::erase_if(m_core.workers, [this](const auto &entry) {
        return !entry.second.listed && m_log.ledger().attemptsOn(entry.first).empty();
    });
}

void ShardScheduler::setFleet(FleetView fleet)
{
    m_queue.setFleet(std::move(fleet));
}

void ShardScheduler::setOutageRenewals(bool allowed)
{
    m_core.outageRenewals = allowed;
}

void ShardScheduler::claim(std::optional<Epoch> handedOver)
{
    m_handedOver = handedOver;
    m_log.claim();
}

void ShardScheduler::activate()
{
    m_core.activeSince = m_context.now();
    m_core.handedOver = m_handedOver && m_handedOver->value() + 1 == m_log.epoch().value();
    m_context.log(LogLevel::Info, "shard_taken_over",
                  { { "shard", std::to_string(m_log.shard().value()) },
                    { "epoch", std::to_string(m_log.epoch().value()) },
                    { "handed_over", m_core.handedOver ? "yes" : "no" },
                    { "tasks", std::to_string(m_log.ledger().activeTasks().size()) } });
    // Attempts may be on workers that the platform no longer lists; they are waited for like silent ones.
    for (const TaskId &id : m_log.ledger().activeTasks()) {
        const TaskState *task = m_log.ledger().find(id);
        if (task->attempt && !m_core.workers.contains(task->attempt->worker)) {
            WorkerView &view = m_core.workers[task->attempt->worker];
            view.info.id = task->attempt->worker;
            view.listed = false;
        }
    }
    m_handlers.onActive();
    tick();
}

void ShardScheduler::tick()
{
    if (m_log.state() != ShardLog::State::Active) {
        return;
    }
    confirmWriter();
    m_driver.tick();
    evictFromLeaving();
    if (!m_stopping) {
        m_queue.pump();
    }
    sendMoves();
    m_context.schedule(tickInterval, m_lifetime.guard([this] { tick(); }));
}

void ShardScheduler::confirmWriter()
{
    const Milliseconds interval = m_core.configuration.duration(Setting::TaskLease) / confirmationsPerLease;
    if (m_context.now() - m_log.lastConfirmed() >= interval) {
        m_log.checkWriter([](WriterCheck) {});
    }
}

void ShardScheduler::evictFromLeaving()
{
    if (m_log.isBlocked()) {
        return;
    }
    for (const auto &[id, worker] : m_core.workers) {
        const bool isLeaving = worker.info.state == WorkerState::Leaving || worker.saysLeaving;
        if (!isLeaving) {
            continue;
        }
        for (const TaskState *task : m_log.ledger().attemptsOn(id)) {
            if (task->state == "running") {
                const AttemptKey attempt { task->id, task->attempt->number };
                static_cast<void>(m_log.append(EvictionRequested { attempt, id, "worker-leaving", {}, {} }));
            }
        }
    }
}

void ShardScheduler::pumpSoon()
{
    if (m_pumpScheduled || m_stopping) {
        return;
    }
    m_pumpScheduled = true;
    m_context.schedule(Milliseconds(0), m_lifetime.guard([this] {
        m_pumpScheduled = false;
        m_queue.pump();
    }));
}

void ShardScheduler::sendMoves()
{
    // Sending may settle a move at once, which changes the set of active tasks.
    const std::set<TaskId> active = m_log.ledger().activeTasks();
    for (const TaskId &id : active) {
        const TaskState *task = m_log.ledger().find(id);
        if (task->state != "moving") {
            m_nextMoveSend.erase(id);
            continue;
        }
        if (!m_log.isCommitted(task->account.back()) || m_nextMoveSend[id] > m_context.now()) {
            continue;
        }
        m_nextMoveSend[id] = m_context.now() + moveRetry;
        m_handlers.onMove(
            TaskMove { m_log.shard(), *task->movedTo, id, task->lastEntry(), m_log.ledger().encodeTask(*task) });
    }
}

void ShardScheduler::confirmMove(const TaskId &task)
{
    m_nextMoveSend.erase(task);
    static_cast<void>(m_log.append(TaskMoveConfirmed { task }));
}

void ShardScheduler::stop(std::function<void(bool)> done)
{
    if (std::exchange(m_stopAsked, true)) {
        return;
    }
    // Nobody can take the shard over while the store is down, and until then this host renews the leases.
    m_log.checkWriter(m_lifetime.guard([this, done = std::move(done)](WriterCheck verdict) {
        if (verdict != WriterCheck::StillWriter || m_log.state() != ShardLog::State::Active) {
            m_stopAsked = false;
            return;
        }
        m_stopping = true;
        m_log.stop(done);
    }));
}

TaskDesk &ShardScheduler::desk()
{
    return m_desk;
}

bool ShardScheduler::isActive() const
{
    return m_log.state() == ShardLog::State::Active && !m_stopping;
}

const ShardLog &ShardScheduler::log() const
{
    return m_log;
}

bool ShardScheduler::allWorkersKnowEpoch() const
{
    return std::ranges::all_of(m_core.workers, [this](const auto &entry) {
        return entry.second.knowsEpoch || m_log.ledger().attemptsOn(entry.first).empty();
    });
}

CommandFence ShardScheduler::fence() const
{
    return m_core.fence();
}

const std::map<WorkerId, WorkerView> &ShardScheduler::workers() const
{
    return m_core.workers;
}

Resources ShardScheduler::largestRoom() const
{
    return m_queue.largestRoom();
}

} // namespace currantring
