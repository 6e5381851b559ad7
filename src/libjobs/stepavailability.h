#pragma once

#include "joblog.h"
#include "liverun.h"
#include "workerfleet.h"

namespace currantring {

/**
 * Tells how many tasks of a lasting step serve at present, which limits how many of them may be moved.
 *
 * Thread safety: one thread at a time.
 */
class StepAvailability
{
public:
    /** Precondition: the arguments outlive the object. */
    StepAvailability(const JobLog &log, WorkerFleet &fleet);

    /** Number of tasks of the run's step that aren't ready. */
    [[nodiscard]] std::uint32_t unavailableSiblings(const LiveRun &run) const;
    /** Number of ready tasks of the run's step on workers that leave before @p time. */
    [[nodiscard]] std::uint32_t siblingsLeavingBefore(const LiveRun &run, TimePoint time) const;

private:
    [[nodiscard]] const WorkerLink *readyOn(const TaskRef &task) const;

    const JobLog &m_log;
    WorkerFleet &m_fleet;
};

} // namespace currantring
