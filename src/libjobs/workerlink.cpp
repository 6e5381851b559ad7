#include "workerlink.h"

#include "jobevents.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** Beyond the wait that the worker was allowed. */
constexpr Milliseconds lookMargin { 600 };
constexpr Milliseconds orderTimeout { 400 };
/** A start is refused by the worker after this time. */
constexpr Milliseconds startWindow { 1500 };
constexpr Milliseconds stopRetryDelay { 200 };
constexpr Milliseconds lookRetryDelay { 250 };
/** While ends wait to be recorded, the lease is renewed in these intervals. */
constexpr Milliseconds renewalInterval { 700 };
constexpr std::int64_t wholePace = 100;
constexpr std::int64_t paceStep = 10;

} // namespace

WorkerLink::WorkerLink(WorkerEntry entry, WriterToken token, WorkerTiming timing, TimePoint inheritedUntil,
                       JobContext &context, Handlers handlers)
    : m_entry(std::move(entry))
    , m_token(token)
    , m_timing(timing)
    , m_context(context)
    , m_handlers(std::move(handlers))
    , m_life(m_entry.life)
    , m_lease(timing.longestLease, inheritedUntil)
{
}

void WorkerLink::begin()
{
    look(Milliseconds(0));
}

void WorkerLink::setEntry(WorkerEntry entry)
{
    m_entry = std::move(entry);
    setListed(true);
}

void WorkerLink::setListed(bool isListed)
{
    if (m_isListed && !isListed) {
        m_unlistedSince = m_context.now();
    }
    m_isListed = isListed;
}

LiveRun WorkerLink::take(std::map<RunRef, LiveRun>::iterator place)
{
    LiveRun run = std::move(place->second);
    m_runs.erase(place);
    m_room.remove(run);
    return run;
}

void WorkerLink::inherit(LiveRun run)
{
    // One that never began, or began in an earlier life, is found absent by the first look.
    run.phase = RunPhase::Inherited;
    run.placedAt = m_context.now();
    m_room.add(run);
    m_runs.emplace(run.ref, std::move(run));
}

void WorkerLink::reserve(LiveRun run)
{
    run.phase = RunPhase::Committing;
    run.placedAt = m_context.now();
    run.progressAt = m_context.now();
    m_room.add(run);
    m_runs.emplace(run.ref, std::move(run));
}

void WorkerLink::release(const RunRef &run)
{
    if (const auto place = m_runs.find(run); place != m_runs.end()) {
        take(place);
    }
}

void WorkerLink::start(const RunRef &run, std::string payload, const CheckpointId &resumeFrom, std::string ticket)
{
    const auto place = m_runs.find(run);
    if (place == m_runs.end() || place->second.phase != RunPhase::Committing) {
        return;
    }
    LiveRun &live = place->second;
    live.phase = RunPhase::Starting;
    live.startBy = WorkerTime(m_lease.clockAt(m_context.now()).value() + startWindow.count());
    m_lease.noteGrant(live.startBy);
    order(StartOrder { m_token, run, std::move(payload), resumeFrom, live.startBy, std::move(ticket) },
          m_lifetime.guard([this, run](const WorkerResult &result) { handleStart(run, result); }));
}

void WorkerLink::handleStart(const RunRef &run, const WorkerResult &result)
{
    if (result) {
        m_lease.noteClock(result->clock, m_context.now());
    }
    const auto place = m_runs.find(run);
    if (place == m_runs.end()) {
        return;
    }
    LiveRun &live = place->second;
    if (result) {
        live.settledAt = m_context.now();
        if (live.phase == RunPhase::Starting) {
            live.phase = RunPhase::Running;
            live.progressAt = m_context.now();
            m_handlers.onStarted(live);
        }
        return;
    }
    const WorkerFailure failure = result.error().failure;
    if (failure == WorkerFailure::Unknown) {
        if (live.phase == RunPhase::Starting) {
            live.phase = RunPhase::Unsettled;
            sendStop(run);
            m_handlers.onUnsettled(live);
        }
        return;
    }
    if (failure == WorkerFailure::Fenced) {
        m_handlers.onFenced();
        return;
    }
    m_handlers.onRefused(take(place), failure);
}

