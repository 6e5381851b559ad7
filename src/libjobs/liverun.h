#pragma once

#include "jobspec.h"
#include "taskref.h"
#include "workerorder.h"

#include <memory>
#include <optional>

namespace currantring {

/** Where a run on a worker stands, as far as its writer knows. */
enum class RunPhase {
    /** Placed, and the placement isn't on record yet. */
    Committing,
    /** An earlier writer placed it; whether it runs is unknown. */
    Inherited,
    /** The order is under way. */
    Starting,
    /** The order got no answer; it may be carried out until its time is over. */
    Unsettled,
    Running,
    /** To be stopped; holds its room until the worker lists the end. */
    Stopping,
};

/** One run that holds room on a worker. */
struct LiveRun
{
    RunRef ref;
    RunPhase phase = RunPhase::Committing;
    /** What the task is; null when its job is unknown. */
    std::shared_ptr<const StepSpec> step;
    QueueName queue;
    TimePoint placedAt {};
    /** When the worker's answer made certain that no order for the run is under way. */
    std::optional<TimePoint> settledAt;
    /** The worker refuses the start after this. */
    WorkerTime startBy;
    CheckpointId checkpoint;
    std::uint32_t percent = 0;
    /** When the progress last grew, or the run began. */
    TimePoint progressAt {};
    /** Latest gauge of the worker's report; see RunningRow. */
    std::int64_t gauge = 0;
    bool wasReported = false;
    /** Share of its speed that it was last told to work at, since when, and at which before. */
    std::uint32_t pace = 100;
    TimePoint pacedAt {};
    std::uint32_t earlierPace = 100;

    [[nodiscard]] bool isServing() const
    {
        return step && step->isServing();
    }
    [[nodiscard]] bool isFiller() const
    {
        return step && step->isFiller;
    }
};

} // namespace currantring
