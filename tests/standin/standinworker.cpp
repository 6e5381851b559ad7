#include "standinworker.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

tl::unexpected<WorkerError> refuse(RefusalReason reason)
{
    return tl::unexpected(WorkerError { WorkerErrorKind::Refused, reason });
}

tl::unexpected<EndpointError> refuseRequest(RefusalReason reason)
{
    return tl::unexpected(EndpointError { EndpointErrorKind::Refused, reason });
}

Milliseconds serviceTimeIn(const std::string &body, Milliseconds otherwise)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("serviceMs") && json["serviceMs"].is_number_integer()) {
        return Milliseconds(json["serviceMs"].get<std::int64_t>());
    }
    return otherwise;
}

} // namespace

StandinWorker::StandinWorker(StandinWorkerOptions options, StandinTruth &truth)
    : m_options(std::move(options))
    , m_truth(truth)
{
}

WorkerResult StandinWorker::apply(const WorkerRequest &request, TimePoint now)
{
    advance(now);
    const CommandFence &fence =
        std::visit([](const auto &kind) -> const CommandFence & { return kind.fence; }, request);
    if (!admit(fence)) {
        return refuse(RefusalReason::StaleEpoch);
    }
    return std::visit([this, now](const auto &kind) { return run(kind, now); }, request);
}

tl::expected<StandinServing, EndpointError> StandinWorker::beginRequest(const EndpointRequest &request, TimePoint now)
{
    advance(now);
    if (!admit(request.fence)) {
        return refuseRequest(RefusalReason::StaleEpoch);
    }
    if (m_options.info.state == WorkerState::Leaving) {
        return refuseRequest(RefusalReason::Leaving);
    }
    if (m_health != StandinHealth::Sound) {
        return refuseRequest(RefusalReason::Failing);
    }
    if (std::ranges::count(m_options.info.services, request.service) == 0) {
        return refuseRequest(RefusalReason::None);
    }
    if (m_requests.size() >= m_options.info.slots) {
        return refuseRequest(RefusalReason::NoRoom);
    }
    const TimePoint readyAt = now + serviceTimeIn(request.body, m_options.serviceTime) + m_slowness;
    m_requests.insert(readyAt);
    m_truth.requestExecuted(request.request);
    m_truth.noteRequests(m_options.info.id, activeRequests());
    const nlohmann::json body = { { "service", request.service },
                                  { "request", request.request },
                                  { "echo", request.body } };
    std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return StandinServing { EndpointAnswer { request.request, std::move(text) }, readyAt };
}

void StandinWorker::advance(TimePoint now)
{
    m_requests.erase(m_requests.begin(), m_requests.upper_bound(now));
    while (!m_running.empty()) {
        const auto first = std::ranges::min_element(
            m_running, {}, [this](const AttemptKey &key) { return m_attempts.at(key).endsAt(); });
        StandinAttempt &attempt = m_attempts.at(*first);
        const TimePoint over = attempt.endsAt();
        if (over > now) {
            return;
        }
        // The lease lapses only when the work isn't done at that very moment.
        if (attempt.completion() == over) {
            const bool fails = attempt.program.fails;
            end(attempt, fails ? AttemptPhase::Failed : AttemptPhase::Succeeded, attempt.program.result, over);
        } else {
            end(attempt, AttemptPhase::LeaseLapsed, "lease was not renewed", over);
        }
    }
}

std::optional<TimePoint> StandinWorker::nextEvent() const
{
    std::optional<TimePoint> next;
    if (!m_requests.empty()) {
        next = *m_requests.begin();
    }
    for (const AttemptKey &key : m_running) {
        const TimePoint over = m_attempts.at(key).endsAt();
        next = next ? std::min(*next, over) : over;
    }
    return next;
}

void StandinWorker::setAddress(const Address &address)
{
    m_options.info.address = address;
}

void StandinWorker::setLeaving(bool leaving)
{
    m_options.info.state = leaving ? WorkerState::Leaving : WorkerState::Live;
}

void StandinWorker::setHealth(StandinHealth health)
{
    m_health = health;
}

void StandinWorker::setSlowness(Milliseconds delay)
{
    m_slowness = delay;
}

