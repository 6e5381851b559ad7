// The part of RunStarter that decides which steps wait for a rack.

#include "runstarter.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** Shortest wait for a rack where the cost of running elsewhere isn't known; up to maxRackWait it is the estimate. */
constexpr Milliseconds minRackWait { 300 };
/** Time until a further pass when steps wait for a rack and no event causes one before. */
constexpr Milliseconds rackRetryInterval { 50 };

} // namespace

void RunStarter::noteEnd(const WorkerLink &link, const LiveRun &run)
{
    if (m_rackWaits) {
        m_rackWaits->noteEnd(link, run);
    }
}

/** Whether a step that isn't a gang is placed on no other rack at present. */
bool RunStarter::wantsOnlyRack(const StepRef &step, const ReadyStep &ready, const Label &rack)
{
    if (!m_rackWaits) {
        return isWaitingForRack(ready, rack);
    }
    return !rack.value().empty() && m_rackWaits->wantsOnlyRack(rackCandidate(step, ready, { rack }));
}

/** Whether a gang that wants one rack, and found no room on any, waits for one. */
bool RunStarter::mayGangWait(const StepRef &step, const ReadyStep &ready)
{
    if (!m_rackWaits) {
        return mayWaitForRack(ready);
    }
    const Label dataRack = ready.step->dataRack;
    const QueueEntry &queue = *m_parts.queues.find(ready.queue);
    std::vector<Label> racks { dataRack };
    if (dataRack.value().empty()) {
        racks = m_parts.placer.racks(queue.service);
    }
    return m_rackWaits->decide(rackCandidate(step, ready, std::move(racks))) > 0;
}

/** Precondition: the step's job and queue are known. */
RackCandidate RunStarter::rackCandidate(const StepRef &step, const ReadyStep &ready, std::vector<Label> racks) const
{
    const QueueEntry &queue = *m_parts.queues.find(ready.queue);
    const Job &job = *m_parts.log.table().find(step.job);
    RackCandidate candidate { step, *ready.step, queue.service, std::move(racks), ready.tasks.size(), {}, {} };
    candidate.waited = m_parts.context.now() - ready.since;
    if (!ready.step->isLasting) {
        candidate.slack = slackToObjective(job, step.occurrence, queue, m_parts.context.wallNow());
    }
    return candidate;
}

/** Schedules a further pass while steps wait for a rack, as a wait may reach its limit without any event. */
void RunStarter::scheduleRackRetry()
{
    if (m_rackWaits && m_rackWaits->hasWaiting() && !std::exchange(m_isRackRetryScheduled, true)) {
        m_parts.context.schedule(rackRetryInterval, m_lifetime.guard([this] {
            m_isRackRetryScheduled = false;
            requestPass();
        }));
    }
}

/**
 * Places tasks on the step's rack while there is room, lets as many wait for it as is worthwhile, and places the others
 * elsewhere; returns how many are left.
 */
std::size_t RunStarter::placeByRackPolicy(const StepRef &step, const ReadyStep &ready)
{
    if (ready.step->isLasting || (ready.step->dataRack.value().empty() && !ready.step->wantsOneRack)) {
        return placeEach(step, ready, RackUse::Preferred, ready.tasks.size());
    }
    const Label first = rackOf(step, *ready.step);
    if (first.value().empty() || !m_rackWaits->isFull(*ready.step, first)) {
        placeEach(step, ready, RackUse::OnlyOnRack, ready.tasks.size());
    }
    const auto rest = m_ready.steps().find(step);
    if (rest == m_ready.steps().end()) {
        return 0;
    }
    const ReadyStep left = rest->second;
    const Label rack = rackOf(step, *ready.step);
    const std::size_t waiting = rack.value().empty() ? 0 : m_rackWaits->decide(rackCandidate(step, left, { rack }));
    if (waiting < left.tasks.size()) {
        placeEach(step, left, RackUse::Preferred, left.tasks.size() - waiting);
    }
    const std::size_t unplaced = waitingTasksOf(step);
    m_rackWaits->addWaiting(rack, *ready.step, unplaced);
    return unplaced;
}

void RunStarter::noteNoRoom(const PlacementRequest &request)
{
    m_noRoom.recordNoRoom(request);
    // Only a task that any worker of the service may take shows that capacity is short.
    if (m_rackWaits && !request.isRackNeeded && m_noRoom.isKnownNotToFit(request)) {
        m_rackWaits->noteShortage(request.step);
    }
}

/** Precondition: the placement isn't recorded yet. */
void RunStarter::notePlacedOnRack(const StepRef &step, const StepSpec &spec, const WorkerLink &link)
{
    if (!m_rackWaits || spec.isLasting) {
        return;
    }
    const Label rack = rackOf(step, spec);
    // The first task of a step that wants one rack determines it.
    const bool isFirst = rack.value().empty() && spec.wantsOneRack;
    m_rackWaits->notePlaced(step, isFirst ? link.entry().rack : rack, link);
}

bool RunStarter::mayWaitForRack(const ReadyStep &ready) const
{
    return m_parts.context.now() - ready.since < std::clamp(ready.step->estimate, minRackWait, maxRackWait);
}

bool RunStarter::isWaitingForRack(const ReadyStep &ready, const Label &rack) const
{
    return !rack.value().empty() && mayWaitForRack(ready) && !isRackAbsent(rack);
}

void RunStarter::noteSchedulableRacks()
{
    m_schedulableLabels.clear();
    if (m_parts.evacuations.evacuations().empty()) {
        return;
    }
    for (const auto &[id, link] : m_parts.fleet.links()) {
        if (m_parts.fleet.isSchedulable(*link)) {
            m_schedulableLabels.insert(link->entry().labels.begin(), link->entry().labels.end());
        }
    }
}

/** Whether waiting for a rack is futile, as an evacuation is under way and none of the rack's workers is schedulable.
 */
bool RunStarter::isRackAbsent(const Label &rack) const
{
    return !m_parts.evacuations.evacuations().empty() && !m_schedulableLabels.contains(rack);
}

/** The preferred rack of a step's tasks: that of its data, or that of its other tasks. */
Label RunStarter::rackOf(const StepRef &step, const StepSpec &spec) const
{
    if (!spec.dataRack.value().empty() || !spec.wantsOneRack) {
        return spec.dataRack;
    }
    for (std::uint32_t index = 0; index < spec.count; ++index) {
        for (const PlacedRun &run : task({ step, index }).runs) {
            if (const WorkerLink *const link = m_parts.fleet.find(run.worker)) {
                return link->entry().rack;
            }
        }
    }
    return {};
}

} // namespace currantring
