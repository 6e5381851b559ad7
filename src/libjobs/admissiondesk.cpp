#include "admissiondesk.h"

#include "jobevents.h"

#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds askTimeout { 3000 };
constexpr Milliseconds askAgainDelay { 200 };
/** The service takes the calls of one host in turn; more would only wait there. */
constexpr std::size_t mostAsking = 4;
/** A ticket that ends sooner isn't used. */
constexpr Milliseconds leastValidity { 400 };

} // namespace

AdmissionDesk::AdmissionDesk(JobContext &context, std::function<void()> onAnswer)
    : m_context(context)
    , m_onAnswer(std::move(onAnswer))
{
}

std::string AdmissionDesk::ticket(const StepRef &step, const WorkerId &worker) const
{
    const auto found = m_admissions.find(step);
    if (found == m_admissions.end()) {
        return {};
    }
    const auto ticket = found->second.tickets.find(worker);
    const bool isValid =
        ticket != found->second.tickets.end() && m_context.now() + leastValidity <= ticket->second.validUntil;
    return isValid ? ticket->second.text : std::string();
}

bool AdmissionDesk::isWorthAsking(const StepRef &step, const WorkerId &worker) const
{
    const auto found = m_admissions.find(step);
    const bool isDenied = found != m_admissions.end() && found->second.denied.contains(worker);
    return !isDenied && ticket(step, worker).empty();
}

void AdmissionDesk::ask(const StepRef &step, const std::vector<WorkerId> &workers)
{
    Admission &admission = m_admissions[step];
    if (admission.isAsking || m_context.now() < admission.askAgainAt || workers.empty() || m_asking >= mostAsking) {
        return;
    }
    admission.isAsking = true;
    ++m_asking;
    m_context.askAdmission(
        step, workers, askTimeout,
        m_lifetime.guard([this, step, workers, askedAt = m_context.now()](const AdmissionResult &result) {
            take(step, workers, askedAt, result);
        }));
}

void AdmissionDesk::take(const StepRef &step, const std::vector<WorkerId> &workers, TimePoint askedAt,
                         const AdmissionResult &result)
{
    --m_asking;
    if (const auto found = m_admissions.find(step); found != m_admissions.end()) {
        Admission &admission = found->second;
        admission.isAsking = false;
        admission.askAgainAt = m_context.now() + (result ? Milliseconds(0) : askAgainDelay);
        for (const WorkerId &worker : result ? workers : std::vector<WorkerId>()) {
            const auto ticket = result->tickets.find(worker);
            if (ticket == result->tickets.end()) {
                admission.denied.insert(worker);
            } else {
                // The time may count from the moment at which the service decided.
                admission.tickets[worker] = { ticket->second, askedAt + result->validity };
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

void AdmissionDesk::drop(const StepRef &step, const WorkerId &worker)
{
    if (const auto found = m_admissions.find(step); found != m_admissions.end()) {
        found->second.tickets.erase(worker);
    }
}

void AdmissionDesk::forgetJob(const JobId &job)
{
    const auto first = m_admissions.lower_bound(StepRef { job, 0, 0 });
    auto last = first;
    while (last != m_admissions.end() && last->first.job == job) {
        ++last;
    }
    m_admissions.erase(first, last);
}

} // namespace currantring