const WorkerInfo &StandinWorker::info() const
{
    return m_options.info;
}

WorkerTime StandinWorker::clock(TimePoint now) const
{
    return WorkerTime(now.time_since_epoch().count() + m_options.clockOffset.value());
}

std::uint32_t StandinWorker::activeRequests() const
{
    return static_cast<std::uint32_t>(m_requests.size());
}

const Resources &StandinWorker::declaredUse() const
{
    return m_declaredUse;
}

WorkerResult StandinWorker::run(const StartAttempt &request, TimePoint now)
{
    const RefusalReason reason = refusalOf(request, now);
    if (reason != RefusalReason::None) {
        return refuse(reason);
    }
    begin(request, now);
    return replyFor(m_attempts.at({ request.task, request.attempt }), now);
}

WorkerResult StandinWorker::run(const StopAttempt &request, TimePoint now)
{
    const AttemptKey key { request.task, request.attempt };
    if (!m_attempts.contains(key)) {
        leaveTombstone(request);
    }
    StandinAttempt &attempt = m_attempts.at(key);
    if (attempt.report.phase == AttemptPhase::Running) {
        end(attempt, AttemptPhase::Stopped, "stopped on command", now);
    }
    return replyFor(attempt, now);
}

WorkerResult StandinWorker::run(const CheckpointAttempt &request, TimePoint now)
{
    const auto found = m_attempts.find({ request.task, request.attempt });
    if (found == m_attempts.end()) {
        return refuse(RefusalReason::UnknownAttempt);
    }
    StandinAttempt &attempt = found->second;
    if (attempt.report.phase == AttemptPhase::Running) {
        attempt.countProgress(now);
        attempt.report.checkpoint = m_truth.recordCheckpoint(found->first, attempt.steps());
        end(attempt, AttemptPhase::Checkpointed, "checkpointed on command", now);
    }
    return replyFor(attempt, now);
}

WorkerResult StandinWorker::run(const ThrottleAttempt &request, TimePoint now)
{
    const auto found = m_attempts.find({ request.task, request.attempt });
    if (found == m_attempts.end()) {
        return refuse(RefusalReason::UnknownAttempt);
    }
    StandinAttempt &attempt = found->second;
    if (attempt.report.phase == AttemptPhase::Running) {
        attempt.countProgress(now);
        attempt.percent = std::clamp<std::uint32_t>(request.percent, 1, 100);
        noteUsage(now);
    }
    return replyFor(attempt, now);
}

WorkerResult StandinWorker::run(const RenewLeases &request, TimePoint now)
{
    for (const AttemptKey &key : request.recorded) {
        const auto found = m_attempts.find(key);
        // A running one isn't forgotten, whatever the caller believes.
        if (found != m_attempts.end() && found->second.report.phase != AttemptPhase::Running) {
            m_unrecorded.erase(key);
        }
    }
    WorkerReply reply { baseReport(now) };
    for (const AttemptKey &key : m_unrecorded) {
        StandinAttempt &attempt = m_attempts.at(key);
        if (attempt.shard == request.fence.shard) {
            // A renewal that overtook a later one doesn't shorten the lease.
            attempt.leaseEnd = std::max(attempt.leaseEnd, toTimePoint(request.leaseUntil));
            reply.report.attempts.push_back(reportOf(attempt, now));
        }
    }
    return reply;
}

RefusalReason StandinWorker::refusalOf(const StartAttempt &request, TimePoint now) const
{
    if (m_attempts.contains({ request.task, request.attempt })) {
        return RefusalReason::AlreadyStarted;
    }
    if (clock(now) > request.startBy) {
        return RefusalReason::TooLate;
    }
    if (m_options.info.state == WorkerState::Leaving) {
        return RefusalReason::Leaving;
    }
    if (m_health == StandinHealth::RefusesAll) {
        return RefusalReason::Failing;
    }
    if (!m_options.info.capacity.covers(m_declaredUse + request.spec.declared)) {
        return RefusalReason::NoRoom;
    }
    return RefusalReason::None;
}

bool StandinWorker::admit(const CommandFence &fence)
{
    Epoch &highest = m_epochs[fence.shard];
    if (fence.epoch < highest) {
        return false;
    }
    highest = fence.epoch;
    return true;
}

