#include "virtualworker.h"

#include <algorithm>
#include <sstream>

namespace currantring {

namespace {

constexpr Milliseconds maxLeaseTerm { 6000 };
/** How slow the clocks of workers may run; their leases last longer by that share. */
constexpr double clockRate = 0.98;
constexpr Milliseconds stopDuration { 100 };
constexpr Milliseconds failureDelay { 20 };
constexpr Milliseconds gangTimeout { 3000 };
/** Later than the end of any test. */
constexpr Milliseconds never { 100'000'000 };

} // namespace

TaskBehaviour parseBehaviour(const std::string &payload)
{
    TaskBehaviour behaviour;
    std::istringstream arguments(payload);
    std::string argument;
    while (arguments >> argument) {
        const std::size_t separator = argument.find('=');
        if (separator == std::string::npos) {
            continue;
        }
        const std::string key = argument.substr(0, separator);
        const std::int64_t value = std::stoll(argument.substr(separator + 1));
        if (key == "work") {
            behaviour.work = Milliseconds(value);
        } else if (key == "fail") {
            behaviour.failingRuns = static_cast<std::uint32_t>(value);
        } else if (key == "tail") {
            behaviour.tail = value;
        } else if (key == "startup") {
            behaviour.startup = Milliseconds(value);
        } else if (key == "gang") {
            behaviour.gang = static_cast<std::size_t>(value);
        } else if (key == "ticket") {
            behaviour.needsTicket = value != 0;
        }
    }
    return behaviour;
}

std::string admissionTicket(const StepRef &step, const WorkerEntry &worker, TimePoint validUntil)
{
    return describe(TaskRef { step, 0 }) + "@" + worker.id.value() + "/" + std::to_string(worker.life.value()) + "/"
        + std::to_string(validUntil.time_since_epoch().count());
}

bool isValidTicket(const std::string &ticket, const StepRef &step, const WorkerEntry &worker, TimePoint now)
{
    const std::size_t separator = ticket.rfind('/');
    if (separator == std::string::npos) {
        return false;
    }
    const TimePoint validUntil { Milliseconds(std::stoll(ticket.substr(separator + 1))) };
    return ticket == admissionTicket(step, worker, validUntil) && now <= validUntil;
}

VirtualWorker::VirtualWorker(WorkerEntry entry, TimePoint startedAt, Milliseconds clockOffset, std::size_t listedEnds,
                             RunEventHandler onRunEvent)
    : m_entry(std::move(entry))
    , m_onRunEvent(std::move(onRunEvent))
    , m_startedAt(startedAt)
    , m_clockOffset(clockOffset)
    , m_listedEnds(listedEnds)
{
}

WorkerResult VirtualWorker::execute(const WorkerOrder &order, TimePoint now)
{
    advance(now);
    const WriterToken token = std::visit([](const auto &kind) { return kind.token; }, order);
    if (token < m_token) {
        return refuse(WorkerFailure::Fenced, now);
    }
    m_token = token;
    if (const auto *looked = std::get_if<PollOrder>(&order)) {
        return look(*looked, now);
    }
    if (const auto *started = std::get_if<StartOrder>(&order)) {
        return start(*started, now);
    }
    if (const auto *stopped = std::get_if<StopOrder>(&order)) {
        return stop(*stopped, now);
    }
    return pace(std::get<PaceOrder>(order), now);
}

WorkerResult VirtualWorker::look(const PollOrder &order, TimePoint now)
{
    if (order.leaseUntil) {
        extendLease(*order.leaseUntil, now);
    }
    for (const EndedRow &row : m_ends) {
        if (row.number <= order.acknowledged) {
            m_onRunEvent({ WorkerRunEvent::Kind::Acknowledged,
                           now,
                           m_entry.id,
                           row.run,
                           row.end,
                           row.number <= m_lapsedEnds,
                           {},
                           {},
                           false });
        }
    }
    std::erase_if(m_ends, [&order](const EndedRow &row) { return row.number <= order.acknowledged; });
    return answer(now);
}

WorkerResult VirtualWorker::start(const StartOrder &order, TimePoint now)
{
    if (m_runs.contains(order.run)) {
        extendLease(order.leaseUntil, now);
        return answer(now);
    }
    if (const auto ended = m_latestEnded.find(order.run.task);
        ended != m_latestEnded.end() && order.run.number <= ended->second) {
        extendLease(order.leaseUntil, now);
        return refuse(WorkerFailure::Superseded, now);
    }
    if (order.leaseUntil < clock(now)) {
        return refuse(WorkerFailure::TooLate, now);
    }
    Run run;
    run.behaviour = parseBehaviour(order.payload);
    const StepRef &step = order.run.task.step;
    if (run.behaviour.needsTicket && !isValidTicket(order.ticket, step, m_entry, now)) {
        return refuse(WorkerFailure::NoAdmission, now);
    }
    extendLease(order.leaseUntil, now);
    run.startedAt = now;
    run.endsAt = now + never;
    run.willFail = m_isFailing;
    if (m_isFailing) {
        run.endsAt = now + failureDelay;
    } else if (run.behaviour.gang == 0 && run.behaviour.work && !m_isHanging) {
        const auto work = static_cast<double>(run.behaviour.work->count()) * m_slowdownFactor;
        run.endsAt = now + Milliseconds(static_cast<std::int64_t>(work));
    }
    m_onRunEvent({ WorkerRunEvent::Kind::Started, now, m_entry.id, order.run, ReportedEnd::Done, false, order.payload,
                   order.resumeFrom, false, order.ticket });
    m_runs.emplace(order.run, run);
    return answer(now);
}

WorkerResult VirtualWorker::stop(const StopOrder &order, TimePoint now)
{
    RunNumber &ended = m_latestEnded[order.run.task];
    ended = std::max(ended, order.run.number);
    if (const auto run = m_runs.find(order.run); run != m_runs.end() && !run->second.stopsAt) {
        run->second.stopsAt = now + stopDuration;
    }
    return answer(now);
}

WorkerResult VirtualWorker::pace(const PaceOrder &order, TimePoint now)
{
    const auto run = m_runs.find(order.run);
    if (run == m_runs.end()) {
        return refuse(WorkerFailure::Superseded, now);
    }
    run->second.pace = order.percent;
    return answer(now);
}

void VirtualWorker::extendLease(WorkerTime until, TimePoint now)
{
    const Milliseconds left(until.value() - clock(now).value());
    const auto granted = static_cast<double>(std::min(left, maxLeaseTerm).count());
    const TimePoint end = now + Milliseconds(static_cast<std::int64_t>(granted / clockRate));
    m_leaseEnd = std::max(m_leaseEnd.value_or(end), end);
    WorkerRunEvent event;
    event.kind = WorkerRunEvent::Kind::LeaseExtended;
    event.at = now;
    event.worker = m_entry.id;
    event.token = m_token;
    event.leaseEnd = end;
    m_onRunEvent(event);
}

void VirtualWorker::advance(TimePoint now)
{
    const bool isLapsed = m_leaseEnd && *m_leaseEnd <= now;
    if (isLapsed) {
        m_lapsedEnds = m_lastEnd;
    }
    std::vector<std::pair<RunRef, ReportedEnd>> ended;
    for (const auto &[ref, run] : m_runs) {
        if (run.stopsAt && *run.stopsAt <= now) {
            ended.emplace_back(ref, ReportedEnd::Stopped);
        } else if (run.endsAt <= now) {
            ended.emplace_back(ref, fails(ref, run) ? ReportedEnd::Failed : ReportedEnd::Done);
        } else if (isLapsed) {
            ended.emplace_back(ref, ReportedEnd::LeaseExpired);
        } else if (run.behaviour.gang > 0 && !run.isGangComplete && run.startedAt + gangTimeout <= now) {
            ended.emplace_back(ref, ReportedEnd::GangIncomplete);
        }
    }
    for (const auto &[ref, how] : ended) {
        end(ref, how, now);
    }
}

bool VirtualWorker::fails(const RunRef &ref, const Run &run) const
{
    return m_isFailing || run.willFail || ref.number.value() <= run.behaviour.failingRuns;
}

std::optional<TimePoint> VirtualWorker::nextEvent(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto consider = [&next, now](TimePoint at) {
        if (at > now && (!next || at < *next)) {
            next = at;
        }
    };
    for (const auto &[ref, run] : m_runs) {
        consider(run.endsAt);
        if (run.behaviour.gang > 0 && !run.isGangComplete) {
            consider(run.startedAt + gangTimeout);
        }
        if (run.stopsAt) {
            consider(*run.stopsAt);
        }
    }
    if (m_leaseEnd && !m_runs.empty()) {
        consider(*m_leaseEnd);
    }
    return next;
}

void VirtualWorker::end(const RunRef &run, ReportedEnd how, TimePoint now)
{
    const bool isGangMember = m_runs.at(run).behaviour.gang > 0;
    m_runs.erase(run);
    RunNumber &ended = m_latestEnded[run.task];
    ended = std::max(ended, run.number);
    m_lastEnd = EndNumber(m_lastEnd.value() + 1);
    m_ends.push_back({ m_lastEnd, run, how, {} });
    m_onRunEvent({ WorkerRunEvent::Kind::Ended, now, m_entry.id, run, how, false, {}, {}, isGangMember });
}

std::map<RunRef, std::size_t> VirtualWorker::waitingGangMembers() const
{
    std::map<RunRef, std::size_t> members;
    for (const auto &[ref, run] : m_runs) {
        if (run.behaviour.gang > 0 && !run.isGangComplete) {
            members.emplace(ref, run.behaviour.gang);
        }
    }
    return members;
}

void VirtualWorker::startGang(const GangRef &gang, TimePoint now)
{
    for (auto &[ref, run] : m_runs) {
        if (GangRef { ref.task.step, ref.number } == gang) {
            run.isGangComplete = true;
            // When the gang is to fail, only the member with index 0 fails; its end then ends the others.
            const bool endsByItself = !m_isHanging && (!fails(ref, run) || ref.task.index == 0);
            run.endsAt = endsByItself ? now + run.behaviour.work.value_or(never) : run.endsAt;
        }
    }
}

void VirtualWorker::endGang(const GangRef &gang, ReportedEnd how, TimePoint now)
{
    std::vector<RunRef> members;
    for (const auto &[ref, run] : m_runs) {
        if (GangRef { ref.task.step, ref.number } == gang) {
            members.push_back(ref);
        }
    }
    for (const RunRef &member : members) {
        end(member, how, now);
    }
}

void VirtualWorker::restart(TimePoint now)
{
    for (const auto &[ref, run] : m_runs) {
        m_onRunEvent({ WorkerRunEvent::Kind::Ended,
                       now,
                       m_entry.id,
                       ref,
                       ReportedEnd::LeaseExpired,
                       false,
                       {},
                       {},
                       run.behaviour.gang > 0 });
    }
    m_entry.life = WorkerLife(m_entry.life.value() + 1 + now.time_since_epoch().count());
    m_startedAt = now;
    m_clockOffset = Milliseconds(0);
    m_token = WriterToken(0);
    m_leaseEnd.reset();
    m_runs.clear();
    m_ends.clear();
    m_lastEnd = EndNumber(0);
    m_lapsedEnds = EndNumber(0);
    m_latestEnded.clear();
}

WorkerTime VirtualWorker::clock(TimePoint now) const
{
    const auto age = static_cast<double>((now - m_startedAt).count());
    return WorkerTime(static_cast<std::int64_t>(age * clockRate) + m_clockOffset.count());
}

WorkerAnswer VirtualWorker::answer(TimePoint now) const
{
    WorkerAnswer answer;
    answer.clock = clock(now);
    answer.life = m_entry.life;
    for (const auto &[ref, run] : m_runs) {
        RunningRow row;
        row.run = ref;
        const Milliseconds age = now - run.startedAt;
        const bool isUp = !m_isHanging && age >= run.behaviour.startup;
        if (run.behaviour.work) {
            const auto whole = std::max<std::int64_t>((run.endsAt - run.startedAt).count(), 1);
            row.percent =
                static_cast<std::uint32_t>(std::min<std::int64_t>((now - run.startedAt).count() * 100 / whole, 99));
        } else {
            row.percent = isUp ? 100 : m_isHanging ? 0 : static_cast<std::uint32_t>(age * 100 / run.behaviour.startup);
            row.gauge = isUp ? run.behaviour.tail : 0;
        }
        answer.running.push_back(row);
    }
    const std::size_t listed = std::min(m_ends.size(), m_listedEnds);
    answer.ended.assign(m_ends.begin(), m_ends.begin() + static_cast<std::ptrdiff_t>(listed));
    answer.extent = listed < m_listedEnds ? ListExtent::Complete : ListExtent::Partial;
    return answer;
}

WorkerResult VirtualWorker::refuse(WorkerFailure failure, TimePoint now) const
{
    return tl::unexpected(WorkerRefusal { failure, clock(now) });
}

bool VirtualWorker::hasEnds(EndNumber acknowledged) const
{
    return !m_ends.empty() && m_ends.back().number > acknowledged;
}

const WorkerEntry &VirtualWorker::entry() const
{
    return m_entry;
}

void VirtualWorker::setStanding(WorkerStanding standing)
{
    m_entry.standing = standing;
}

void VirtualWorker::setDraining(Milliseconds remaining)
{
    setStanding(WorkerStanding::Draining);
    m_entry.remaining = remaining;
}

bool VirtualWorker::isSound() const
{
    return !m_isFailing && !m_isHanging;
}

std::size_t VirtualWorker::runningCount() const
{
    return m_runs.size();
}

bool VirtualWorker::runs(const TaskRef &task) const
{
    return std::ranges::any_of(m_runs, [&task](const auto &entry) { return entry.first.task == task; });
}

void VirtualWorker::setFailing(bool isFailing)
{
    m_isFailing = isFailing;
}

void VirtualWorker::setHanging(bool isHanging, TimePoint now)
{
    m_isHanging = isHanging;
    for (auto &[ref, run] : m_runs) {
        if (isHanging && run.behaviour.work) {
            run.endsAt = now + never;
        }
    }
}

void VirtualWorker::setSlowdownFactor(double factor)
{
    m_slowdownFactor = factor;
}

} // namespace currantring
