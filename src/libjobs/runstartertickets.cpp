// The part of RunStarter that requests admission tickets and places steps by them.

#include "runstarter.h"

#include <utility>

namespace currantring {

namespace {

/** Steps without a worker to ask for that one pass goes through to find one with. */
constexpr std::size_t maxAdmissionTries = 8;
/** Interval at which steps that have no worker to ask for are looked at again. */
constexpr Milliseconds admissionRetryInterval { 100 };

} // namespace

/** Places the step whose tickets have just come before others take the room that they were requested for. */
void RunStarter::placeAnswered()
{
    const std::optional<StepRef> step = m_admission.takeAnswered();
    if (!step) {
        return;
    }
    const std::size_t before = waitingTasksOf(*step);
    if (before == 0) {
        return;
    }
    placeStep(*step);
    const bool isGang = m_ready.steps().contains(*step) && m_ready.steps().at(*step).step->isGang;
    if (waitingTasksOf(*step) < before) {
        m_admission.noteUse(*step, AdmissionUse::Started);
    } else {
        m_admission.noteUse(*step, isGang ? AdmissionUse::Incomplete : AdmissionUse::NotPlaced);
    }
}

/** Requests tickets for one of the steps that this pass couldn't place for want of them. */
void RunStarter::askAdmission()
{
    std::size_t tries = 0;
    for (const StepRef &step : m_admission.turns(m_waitingForTickets)) {
        const std::optional<AdmissionDemand> demand = admissionDemand(step, m_ready.steps().at(step));
        if (demand) {
            m_admission.ask(*demand);
            return;
        }
        m_admission.postpone(step);
        if (++tries == maxAdmissionTries) {
            break;
        }
    }
    if (!m_waitingForTickets.empty() && !std::exchange(m_isRetryScheduled, true)) {
        m_parts.context.schedule(admissionRetryInterval, m_lifetime.guard([this] {
            m_isRetryScheduled = false;
            requestPass();
        }));
    }
}

/** Nullopt when no request can lead to a start at present. */
std::optional<AdmissionDemand> RunStarter::admissionDemand(const StepRef &step, const ReadyStep &ready)
{
    const QueueEntry &queue = *m_parts.queues.find(ready.queue);
    std::optional<PlacementRequest> request = requestFor({ step, *ready.tasks.begin() }, *ready.step, ready.queue);
    if (!request) {
        return std::nullopt;
    }
    const std::size_t wanted = ready.tasks.size();
    request->rack = rackOf(step, *ready.step);
    if (ready.step->isGang && request->rack.value().empty() && ready.step->wantsOneRack) {
        const std::vector<Label> racks = m_parts.placer.racks(request->service);
        request->rack = racks.empty() ? Label() : racks.front();
    }
    request->isRackNeeded = !ready.step->isGang && wantsOnlyRack(step, ready, request->rack);
    std::size_t admittedRoom = 0;
    if (ready.step->isGang) {
        requireTicket(step, queue, *request);
        for (const WorkerLink *const link : m_parts.placer.candidates(*request, m_parts.context.now())) {
            admittedRoom += RunPlacer::roomFor(*request, *link, wanted);
        }
    }
    request->isAdmitted = [this, &step](const WorkerLink &link) {
        return m_admission.mayObtainTicket(step, link.entry().id, link.life());
    };
    AdmissionDemand demand { step, queue.name, *queue.admission, {}, {} };
    std::size_t room = admittedRoom;
    for (const WorkerLink *const link : m_parts.placer.candidates(*request, m_parts.context.now())) {
        demand.candidates.push_back({ link->entry().id, link->life(), RunPlacer::roomFor(*request, *link, wanted) });
        room += demand.candidates.back().slots;
    }
    const bool isOfNoUse = ready.step->isGang && (room < wanted || admittedRoom >= wanted);
    if (demand.candidates.empty() || isOfNoUse) {
        return std::nullopt;
    }
    demand.need = { ready.step->isGang ? wanted - admittedRoom : wanted, ready.step->isGang };
    return demand;
}

/** Restricts @p request to workers that have admitted the step, if its queue requires admission. */
void RunStarter::requireTicket(const StepRef &step, const QueueEntry &queue, PlacementRequest &request) const
{
    if (queue.admission) {
        request.isAdmitted = [this, &step](const WorkerLink &link) {
            return m_admission.isAdmitted(step, link.entry().id, link.life());
        };
    }
}

/** Whether the step can't be placed as no worker has admitted it. */
bool RunStarter::lacksTickets(const StepRef &step, const QueueEntry &queue) const
{
    return queue.admission && !m_admission.hasTickets(step);
}

/** Notes that a step wasn't placed completely, so that tickets are requested if its queue requires admission. */
void RunStarter::waitForTickets(const StepRef &step, const QueueEntry &queue)
{
    if (queue.admission) {
        m_waitingForTickets.push_back(step);
    }
}

} // namespace currantring
