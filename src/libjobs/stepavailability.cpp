#include "stepavailability.h"

namespace currantring {

StepAvailability::StepAvailability(const JobLog &log, WorkerFleet &fleet)
    : m_log(log)
    , m_fleet(fleet)
{
}

std::uint32_t StepAvailability::unavailableSiblings(const LiveRun &run) const
{
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < run.step->count; ++index) {
        unavailable += readyOn({ run.ref.task.step, index }) == nullptr ? 1 : 0;
    }
    return unavailable;
}

std::uint32_t StepAvailability::siblingsLeavingBefore(const LiveRun &run, TimePoint time) const
{
    std::uint32_t leaving = 0;
    for (std::uint32_t index = 0; index < run.step->count; ++index) {
        const WorkerLink *const link = readyOn({ run.ref.task.step, index });
        leaving += link != nullptr && link->leavesAt() && *link->leavesAt() < time ? 1 : 0;
    }
    return leaving;
}

/** The worker on which the task is ready; null when the task isn't. */
const WorkerLink *StepAvailability::readyOn(const TaskRef &task) const
{
    const std::vector<PlacedRun> &placed = m_log.table().task(task).runs;
    const WorkerLink *const link = placed.empty() ? nullptr : m_fleet.find(placed.front().worker);
    if (link == nullptr) {
        return nullptr;
    }
    const auto run = link->runs().find(RunRef { task, placed.front().number });
    const bool isReady = run != link->runs().end() && run->second.phase == RunPhase::Running
        && !run->second.isEndPending() && run->second.percent == 100;
    return isReady ? link : nullptr;
}

} // namespace currantring
