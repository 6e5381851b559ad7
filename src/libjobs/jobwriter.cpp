#include "jobwriter.h"

#include "jobevents.h"

#include <cmath>
#include <utility>

namespace currantring {

namespace {

/** Age of the last confirmation at which an idle writer checks its claim in the store. */
constexpr Milliseconds confirmAge { 1000 };
/** The same for a writer that isn't heard by all hosts, which may go on only briefly without a confirmation. */
constexpr Milliseconds unsupportedConfirmAge { 200 };
constexpr Milliseconds confirmCheckInterval { 150 };
constexpr Milliseconds retryAfter { 1000 };
/** Without a confirmation of the claim for this time, another host may have been the writer, and counts be wrong. */
constexpr Milliseconds maxCountAge { 2000 };
/** A call that waits until the log is loaded, beside its job. */
constexpr std::size_t waitingCallBytes = 256;
/** Such calls may take the budget for jobs divided by this, while the log takes its part of it. */
constexpr std::size_t waitingCallsDivisor = 8;

void answerAccepted(std::map<JobId, std::vector<JobWriter::Answer>> &waiting, const JobId &job)
{
    const std::vector<JobWriter::Answer> answers = std::move(waiting.at(job));
    waiting.erase(job);
    for (const JobWriter::Answer &answer : answers) {
        answer({ CallOutcome::Accepted, {}, 0, {} });
    }
}

} // namespace

JobWriter::JobWriter(StoreLayout layout, RunController::Options options, std::uint64_t nonce, JobLogLimits logLimits,
                     SiteFormats formats, JobContext &context, Handlers handlers)
    : m_context(context)
    , m_handlers(std::move(handlers))
    , m_options(std::move(options))
    , m_formats(std::move(formats))
    , m_log(layout, { m_options.token, m_options.provenAt }, nonce, context, logLimits, [this] { handleShardLost(); })
{
}

void JobWriter::begin()
{
    if (m_context.now() - m_log.lastConfirmed() >= unsupportedConfirmAge) {
        m_log.checkWriter([](WriterCheck /*check*/) {});
    }
    m_log.load(m_lifetime.guard([this] { activate(); }));
}

void JobWriter::activate()
{
    m_context.log(LogLevel::Info, events::shardActive,
                  { { "token", std::to_string(m_options.token.value()) },
                    { "jobs", std::to_string(m_log.table().jobs().size()) } });
    m_controller = std::make_unique<RunController>(
        m_options, std::move(m_formats), m_log, m_context,
        RunController::Handlers { m_handlers.configuration, m_handlers.heardByAll, [this] {
                                     // A refusal by a worker doesn't prove a newer
                                     // writer; the claim in the store does.
                                     m_log.checkWriter([](WriterCheck /*check*/) {});
                                 } });
    m_controller->begin();
    m_waitingBytes = 0;
    for (const auto &[call, then] : std::exchange(m_waiting, {})) {
        handle(call, then);
    }
    scheduleWriterCheck();
}

void JobWriter::scheduleWriterCheck()
{
    m_context.schedule(confirmCheckInterval, m_lifetime.guard([this] {
        const Milliseconds due = m_controller->isSupported() ? confirmAge : unsupportedConfirmAge;
        if (m_context.now() - m_log.lastConfirmed() >= due) {
            m_log.checkWriter([](WriterCheck /*check*/) {});
        }
        scheduleWriterCheck();
    }));
}

void JobWriter::handle(const CallerCall &call, Answer then)
{
    if (!m_controller) {
        keepUntilLoaded(call, std::move(then));
        return;
    }
    if (m_isLost || m_isFinishing) {
        return;
    }
    if (const auto *submitted = std::get_if<SubmitJob>(&call)) {
        submit(*submitted, std::move(then));
    } else if (const auto *asked = std::get_if<ReadJob>(&call)) {
        read(*asked, then);
    } else if (const auto *cancelled = std::get_if<CancelJob>(&call)) {
        cancel(*cancelled, std::move(then));
    } else {
        count(std::get<CountWaiting>(call), then);
    }
}

/**
 * A call beyond the limit is dropped: to refuse it would say that its job isn't on record, which isn't known yet. Its
 * host sends it again, or answers it as undecided.
 */
void JobWriter::keepUntilLoaded(const CallerCall &call, Answer then)
{
    const auto *const submitted = std::get_if<SubmitJob>(&call);
    const std::size_t bytes = waitingCallBytes + (submitted == nullptr ? 0 : estimatedBytes(*submitted->spec));
    const JobBudget::Bytes budget = m_handlers.budget();
    if (budget && m_waitingBytes + bytes > *budget / waitingCallsDivisor) {
        m_context.count("calls_dropped", "log-not-loaded");
        return;
    }
    m_waitingBytes += bytes;
    m_waiting.emplace_back(call, std::move(then));
}

void JobWriter::submit(const SubmitJob &call, Answer then)
{
    const JobId &id = call.spec->id;
    if (m_log.table().find(id) != nullptr) {
        if (const auto accepting = m_accepting.find(id); accepting != m_accepting.end()) {
            accepting->second.push_back(std::move(then));
        } else {
            then({ CallOutcome::Accepted, {}, 0, {} });
        }
        return;
    }
    if (refuseWhileStuck(call, then)) {
        m_context.count("submissions_refused", "store-stuck");
        return;
    }
    if (refuseBeyondBudget(call, then) || refuseUnderLoad(call, then)) {
        return;
    }
    m_accepting[id].push_back(std::move(then));
    const TimePoint begun = m_context.now();
    m_budget.noteAccepted(estimatedBytes(*call.spec), m_log.table().memory(), begun);
    m_log.append(JobAccepted { call.spec, m_context.wallNow() }, RecordUrgency::Urgent,
                 m_lifetime.guard([this, id, begun, queue = call.spec->queue] {
                     m_context.log(LogLevel::Info, events::jobAccepted,
                                   { { "job", id.value() },
                                     { "queue", queue.value() },
                                     { "token", std::to_string(m_options.token.value()) } });
                     m_context.observe("accept_ms", queue, "submit", m_context.now() - begun);
                     answerAccepted(m_accepting, id);
                 }));
    m_controller->openJob(id);
}

/** Refuses a call immediately while commits are stuck, so that nothing of it is or will be stored. */
bool JobWriter::refuseWhileStuck(const CallerCall &call, const Answer &then)
{
    if (!m_log.isStuck()) {
        return false;
    }
    m_context.log(LogLevel::Info, events::callRefused,
                  { { "call", std::string(callName(call)) },
                    { "subject", callSubject(call) },
                    { "reason", "store-stuck" },
                    { "commit_age_ms", std::to_string(m_log.commitAge().count()) } });
    then({ CallOutcome::Refused, {}, 0, retryAfter });
    return true;
}

/** Refuses a new job that the memory has no room for, before anything of it is appended to the log. */
bool JobWriter::refuseBeyondBudget(const SubmitJob &call, const Answer &then)
{
    const JobMemory &held = m_log.table().memory();
    const QueueName &queue = call.spec->queue;
    const std::size_t bytes = estimatedBytes(*call.spec);
    const JobBudget::Bytes budget = m_handlers.budget();
    const JobRoom room = JobBudget::roomFor(bytes, queue, held, budget);
    if (room == JobRoom::Free) {
        return false;
    }
    const bool isFinal = room == JobRoom::NeverFits;
    const Milliseconds wait = isFinal ? Milliseconds(0) : m_budget.retryAfter(bytes, held, m_context.now());
    m_context.count("submissions_refused", jobRoomName(room));
    m_context.log(LogLevel::Warning, events::jobRefusedMemory,
                  { { "job", call.spec->id.value() },
                    { "queue", queue.value() },
                    { "reason", std::string(jobRoomName(room)) },
                    { "bytes", std::to_string(bytes) },
                    { "held_bytes", std::to_string(held.total()) },
                    { "queue_bytes", std::to_string(held.of(queue)) },
                    { "budget_bytes", std::to_string(*budget) },
                    { "retry_ms", std::to_string(wait.count()) } });
    then({ CallOutcome::Refused, {}, 0, wait, isFinal });
    return true;
}

/** Refuses a new job that can't be finished in time, before anything of it is appended to the log. */
bool JobWriter::refuseUnderLoad(const SubmitJob &call, const Answer &then)
{
    const LoadDecision decision = m_controller->admissionOf(call.spec);
    if (decision.isPredicted) {
        m_context.observe("predicted_wait_ms", call.spec->queue, decision.isAccepted ? "accepted" : "refused",
                          decision.wait);
    }
    if (decision.isAccepted) {
        return false;
    }
    m_context.count("submissions_refused", "load");
    m_context.log(LogLevel::Info, events::jobRefusedLoad,
                  { { "job", call.spec->id.value() },
                    { "queue", call.spec->queue.value() },
                    { "predicted_finish_ms", std::to_string(decision.finish.count()) },
                    { "objective_ms", std::to_string(decision.objective.count()) },
                    { "backlog_core_s", std::to_string(std::llround(decision.backlog)) },
                    { "rate_cores", std::to_string(std::llround(decision.rate)) },
                    { "input_age_ms", std::to_string(decision.inputAge.count()) },
                    { "retry_ms", std::to_string(decision.retryAfter.count()) } });
    then({ CallOutcome::Refused, {}, 0, decision.retryAfter });
    return true;
}

void JobWriter::read(const ReadJob &call, const Answer &then)
{
    const Job *const job = m_log.table().find(call.job);
    if (job == nullptr) {
        answerUnknown(then);
        return;
    }
    const bool isClosing = m_controller->isClosing(call.job) || m_cancelling.contains(call.job);
    then({ CallOutcome::Found, isClosing ? JobPhase::Running : job->phase(), 0, {} });
}

void JobWriter::cancel(const CancelJob &call, Answer then)
{
    const Job *const job = m_log.table().find(call.job);
    if (job == nullptr) {
        answerUnknown(then);
        return;
    }
    if (const auto cancelling = m_cancelling.find(call.job); cancelling != m_cancelling.end()) {
        cancelling->second.push_back(std::move(then));
        return;
    }
    if (refuseWhileStuck(call, then)) {
        return;
    }
    if (job->isClosed()) {
        // The end of the job may not be committed yet, and a new writer would not know of it.
        m_log.flush(m_lifetime.guard([then] { then({ CallOutcome::Accepted, {}, 0, {} }); }));
        return;
    }
    m_cancelling[call.job].push_back(std::move(then));
    m_log.append(
        JobClosed { call.job, JobPhase::Cancelled, m_context.wallNow() }, RecordUrgency::Urgent,
        m_lifetime.guard([this, id = call.job] {
            m_context.log(LogLevel::Info, events::jobClosed, { { "job", id.value() }, { "phase", "cancelled" } });
            answerAccepted(m_cancelling, id);
        }));
    m_controller->closeJob(call.job);
}

void JobWriter::count(const CountWaiting &call, const Answer &then)
{
    if (m_context.now() - m_log.lastConfirmed() < maxCountAge) {
        answerCount(call, then);
        return;
    }
    if (refuseWhileStuck(call, then)) {
        return;
    }
    m_log.checkWriter(m_lifetime.guard([this, call, then](WriterCheck check) {
        if (check == WriterCheck::StillWriter) {
            answerCount(call, then);
        } else if (check == WriterCheck::NoAnswer) {
            then({ CallOutcome::Refused, {}, 0, retryAfter });
        }
        // Otherwise the caller's host resends the call to the next writer.
    }));
}

void JobWriter::answerCount(const CountWaiting &call, const Answer &then) const
{
    std::uint64_t waiting = 0;
    for (const auto &[id, job] : m_log.table().jobs()) {
        if (job.spec->queue == call.queue && !job.isClosed() && !job.hasBegun) {
            ++waiting;
        }
    }
    then({ CallOutcome::Found, {}, waiting, {} });
}

void JobWriter::answerUnknown(const Answer &then)
{
    m_log.checkWriter(m_lifetime.guard([then](WriterCheck check) {
        if (check == WriterCheck::StillWriter) {
            then({ CallOutcome::Unknown, {}, 0, {} });
        }
        // Otherwise the caller's host resends the call to the next writer, or answers at the call's deadline.
    }));
}

void JobWriter::reconsider()
{
    if (m_controller) {
        m_controller->reconsider();
    }
}

void JobWriter::limitInherited(TimePoint until)
{
    m_options.inherited.limit(until);
    if (m_controller) {
        m_controller->limitInherited(until);
    }
}

std::optional<RemainingLeases> JobWriter::remainingLeases() const
{
    return isActive() ? std::optional(fleet().remainingLeases()) : std::nullopt;
}

void JobWriter::finish(std::function<void()> then)
{
    m_isFinishing = true;
    m_log.flush(std::move(then));
}

void JobWriter::handleShardLost()
{
    m_isLost = true;
    m_handlers.onLost();
}

bool JobWriter::isActive() const
{
    return m_controller != nullptr && !m_isLost;
}

std::optional<std::size_t> JobWriter::trackedWork() const
{
    return isActive() ? std::optional(m_controller->trackedWork()) : std::nullopt;
}

const WorkerFleet &JobWriter::fleet() const
{
    return m_controller->fleet();
}

Milliseconds JobWriter::commitAge() const
{
    return m_log.commitAge();
}

} // namespace currantring
