#pragma once

#include "jobspec.h"
#include "taskref.h"
#include "workerorder.h"

#include <memory>
#include <optional>

namespace currantring {

/** State of a run on a worker, as known to its writer. */
enum class RunPhase {
    /** Placed; the placement isn't committed to the log yet. */
    Committing,
    /** Placed by an earlier writer; whether it runs is unknown. */
    Inherited,
    /** The start request was sent. */
    Starting,
    /** The start request got no response; the worker may still start the run until startBy. */
    Unsettled,
    Running,
    /** Being stopped; its resources stay reserved until the worker reports the end. */
    Stopping,
};

/** A run that has resources reserved on a worker. */
struct LiveRun
{
    RunRef ref;
    RunPhase phase = RunPhase::Committing;
    /** The task's step; null when its job is unknown. */
    std::shared_ptr<const StepSpec> step;
    QueueName queue;
    TimePoint placedAt {};
    /** When a response of the worker confirmed that no start request for the run is pending. */
    std::optional<TimePoint> settledAt;
    /** The worker refuses to start the run after this. */
    WorkerTime startBy;
    CheckpointId checkpoint;
    std::uint32_t percent = 0;
    /** When the progress last increased, or the run started. */
    TimePoint progressAt {};
    /** Gauge in the worker's latest report; see RunningRow. */
    std::int64_t gauge = 0;
    bool wasReported = false;
    /** Whether the worker's latest answer listed the run as running. */
    bool isListed = false;
    /** Pace last requested, in percent of full speed, when that was, and the pace before. */
    std::uint32_t pace = 100;
    TimePoint pacedAt {};
    std::uint32_t previousPace = 100;

    /** Whether the run has ended, and the worker hasn't listed its end yet; see ListExtent. */
    [[nodiscard]] bool isEndPending() const
    {
        return wasReported && !isListed;
    }
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
