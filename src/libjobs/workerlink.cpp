#include "workerlink.h"

#include "jobevents.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** Added to the wait of a poll to give its timeout. */
constexpr Milliseconds pollTimeoutMargin { 600 };
constexpr Milliseconds orderTimeout { 400 };
constexpr Milliseconds stopRetryDelay { 200 };
constexpr Milliseconds pollRetryDelay { 250 };
/** Interval of lease renewals while ended runs wait to be recorded. */
constexpr Milliseconds renewalInterval { 700 };
constexpr std::int64_t fullPace = 100;
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
    , m_target { m_entry.id, m_entry.address, {}, {} }
{
    noteChange();
    updateDeparture();
}

void WorkerLink::begin()
{
    poll(Milliseconds(0));
}

void WorkerLink::setEntry(WorkerEntry entry)
{
    if (entry.capacity != m_entry.capacity) {
        noteChange();
    }
    m_entry = std::move(entry);
    m_target.address = m_entry.address;
    setListed(true);
    updateDeparture();
}

void WorkerLink::updateDeparture()
{
    if (m_entry.standing != WorkerStanding::Draining) {
        m_leavesAt.reset();
        return;
    }
    // An entry that a silent worker doesn't renew must not postpone the time.
    const TimePoint announced = m_context.now() + m_entry.remaining;
    m_leavesAt = std::min(m_leavesAt.value_or(announced), announced);
}

void WorkerLink::setListed(bool isListed)
{
    if (m_isListed && !isListed) {
        m_unlistedSince = m_context.now();
    }
    m_isListed = isListed;
}

void WorkerLink::limitInherited(TimePoint until)
{
    m_lease.limitInherited(until);
    if (m_expiryTimer) {
        m_context.cancel(*m_expiryTimer);
        m_expiryTimer.reset();
        checkLeaseExpiry();
    }
}

void WorkerLink::noteChange()
{
    static std::uint64_t last = 0;
    m_revision = ++last;
}

void WorkerLink::addRun(LiveRun run)
{
    m_reserved.add(run);
    m_runs.emplace(run.ref, std::move(run));
    noteChange();
}

LiveRun WorkerLink::removeRun(std::map<RunRef, LiveRun>::iterator place)
{
    LiveRun run = std::move(place->second);
    m_runs.erase(place);
    m_reserved.remove(run);
    noteChange();
    return run;
}

void WorkerLink::inherit(LiveRun run)
{
    // A run that never started, or started before the worker restarted, is missing from the first answer.
    run.phase = RunPhase::Inherited;
    run.placedAt = m_context.now();
    addRun(std::move(run));
}

void WorkerLink::reserve(LiveRun run)
{
    run.phase = RunPhase::Committing;
    run.placedAt = m_context.now();
    run.progressAt = m_context.now();
    addRun(std::move(run));
}

void WorkerLink::release(const RunRef &run)
{
    if (const auto place = m_runs.find(run); place != m_runs.end()) {
        removeRun(place);
    }
}

void WorkerLink::start(const RunRef &run, const GrantTerm &term, std::string payload, const CheckpointId &resumeFrom,
                       std::string ticket)
{
    const auto place = m_runs.find(run);
    if (place == m_runs.end() || place->second.phase != RunPhase::Committing) {
        return;
    }
    LiveRun &live = place->second;
    live.phase = RunPhase::Starting;
    live.startBy = m_lease.grant(term);
    sendStart(std::make_shared<const StartOrder>(
                  StartOrder { m_token, run, std::move(payload), resumeFrom, live.startBy, std::move(ticket) }),
              IfNotSent::Hold);
}

void WorkerLink::sendStart(const std::shared_ptr<const StartOrder> &order, IfNotSent then)
{
    sendOrder(*order, m_lifetime.guard([this, order, then](const WorkerResult &result) {
        const bool isUnsent = !result && result.error().failure == WorkerFailure::NotSent;
        if (isUnsent && then == IfNotSent::Hold && isStarting(order->run)) {
            holdStart(order);
        } else {
            handleStart(order->run, result);
        }
    }));
}

bool WorkerLink::isStarting(const RunRef &run) const
{
    const auto place = m_runs.find(run);
    return place != m_runs.end() && place->second.phase == RunPhase::Starting;
}