void StandinWorker::begin(const StartAttempt &request, TimePoint now)
{
    const AttemptKey key { request.task, request.attempt };
    StandinAttempt attempt;
    attempt.shard = request.fence.shard;
    attempt.report.key = key;
    attempt.report.owner = request.owner;
    attempt.declared = request.spec.declared;
    attempt.program = readStandinProgram(request.spec);
    attempt.leaseEnd = toTimePoint(request.leaseUntil);
    attempt.startedAt = now;
    attempt.countedTo = now;
    attempt.setSteps(m_truth.checkpointProgress(request.resumeFrom).value_or(0));
    StandinAttempt &started = m_attempts.emplace(key, std::move(attempt)).first->second;
    m_running.insert(key);
    m_unrecorded.insert(key);
    m_declaredUse += started.declared;
    m_truth.attemptStarted(key, m_options.info.id, now, request.resumeFrom);
    m_truth.noteDeclared(m_options.info.id, m_declaredUse);
    noteUsage(now);
    const std::string failure = failureAtStart(request);
    if (!failure.empty()) {
        end(started, AttemptPhase::Failed, failure, now);
    }
}

std::string StandinWorker::failureAtStart(const StartAttempt &request) const
{
    if (m_health == StandinHealth::FailsAttempts) {
        return "the worker fails whatever it starts";
    }
    const bool resumes = !request.resumeFrom.value().empty();
    if (resumes && !m_truth.checkpointProgress(request.resumeFrom)) {
        return "unknown checkpoint";
    }
    return {};
}

void StandinWorker::leaveTombstone(const StopAttempt &request)
{
    const AttemptKey key { request.task, request.attempt };
    StandinAttempt tombstone;
    tombstone.shard = request.fence.shard;
    tombstone.report.key = key;
    tombstone.report.phase = AttemptPhase::NeverStarted;
    tombstone.report.detail = "stopped before it was started";
    m_attempts.emplace(key, std::move(tombstone));
    m_unrecorded.insert(key);
}

void StandinWorker::end(StandinAttempt &attempt, AttemptPhase phase, std::string detail, TimePoint when)
{
    attempt.countProgress(when);
    attempt.report.phase = phase;
    attempt.report.detail = std::move(detail);
    m_running.erase(attempt.report.key);
    m_declaredUse -= attempt.declared;
    m_truth.attemptEnded(attempt.report.key, m_options.info.id, when, phase, attempt.steps());
    noteUsage(when);
}

AttemptReport StandinWorker::reportOf(const StandinAttempt &attempt, TimePoint now) const
{
    AttemptReport report = attempt.report;
    if (report.phase == AttemptPhase::Running && attempt.startedAt <= now - m_options.usageLag) {
        report.used = attempt.usage();
    }
    return report;
}

void StandinWorker::noteUsage(TimePoint now)
{
    Resources total;
    for (const AttemptKey &key : m_running) {
        total += m_attempts.at(key).usage();
    }
    m_usage.emplace_back(now, total);
    while (m_usage.size() > 1 && m_usage[1].first <= now - m_options.usageLag) {
        m_usage.pop_front();
    }
}

Resources StandinWorker::laggedUsage(TimePoint now) const
{
    Resources usage;
    for (const auto &[since, total] : m_usage) {
        if (since <= now - m_options.usageLag) {
            usage = total;
        }
    }
    return usage;
}

WorkerReport StandinWorker::baseReport(TimePoint now) const
{
    WorkerReport report;
    report.worker = m_options.info.id;
    report.clock = clock(now);
    report.leaving = m_options.info.state == WorkerState::Leaving;
    report.activeRequests = activeRequests();
    report.used = laggedUsage(now);
    return report;
}

WorkerReply StandinWorker::replyFor(const StandinAttempt &attempt, TimePoint now) const
{
    WorkerReply reply { baseReport(now) };
    reply.report.attempts.push_back(reportOf(attempt, now));
    return reply;
}

TimePoint StandinWorker::toTimePoint(WorkerTime time) const
{
    return TimePoint(Milliseconds(time.value() - m_options.clockOffset.value()));
}

} // namespace currantring
