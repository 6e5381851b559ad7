#include "admissionclient.h"

#include "jobevents.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** Added to the expected duration of a request to give its timeout. */
constexpr Milliseconds timeoutMargin { 3000 };
constexpr Milliseconds firstRetryDelay { 200 };
constexpr std::uint32_t maxRetryDoublings = 3;
/** The service accepts no more workers in one request. */
constexpr std::size_t maxWorkersNamed = 100;
/** Remaining validity that placing and starting a task needs; less where tickets are valid for a short time only. */
constexpr Milliseconds startMargin { 400 };
constexpr std::int64_t startMarginFraction = 4;
/** A ticket is tried at least for this time after the answer. */
constexpr Milliseconds immediateUse { 200 };
/** How long a refusal is taken as evidence that the validity of tickets counts from the request. */
constexpr Milliseconds evidenceTerm { 60'000 };

Milliseconds startMarginOf(Milliseconds validity)
{
    return std::min(startMargin, validity / startMarginFraction);
}

} // namespace

AdmissionClient::AdmissionClient(JobContext &context, std::function<void()> onChange)
    : m_context(context)
    , m_onChange(std::move(onChange))
{
}

const AdmissionClient::Ticket *AdmissionClient::find(const StepRef &step, const WorkerId &worker, WorkerLife life) const
{
    const auto admission = m_admissions.find(step);
    if (admission == m_admissions.end()) {
        return nullptr;
    }
    const auto ticket = admission->second.tickets.find(worker);
    return ticket != admission->second.tickets.end() && ticket->second.life == life ? &ticket->second : nullptr;
}

TimePoint AdmissionClient::validUntil(const Ticket &ticket) const
{
    const bool countsFromRequest = m_context.now() < m_countsFromRequestUntil;
    return (countsFromRequest ? ticket.requestedAt : ticket.answeredAt) + ticket.validity;
}

bool AdmissionClient::isAdmitted(const StepRef &step, const WorkerId &worker, WorkerLife life) const
{
    const Ticket *const ticket = find(step, worker, life);
    if (ticket == nullptr) {
        return false;
    }
    const TimePoint now = m_context.now();
    return now < ticket->answeredAt + immediateUse || now + startMarginOf(ticket->validity) <= validUntil(*ticket);
}

std::string AdmissionClient::ticket(const StepRef &step, const WorkerId &worker, WorkerLife life) const
{
    const Ticket *const ticket = find(step, worker, life);
    const bool isValid = ticket != nullptr && m_context.now() < ticket->answeredAt + ticket->validity;
    return isValid ? ticket->text : std::string();
}

bool AdmissionClient::mayObtainTicket(const StepRef &step, const WorkerId &worker, WorkerLife life) const
{
    const auto admission = m_admissions.find(step);
    if (admission == m_admissions.end()) {
        return true;
    }
    // A worker that has restarted may be one of another kind.
    const auto denied = admission->second.denied.find(worker);
    const bool isDenied = denied != admission->second.denied.end() && denied->second == life;
    return !isDenied && !isAdmitted(step, worker, life);
}

bool AdmissionClient::hasTickets(const StepRef &step) const
{
    const auto admission = m_admissions.find(step);
    return admission != m_admissions.end() && !admission->second.tickets.empty();
}

bool AdmissionClient::maySend() const
{
    return !m_isRequestPending && m_context.now() >= m_retryAt;
}

std::vector<StepRef> AdmissionClient::turns(const std::vector<StepRef> &byUrgency)
{
    return maySend() ? m_line.order(byUrgency, m_context.now()) : std::vector<StepRef>();
}

/** The most workers to name, so that the tickets are still valid when they come even if they count from the request. */
std::size_t AdmissionClient::requestLimit(const AdmissionTerms &terms) const
{
    const Milliseconds longest = terms.validity - startMarginOf(terms.validity);
    std::size_t limit = maxWorkersNamed;
    while (limit > 1 && m_statistics.expectedDuration(terms.durationFor(limit)) > longest) {
        --limit;
    }
    return limit;
}

void AdmissionClient::ask(const AdmissionDemand &demand)
{
    const double share =
        m_statistics.admittedShare(demand.queue) / (1.0 + static_cast<double>(m_line.uselessRequests(demand.step)));
    const std::size_t count =
        admissionBatchSize(demand.candidates, demand.need, demand.terms, share, requestLimit(demand.terms));
    const auto last = demand.candidates.begin() + static_cast<std::ptrdiff_t>(count);
    const Request request {
        demand.step, demand.queue, { demand.candidates.begin(), last }, demand.terms.durationFor(count), m_context.now()
    };
    std::vector<WorkerId> workers;
    std::ranges::transform(request.workers, std::back_inserter(workers), &AdmissionCandidate::worker);
    m_line.noteRequest(demand.step, m_context.now());
    m_isRequestPending = true;
    m_requested = demand.step;
    m_context.askAdmission(
        demand.step, workers, m_statistics.expectedDuration(request.statedDuration) + timeoutMargin,
        m_lifetime.guard([this, request](const AdmissionResult &result) { handleAnswer(request, result); }));
}