void WorkerLink::holdStart(const std::shared_ptr<const StartOrder> &order)
{
    m_context.log(LogLevel::Info, events::startHeld,
                  { { "task", describe(order->run.task) },
                    { "run", std::to_string(order->run.number.value()) },
                    { "worker", m_entry.id.value() } });
    m_heldStarts.push_back(order);
    if (m_heldStarts.size() == 1) {
        identifyChannel();
    }
}

/** Polls over a connection for orders, without a lease: the answer tells to which life such connections lead. */
void WorkerLink::identifyChannel()
{
    PollOrder order;
    order.token = m_token;
    order.isOverOrderChannel = true;
    sendOrder(order, m_lifetime.guard([this](const WorkerResult &result) { handleIdentity(result); }));
}

void WorkerLink::handleIdentity(const WorkerResult &result)
{
    const auto held = std::exchange(m_heldStarts, {});
    if (!result && result.error().failure == WorkerFailure::Fenced) {
        m_handlers.onFenced();
        return;
    }
    const bool isKnownLife = result && result->life == m_life;
    if (isKnownLife) {
        m_target.knownLife = std::max(m_target.knownLife, result->establishedBefore);
    }
    for (const auto &order : held) {
        if (isStarting(order->run) && m_handlers.isEvacuated()) {
            reportLost(order->run, "evacuated");
        } else if (isKnownLife && isStarting(order->run)) {
            sendStart(order, IfNotSent::Refuse);
        } else {
            refuseStart(order->run, WorkerFailure::NotSent);
        }
    }
    if (result && !isKnownLife) {
        // The poll that waits reaches the former life or none.
        m_channel.reset();
        poll(Milliseconds(0));
    }
}

void WorkerLink::refuseStart(const RunRef &run, WorkerFailure failure)
{
    if (const auto place = m_runs.find(run); place != m_runs.end()) {
        m_handlers.onRefused(removeRun(place), failure);
    }
}

void WorkerLink::handleStart(const RunRef &run, const WorkerResult &result)
{
    // The clock in the answer isn't noted: it may be that of a life that the writer doesn't know yet.
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
    refuseStart(run, failure);
}

void WorkerLink::stop(const RunRef &run)
{
    const auto place = m_runs.find(run);
    if (place == m_runs.end() || place->second.phase == RunPhase::Stopping) {
        return;
    }
    const bool isStopSent = place->second.phase == RunPhase::Unsettled;
    place->second.phase = RunPhase::Stopping;
    if (!isStopSent) {
        sendStop(run);
    }
}

void WorkerLink::sendStop(const RunRef &run)
{
    sendOrder(StopOrder { m_token, run },
              m_lifetime.guard([this, run](const WorkerResult &result) { handleStop(run, result); }));
}