void WorkerLink::stop(const RunRef &run)
{
    const auto place = m_runs.find(run);
    if (place == m_runs.end() || place->second.phase == RunPhase::Stopping) {
        return;
    }
    const bool isSent = place->second.phase == RunPhase::Unsettled;
    place->second.phase = RunPhase::Stopping;
    if (!isSent) {
        sendStop(run);
    }
}

void WorkerLink::sendStop(const RunRef &run)
{
    order(StopOrder { m_token, run },
          m_lifetime.guard([this, run](const WorkerResult &result) { handleStop(run, result); }));
}

void WorkerLink::handleStop(const RunRef &run, const WorkerResult &result)
{
    const auto place = m_runs.find(run);
    if (place == m_runs.end()) {
        return;
    }
    if (result) {
        m_lease.noteClock(result->clock, m_context.now());
        // Whatever was under way, it won't start any more.
        place->second.settledAt = m_context.now();
        place->second.phase = RunPhase::Stopping;
        return;
    }
    if (result.error().failure == WorkerFailure::Fenced) {
        m_handlers.onFenced();
        return;
    }
    m_context.schedule(stopRetryDelay, m_lifetime.guard([this, run] {
        if (m_runs.contains(run)) {
            sendStop(run);
        }
    }));
}

void WorkerLink::pace(const RunRef &run, std::uint32_t percent)
{
    const auto place = m_runs.find(run);
    if (place == m_runs.end() || place->second.phase != RunPhase::Running) {
        return;
    }
    place->second.previousPace = std::exchange(place->second.pace, percent);
    place->second.pacedAt = m_context.now();
    order(PaceOrder { m_token, run, percent }, m_lifetime.guard([this, run, percent](const WorkerResult &result) {
        const auto known = m_runs.find(run);
        if (result || known == m_runs.end() || known->second.pace != percent) {
            return;
        }
        // The next decision orders it again.
        known->second.pace = percent == 100 ? 0 : 100;
    }));
}

void WorkerLink::order(WorkerOrder order, JobDriver::WorkerHandler then)
{
    m_context.callWorker(m_entry.id, m_entry.address, std::move(order), orderTimeout, std::move(then));
}

Milliseconds WorkerLink::lookWait() const
{
    return m_room.servingRuns() > 0 ? m_timing.servingLookWait : m_timing.lookWait;
}

void WorkerLink::look(Milliseconds wait)
{
    if (m_lookTimer) {
        m_context.cancel(*m_lookTimer);
        m_lookTimer.reset();
    }
    LookOrder look;
    look.token = m_token;
    look.wait = wait;
    if (m_channel) {
        look.onlyOver = m_channel;
        look.acknowledged = m_acknowledged;
    }
    // A worker that doesn't answer would never be given up if each try might extend its lease.
    if (m_lease.knowsClock() && m_failedLooks == 0 && m_handlers.mayExtendLease()) {
        look.leaseUntil = WorkerTime(m_lease.clockAt(m_context.now()).value() + m_timing.lease.count());
        m_lease.noteGrant(*look.leaseUntil);
    }
    ++m_round;
    m_context.callWorker(
        m_entry.id, m_entry.address, look, wait + lookMargin,
        m_lifetime.guard([this, round = m_round, sentAt = m_context.now()](const WorkerResult &result) {
            if (round == m_round) {
                handleLook(sentAt, result);
            }
        }));
}

void WorkerLink::handleLook(TimePoint sentAt, const WorkerResult &result)
{
    if (result) {
        takeAnswer(sentAt, *result);
    } else {
        failLook(result.error().failure);
    }
}