void AdmissionClient::postpone(const StepRef &step)
{
    m_line.postpone(step, m_context.now());
}

void AdmissionClient::handleAnswer(const Request &request, const AdmissionResult &result)
{
    m_isRequestPending = false;
    m_statistics.noteDuration(request.statedDuration, m_context.now() - request.sentAt);
    logAnswer(request, result);
    const bool isWanted = std::exchange(m_requested, std::nullopt).has_value();
    if (result) {
        m_failures = 0;
        m_statistics.noteAnswer(request.queue, request.workers.size(), result->tickets.size());
        if (isWanted) {
            m_answered = request.step;
            applyAnswer(request, *result);
        }
        m_onChange();
        return;
    }
    if (isWanted) {
        m_line.noteUseless(request.step, m_context.now());
    }
    backOff();
}

void AdmissionClient::applyAnswer(const Request &request, const AdmissionAnswer &answer)
{
    Admission &admission = m_admissions[request.step];
    for (const AdmissionCandidate &named : request.workers) {
        const auto ticket = answer.tickets.find(named.worker);
        if (ticket == answer.tickets.end()) {
            admission.denied[named.worker] = named.life;
        } else {
            admission.tickets[named.worker] = { ticket->second, named.life, request.sentAt, m_context.now(),
                                                answer.validity };
        }
    }
}

void AdmissionClient::backOff()
{
    const Milliseconds delay(firstRetryDelay.count() << std::min(m_failures, maxRetryDoublings));
    ++m_failures;
    m_retryAt = m_context.now() + delay;
    m_context.schedule(delay, m_lifetime.guard([this] { m_onChange(); }));
}

void AdmissionClient::logAnswer(const Request &request, const AdmissionResult &result)
{
    const Milliseconds taken = m_context.now() - request.sentAt;
    m_context.observe("admission_ms", request.queue, result ? "answered" : "failed", taken);
    m_context.log(result ? LogLevel::Info : LogLevel::Warning, events::admissionAnswered,
                  { { "job", request.step.job.value() },
                    { "step", std::to_string(request.step.step) },
                    { "asked", std::to_string(request.workers.size()) },
                    { "admitted", std::to_string(result ? result->tickets.size() : 0) },
                    { "took_ms", std::to_string(taken.count()) },
                    { "valid_ms", std::to_string(result ? result->validity.count() : 0) },
                    { "outcome", std::string(result ? "answered" : admissionFailureName(result.error())) } });
}

std::optional<StepRef> AdmissionClient::takeAnswered()
{
    return std::exchange(m_answered, std::nullopt);
}

void AdmissionClient::noteUse(const StepRef &step, AdmissionUse use)
{
    switch (use) {
    case AdmissionUse::Started:
        m_line.noteUseful(step);
        break;
    case AdmissionUse::Incomplete:
        m_line.noteIncomplete(step);
        break;
    case AdmissionUse::NotPlaced:
        m_line.noteUseless(step, m_context.now());
        break;
    }
}

void AdmissionClient::drop(const StepRef &step, const WorkerId &worker)
{
    const auto admission = m_admissions.find(step);
    if (admission == m_admissions.end()) {
        return;
    }
    const auto place = admission->second.tickets.find(worker);
    if (place == admission->second.tickets.end()) {
        return;
    }
    const Ticket &ticket = place->second;
    const TimePoint now = m_context.now();
    if (now >= ticket.requestedAt + ticket.validity && now < ticket.answeredAt + ticket.validity) {
        m_countsFromRequestUntil = now + evidenceTerm;
    }
    admission->second.tickets.erase(place);
    m_line.noteUseless(step, now);
}

void AdmissionClient::forgetStep(const StepRef &step)
{
    m_admissions.erase(step);
    m_line.forgetStep(step);
    for (std::optional<StepRef> *const kept : { &m_requested, &m_answered }) {
        if (*kept == step) {
            kept->reset();
        }
    }
}

void AdmissionClient::forgetJob(const JobId &job)
{
    const auto first = m_admissions.lower_bound(StepRef { job, 0, 0 });
    auto last = first;
    while (last != m_admissions.end() && last->first.job == job) {
        ++last;
    }
    m_admissions.erase(first, last);
    m_line.forgetJob(job);
    for (std::optional<StepRef> *const kept : { &m_requested, &m_answered }) {
        if (*kept && (*kept)->job == job) {
            kept->reset();
        }
    }
}

std::size_t AdmissionClient::trackedSteps() const
{
    return m_admissions.size() + m_line.trackedSteps() + (m_answered ? 1 : 0);
}

} // namespace currantring