void WorkerLink::handleStop(const RunRef &run, const WorkerResult &result)
{
    const auto place = m_runs.find(run);
    if (place == m_runs.end()) {
        return;
    }
    if (result) {
        // Any start order still in flight is refused from now on.
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
    noteChange();
    sendOrder(PaceOrder { m_token, run, percent }, m_lifetime.guard([this, run, percent](const WorkerResult &result) {
        const auto known = m_runs.find(run);
        if (result || known == m_runs.end() || known->second.pace != percent) {
            return;
        }
        // The recorded pace differs from the wanted one, so that the next decision sends the order again.
        known->second.pace = percent == 100 ? 0 : 100;
        noteChange();
    }));
}

void WorkerLink::sendOrder(WorkerOrder order, JobDriver::WorkerHandler then)
{
    callWorker(std::move(order), orderTimeout, std::move(then));
}

void WorkerLink::callWorker(WorkerOrder order, Milliseconds timeout, JobDriver::WorkerHandler then)
{
    m_context.callWorker(m_target, std::move(order), timeout, std::move(then));
}

Milliseconds WorkerLink::pollWait() const
{
    return m_reserved.servingRuns() > 0 ? m_timing.servingPollWait : m_timing.pollWait;
}

void WorkerLink::poll(Milliseconds wait)
{
    if (m_pollTimer) {
        m_context.cancel(*m_pollTimer);
        m_pollTimer.reset();
    }
    PollOrder pollOrder;
    pollOrder.token = m_token;
    pollOrder.wait = wait;
    if (m_channel) {
        pollOrder.onlyOver = m_channel;
        pollOrder.acknowledged = m_acknowledged;
    }
    if (canExtendLease()) {
        const std::optional<GrantTerm> term = m_handlers.grantLease();
        pollOrder.leaseUntil = term ? std::optional(m_lease.grant(*term)) : std::nullopt;
    }
    ++m_round;
    callWorker(pollOrder, wait + pollTimeoutMargin,
               m_lifetime.guard([this, round = m_round, sentAt = m_context.now()](const WorkerResult &result) {
                   if (round == m_round) {
                       handlePoll(sentAt, result);
                   }
               }));
}

/**
 * Whether a poll that is sent now may name a time. Over a new connection it may reach a later life, whose clock isn't
 * known. Retries don't: otherwise the lease of an unresponsive worker would never be known to expire.
 */
bool WorkerLink::canExtendLease() const
{
    return m_channel && m_lease.hasClockSample() && m_failedPolls == 0;
}

void WorkerLink::handlePoll(TimePoint sentAt, const WorkerResult &result)
{
    if (result) {
        applyAnswer(sentAt, *result);
    } else {
        handlePollFailure(result.error().failure);
    }
}

void WorkerLink::applyAnswer(TimePoint sentAt, const WorkerAnswer &answer)
{
    const bool leaseWasRequested = canExtendLease();
    m_failedPolls = 0;
    if (answer.life && *answer.life != m_life) {
        m_context.log(LogLevel::Info, events::workerNewLife,
                      { { "worker", m_entry.id.value() }, { "life", std::to_string(answer.life->value()) } });
        m_life = *answer.life;
        m_target.formerLives = m_target.knownLife;
        m_lease.noteRestart();
    }
    if (answer.life) {
        m_target.knownLife = std::max(m_target.knownLife, answer.establishedBefore);
    }
    m_lease.noteAnswer(answer.clock, m_context.now());
    if (m_channel != answer.channel) {
        m_channel = answer.channel;
        m_acknowledged = EndNumber(0);
        m_reported = EndNumber(0);
    }
    m_lease.noteClock(answer.clock, m_context.now());
    updateRunning(answer);
    const std::optional<EndCursor> newEnds = reportEnded(answer);
    removeAbsent(sentAt, answer);
    setReachable(true, "answers");
    m_handlers.onPolled(newEnds);
    if (!leaseWasRequested) {
        poll(Milliseconds(0));
    } else if (m_acknowledged == m_reported) {
        poll(pollWait());
    } else {
        // A worker with unacknowledged ended runs answers at once, so polling without a delay would loop.
        schedulePoll();
    }
}

void WorkerLink::schedulePoll()
{
    m_pollTimer = m_context.schedule(renewalInterval, m_lifetime.guard([this] {
        m_pollTimer.reset();
        poll(Milliseconds(0));
    }));
}

void WorkerLink::acknowledge(const EndCursor &cursor)
{
    if (m_channel != cursor.channel || cursor.number <= m_acknowledged) {
        return;
    }
    m_acknowledged = cursor.number;
    if (m_pollTimer && m_acknowledged == m_reported) {
        poll(pollWait());
    }
}

void WorkerLink::updateRunning(const WorkerAnswer &answer)
{
    noteChange();
    for (auto &[ref, run] : m_runs) {
        run.isListed = false;
    }
    for (const RunningRow &row : answer.running) {
        const auto place = m_runs.find(row.run);
        if (place == m_runs.end()) {
            stopUntracked(row);
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
        run.isListed = true;
        if (run.phase == RunPhase::Inherited || run.phase == RunPhase::Starting) {
            const bool isInherited = run.phase == RunPhase::Inherited;
            run.settledAt = m_context.now();
            run.phase = RunPhase::Running;
            m_handlers.onStarted(run);
            if (isInherited) {
                restorePace(run);
            }
        }
    }
}

/** Sets the pace of an inherited filler from its measured usage; the previous writer's orders aren't known. */
void WorkerLink::restorePace(const LiveRun &run)
{
    if (!run.isFiller() || run.gauge <= 0) {
        return;
    }
    const std::int64_t percent = run.gauge * fullPace / std::max<std::int64_t>(run.step->need.processors.value(), 1);
    const std::int64_t rounded = (percent + paceStep - 1) / paceStep * paceStep;
    if (rounded < fullPace) {
        pace(run.ref, static_cast<std::uint32_t>(rounded));
    }
}

void WorkerLink::stopUntracked(const RunningRow &row)
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
    run.isListed = true;
    addRun(std::move(run));
    sendStop(row.run);
}

/** Returns the position after the ends that are new, if there are any. */
std::optional<EndCursor> WorkerLink::reportEnded(const WorkerAnswer &answer)
{
    const EndNumber before = m_reported;
    std::vector<RunRef> untracked;
    for (const EndedRow &row : answer.ended) {
        if (row.number <= m_reported) {
            continue;
        }
        m_reported = row.number;
        if (const auto place = m_runs.find(row.run); place != m_runs.end()) {
            m_handlers.onEnded(removeRun(place), row.end, row.checkpoint);
        } else {
            untracked.push_back(row.run);
        }
    }
    if (!untracked.empty()) {
        m_context.log(LogLevel::Info, events::endsUntracked,
                      { { "worker", m_entry.id.value() },
                        { "count", std::to_string(untracked.size()) },
                        { "task", describe(untracked.front().task) },
                        { "run", std::to_string(untracked.front().number.value()) } });
    }
    return m_reported == before ? std::nullopt : std::optional(EndCursor { *m_channel, m_reported });
}

void WorkerLink::removeAbsent(TimePoint sentAt, const WorkerAnswer &answer)
{
    if (answer.extent == ListExtent::Partial) {
        return;
    }
    std::vector<RunRef> absent;
    for (const auto &[ref, run] : m_runs) {
        if (!run.isListed && isProvenAbsent(run, sentAt, answer)) {
            absent.push_back(ref);
        }
    }
    for (const RunRef &ref : absent) {
        reportLost(ref, "not-listed");
    }
}

/** Whether a run that a complete answer doesn't list isn't running and won't be. */
bool WorkerLink::isProvenAbsent(const LiveRun &run, TimePoint sentAt, const WorkerAnswer &answer)
{
    switch (run.phase) {
    case RunPhase::Committing:
        return false;
    case RunPhase::Inherited:
        // From this poll on, the worker's fencing refuses orders of the previous writer.
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

void WorkerLink::reportLost(const RunRef &run, std::string_view reason)
{
    if (const auto place = m_runs.find(run); place != m_runs.end()) {
        m_handlers.onLost(removeRun(place), reason);
    }
}

void WorkerLink::handlePollFailure(WorkerFailure failure)
{
    if (failure == WorkerFailure::Fenced) {
        m_handlers.onFenced();
        return;
    }
    // A new connection may reach a restarted worker, which numbers its ended runs from the beginning.
    m_channel.reset();
    ++m_failedPolls;
    if (m_failedPolls > 1) {
        setReachable(false, workerFailureName(failure));
    }
    const Milliseconds delay = m_failedPolls > 1 ? pollRetryDelay : Milliseconds(0);
    m_pollTimer = m_context.schedule(delay, m_lifetime.guard([this] {
        m_pollTimer.reset();
        poll(Milliseconds(0));
    }));
    checkLeaseExpiry();
}

void WorkerLink::checkLeaseExpiry()
{
    if (m_isReachable || m_runs.empty()) {
        return;
    }
    if (m_context.now() < m_lease.expiryTime()) {
        scheduleLeaseExpiry();
        return;
    }
    std::vector<RunRef> lost;
    for (const auto &[ref, run] : m_runs) {
        if (run.phase != RunPhase::Committing && run.phase != RunPhase::Starting) {
            lost.push_back(ref);
        }
    }
    for (const RunRef &ref : lost) {
        reportLost(ref, "lease-over");
    }
}

/** The expiry doesn't wait for the next failed poll, as nothing of the worker runs elsewhere until then. */
void WorkerLink::scheduleLeaseExpiry()
{
    if (!m_expiryTimer) {
        m_expiryTimer = m_context.schedule(m_lease.expiryTime() - m_context.now(), m_lifetime.guard([this] {
            m_expiryTimer.reset();
            checkLeaseExpiry();
        }));
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

std::optional<TimePoint> WorkerLink::leavesAt() const
{
    return m_leavesAt;
}

TimePoint WorkerLink::leaseExpiry() const
{
    return m_lease.expiryTime();
}

std::uint64_t WorkerLink::revision() const
{
    return m_revision;
}

const ReservedResources &WorkerLink::reservedResources() const
{
    return m_reserved;
}

} // namespace currantring
