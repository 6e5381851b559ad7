#include "admissionclient.h"

#include "jobevents.h"

#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds requestTimeout { 3000 };
constexpr Milliseconds retryDelay { 200 };
/** The admission service handles the requests of one host sequentially; more would only queue up there. */
constexpr std::size_t maxPendingRequests = 4;
/** A ticket that expires sooner isn't used. */
constexpr Milliseconds minRemainingValidity { 400 };

} // namespace

AdmissionClient::AdmissionClient(JobContext &context, std::function<void()> onAnswer)
    : m_context(context)
    , m_onAnswer(std::move(onAnswer))
{
}

std::string AdmissionClient::ticket(const StepRef &step, const WorkerId &worker) const
{
    const auto found = m_admissions.find(step);
    if (found == m_admissions.end()) {
        return {};
    }
    const auto ticket = found->second.tickets.find(worker);
    const bool isValid =
        ticket != found->second.tickets.end() && m_context.now() + minRemainingValidity <= ticket->second.validUntil;
    return isValid ? ticket->second.text : std::string();
}

bool AdmissionClient::mayObtainTicket(const StepRef &step, const WorkerId &worker) const
{
    const auto found = m_admissions.find(step);
    const bool isDenied = found != m_admissions.end() && found->second.denied.contains(worker);
    return !isDenied && ticket(step, worker).empty();
}

void AdmissionClient::ask(const StepRef &step, const std::vector<WorkerId> &workers)
{
    Admission &admission = m_admissions[step];
    if (admission.isRequestPending || m_context.now() < admission.retryAt || workers.empty()
        || m_pendingRequests >= maxPendingRequests) {
        return;
    }
    admission.isRequestPending = true;
    ++m_pendingRequests;
    m_context.askAdmission(
        step, workers, requestTimeout,
        m_lifetime.guard([this, step, workers, requestedAt = m_context.now()](const AdmissionResult &result) {
            handleAnswer(step, workers, requestedAt, result);
        }));
}

void AdmissionClient::handleAnswer(const StepRef &step, const std::vector<WorkerId> &workers, TimePoint requestedAt,
                                   const AdmissionResult &result)
{
    --m_pendingRequests;
    if (const auto found = m_admissions.find(step); found != m_admissions.end()) {
        Admission &admission = found->second;
        admission.isRequestPending = false;
        admission.retryAt = m_context.now() + (result ? Milliseconds(0) : retryDelay);
        for (const WorkerId &worker : result ? workers : std::vector<WorkerId>()) {
            const auto ticket = result->tickets.find(worker);
            if (ticket == result->tickets.end()) {
                admission.denied.insert(worker);
            } else {
                // The service may count the validity from its decision, which is no earlier than the request.
                admission.tickets[worker] = { ticket->second, requestedAt + result->validity };
            }
        }
        m_context.log(LogLevel::Info, events::admissionAnswered,
                      { { "job", step.job.value() },
                        { "step", std::to_string(step.step) },
                        { "asked", std::to_string(workers.size()) },
                        { "admitted", std::to_string(result ? result->tickets.size() : 0) },
                        { "outcome", result ? "answered" : "failed" } });
    }
    m_onAnswer();
}

void AdmissionClient::drop(const StepRef &step, const WorkerId &worker)
{
    if (const auto found = m_admissions.find(step); found != m_admissions.end()) {
        found->second.tickets.erase(worker);
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
}

} // namespace currantring