void WorkerLink::takeAnswer(TimePoint sentAt, const WorkerAnswer &answer)
{
    const bool wasExtended = m_lease.knowsClock() && m_failedLooks == 0;
    m_failedLooks = 0;
    if (answer.life && *answer.life != m_life) {
        m_context.log(LogLevel::Info, events::workerNewLife,
                      { { "worker", m_entry.id.value() }, { "life", std::to_string(answer.life->value()) } });
        m_life = *answer.life;
        m_lease.beginLife();
    }
    m_lease.noteAnswer(answer.clock);
    if (m_channel != answer.channel) {
        m_channel = answer.channel;
        m_acknowledged = EndNumber(0);
        m_told = EndNumber(0);
    }
    m_lease.noteClock(answer.clock, m_context.now());
    takeRunning(answer);
    takeEnded(answer);
    dropAbsent(sentAt, answer);
    setReachable(true, "answers");
    m_handlers.onLooked();
    if (!wasExtended) {
        look(Milliseconds(0));
    } else if (m_acknowledged == m_told) {
        look(lookWait());
    } else {
        // The worker would answer at once as long as it lists ends that aren't acknowledged.
        continueLooking();
    }
}

void WorkerLink::continueLooking()
{
    m_lookTimer = m_context.schedule(renewalInterval, m_lifetime.guard([this] {
        m_lookTimer.reset();
        look(Milliseconds(0));
    }));
}

void WorkerLink::acknowledge(const EndMark &mark)
{
    if (m_channel != mark.channel || mark.number <= m_acknowledged) {
        return;
    }
    m_acknowledged = mark.number;
    if (m_lookTimer && m_acknowledged == m_told) {
        look(lookWait());
    }
}

EndMark WorkerLink::endMark() const
{
    return { m_channel.value_or(WorkerChannel(0)), m_told };
}

void WorkerLink::takeRunning(const WorkerAnswer &answer)
{
    for (const RunningRow &row : answer.running) {
        const auto place = m_runs.find(row.run);
        if (place == m_runs.end()) {
            takeStray(row);
            continue;
        }
        LiveRun &run = place->second;
        if (row.percent > run.percent || !run.wasReported) {
            run.progressAt = m_context.now();
        }
        run.percent = row.percent;
        run.gauge = row.gauge;
        run.checkpoint = row.checkpoint;
        run.wasReported = true;
        if (run.phase == RunPhase::Inherited || run.phase == RunPhase::Starting) {
            const bool isInherited = run.phase == RunPhase::Inherited;
            run.settledAt = m_context.now();
            run.phase = RunPhase::Running;
            m_handlers.onStarted(run);
            if (isInherited) {
                settlePace(run);
            }
        }
    }
}

/** Orders an inherited filler the pace that it seems to have, since the former writer's orders aren't known. */
void WorkerLink::settlePace(const LiveRun &run)
{
    if (!run.isFiller() || run.gauge <= 0) {
        return;
    }
    const std::int64_t percent = run.gauge * wholePace / std::max<std::int64_t>(run.step->need.processors.value(), 1);
    const std::int64_t rounded = (percent + paceStep - 1) / paceStep * paceStep;
    if (rounded < wholePace) {
        pace(run.ref, static_cast<std::uint32_t>(rounded));
    }
}

void WorkerLink::takeStray(const RunningRow &row)
{
    m_context.log(LogLevel::Info, events::strayRun,
                  { { "worker", m_entry.id.value() },
                    { "task", describe(row.run.task) },
                    { "run", std::to_string(row.run.number.value()) } });
    LiveRun run;
    run.ref = row.run;
    run.step = m_handlers.describeRun(row.run.task);
    run.phase = RunPhase::Stopping;
    run.settledAt = m_context.now();
    m_room.add(run);
    m_runs.emplace(run.ref, std::move(run));
    sendStop(row.run);
}

