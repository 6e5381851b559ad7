#include "virtualadmission.h"

#include "ids.h"
#include "virtualworker.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

constexpr std::size_t maxWaitingRequests = 32;

} // namespace

bool admitsTwoThirds(const StepRef &step, const WorkerEntry &worker)
{
    return stableHash(step.job.value() + worker.id.value()) % 3 != 0;
}

VirtualAdmission::VirtualAdmission(VirtualAdmissionOptions options)
    : m_options(std::move(options))
{
}

std::optional<VirtualAdmission::Turn> VirtualAdmission::arrive(const HostId &host, std::size_t workers, TimePoint now)
{
    std::vector<TimePoint> &answers = m_answers[host];
    std::erase_if(answers, [now](TimePoint at) { return at <= now; });
    m_mostWorkersNamed = std::max(m_mostWorkersNamed, workers);
    // The first of them is being handled.
    if (answers.size() > maxWaitingRequests) {
        return std::nullopt;
    }
    const Milliseconds duration =
        (m_options.base + m_options.perWorker * static_cast<std::int64_t>(workers)) * m_slowness;
    const TimePoint begin = answers.empty() ? now : answers.back();
    answers.push_back(begin + duration);
    m_requests.push_back({ now, duration, false });
    return Turn { m_requests.size() - 1, answers.back() };
}

AdmissionAnswer VirtualAdmission::decide(const Turn &turn, const StepRef &step, const std::vector<WorkerEntry> &workers)
{
    AdmissionAnswer answer;
    answer.validity = m_options.validity;
    const TimePoint from = m_options.countsFromRequest ? m_requests.at(turn.number).arrivedAt : turn.answerAt;
    for (const WorkerEntry &worker : workers) {
        if (!m_options.admits || m_options.admits(step, worker)) {
            const std::string ticket = admissionTicket(step, worker, from + m_options.validity);
            m_requestsByTicket[ticket] = turn.number;
            answer.tickets.emplace(worker.id, ticket);
        }
    }
    return answer;
}

void VirtualAdmission::noteStart(const std::string &ticket)
{
    if (const auto found = m_requestsByTicket.find(ticket); found != m_requestsByTicket.end()) {
        m_requests.at(found->second).isUseful = true;
    }
}

VirtualAdmissionOptions &VirtualAdmission::options()
{
    return m_options;
}

void VirtualAdmission::setFault(AdmissionFault fault)
{
    m_fault = fault;
}

AdmissionFault VirtualAdmission::fault() const
{
    return m_fault;
}

void VirtualAdmission::setSlowness(std::int64_t factor)
{
    m_slowness = factor;
}

std::size_t VirtualAdmission::mostWorkersNamed() const
{
    return m_mostWorkersNamed;
}

std::size_t VirtualAdmission::requests() const
{
    return m_requests.size();
}

double VirtualAdmission::usefulShare() const
{
    Milliseconds useful {};
    Milliseconds all {};
    for (const Request &request : m_requests) {
        all += request.duration;
        useful += request.isUseful ? request.duration : Milliseconds(0);
    }
    return static_cast<double>(useful.count()) / static_cast<double>(std::max(all, Milliseconds(1)).count());
}

} // namespace currantring