void WorkerLink::takeEnded(const WorkerAnswer &answer)
{
    for (const EndedRow &row : answer.ended) {
        if (row.number <= m_told) {
            continue;
        }
        m_told = row.number;
        if (const auto place = m_runs.find(row.run); place != m_runs.end()) {
            m_handlers.onEnded(take(place), row.end, row.checkpoint);
        }
    }
}

void WorkerLink::dropAbsent(TimePoint sentAt, const WorkerAnswer &answer)
{
    std::vector<RunRef> absent;
    for (const auto &[ref, run] : m_runs) {
        const bool isListed = std::ranges::find(answer.running, ref, &RunningRow::run) != answer.running.end();
        if (!isListed && isSurelyAbsent(run, sentAt, answer)) {
            absent.push_back(ref);
        }
    }
    for (const RunRef &ref : absent) {
        lose(ref, "not-listed");
    }
}

bool WorkerLink::isSurelyAbsent(const LiveRun &run, TimePoint sentAt, const WorkerAnswer &answer) const
{
    switch (run.phase) {
    case RunPhase::Committing:
        return false;
    case RunPhase::Inherited:
        // Orders of the former writer are refused from this look on.
        return true;
    case RunPhase::Starting:
    case RunPhase::Unsettled:
        return answer.clock > run.startBy && run.phase == RunPhase::Unsettled;
    case RunPhase::Running:
    case RunPhase::Stopping:
        return run.settledAt && *run.settledAt < sentAt;
    }
    return false;
}

void WorkerLink::lose(const RunRef &run, std::string_view reason)
{
    if (const auto place = m_runs.find(run); place != m_runs.end()) {
        m_handlers.onLost(take(place), reason);
    }
}

void WorkerLink::failLook(WorkerFailure failure)
{
    if (failure == WorkerFailure::Fenced) {
        m_handlers.onFenced();
        return;
    }
    // Another connection may reach another life of the worker, whose ends are numbered anew.
    m_channel.reset();
    ++m_failedLooks;
    if (m_failedLooks > 1) {
        setReachable(false, workerFailureName(failure));
    }
    const Milliseconds delay = m_failedLooks > 1 ? lookRetryDelay : Milliseconds(0);
    m_lookTimer = m_context.schedule(delay, m_lifetime.guard([this] {
        m_lookTimer.reset();
        look(Milliseconds(0));
    }));
    checkLease();
}

void WorkerLink::checkLease()
{
    if (m_isReachable || m_runs.empty()) {
        return;
    }
    if (m_context.now() < m_lease.overAt()) {
        return;
    }
    std::vector<RunRef> lost;
    for (const auto &[ref, run] : m_runs) {
        if (run.phase != RunPhase::Committing && run.phase != RunPhase::Starting) {
            lost.push_back(ref);
        }
    }
    for (const RunRef &ref : lost) {
        lose(ref, "lease-over");
    }
}

void WorkerLink::setReachable(bool isReachable, std::string_view reason)
{
    if (isReachable == m_isReachable) {
        return;
    }
    m_isReachable = isReachable;
    m_context.log(LogLevel::Info, isReachable ? events::workerReachable : events::workerSilent,
                  { { "worker", m_entry.id.value() },
                    { "reason", std::string(reason) },
                    { "runs", std::to_string(m_runs.size()) } });
    m_handlers.onReachability();
}

const WorkerEntry &WorkerLink::entry() const
{
    return m_entry;
}

WorkerLife WorkerLink::life() const
{
    return m_life;
}

const std::map<RunRef, LiveRun> &WorkerLink::runs() const
{
    return m_runs;
}

bool WorkerLink::isReachable() const
{
    return m_isReachable;
}

bool WorkerLink::isListed() const
{
    return m_isListed;
}

TimePoint WorkerLink::unlistedSince() const
{
    return m_unlistedSince;
}

const HeldRoom &WorkerLink::room() const
{
    return m_room;
}

} // namespace currantring
