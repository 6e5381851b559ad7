#pragma once

#include "neighbourmodel.h"
#include "noroomcache.h"
#include "runplacer.h"
#include "workerhealth.h"

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace currantring {

/** A run that should move to another worker, and the reason. */
struct RunMove
{
    RunRef run;
    std::string_view reason;
};

/**
 * Finds runs to move: those on an unsound worker, lasting tasks on a draining one, stalled runs, stragglers, and
 * fillers that are throttled beside a serving task.
 *
 * Thread safety: one thread at a time.
 */
class RunMonitor
{
public:
    struct Sources
    {
        /** Returns the placement request of the run's task. */
        std::function<std::optional<PlacementRequest>(const LiveRun &run)> requestFor;
        /** Returns the number of tasks of the run's step that aren't ready. */
        std::function<std::uint32_t(const LiveRun &run)> unavailableSiblings;
        /** Returns the number of ready tasks of the run's step on workers that leave before @p time. */
        std::function<std::uint32_t(const LiveRun &run, TimePoint time)> siblingsLeavingBefore;
    };

    /** Precondition: the arguments outlive the object. */
    RunMonitor(const NeighbourModel &neighbours, const RunPlacer &placer, WorkerHealth &health, Sources sources);

    /** The runs to move after a report of @p link; their number is limited per report. */
    std::vector<RunMove> decide(const WorkerLink &link, TimePoint now);
    /** Records the duration of a completed run, which is the reference for other tasks of its step. */
    void recordCompletion(const LiveRun &run, TimePoint now);
    void forgetStep(const StepRef &step);
    void forgetJob(const JobId &job);
    /** Number of steps that durations are kept of. */
    [[nodiscard]] std::size_t trackedSteps() const;

private:
    [[nodiscard]] bool isUnsound(const WorkerLink &link, TimePoint now);
    [[nodiscard]] std::string_view reasonToMove(const LiveRun &run, const WorkerLink &link, bool isWorkerUnsound,
                                                TimePoint now) const;
    [[nodiscard]] bool isDueToLeave(const LiveRun &run, const WorkerLink &link, TimePoint now) const;
    [[nodiscard]] bool mayMove(const LiveRun &run, const WorkerLink &link, const std::vector<RunMove> &moves,
                               TimePoint now) const;
    bool hasBetterPlace(const LiveRun &run, const WorkerLink &link, bool isHalted, TimePoint now);
    [[nodiscard]] static bool isStalled(const LiveRun &run, TimePoint now);
    [[nodiscard]] bool isStraggler(const LiveRun &run, TimePoint now) const;

    const NeighbourModel &m_neighbours;
    const RunPlacer &m_placer;
    WorkerHealth &m_health;
    Sources m_sources;
    /** Requests of halted fillers that had no better place, and when the cache was last cleared. */
    NoRoomCache m_noBetter;
    TimePoint m_noBetterSince {};
    /** Since when all serving tasks of a worker have exceeded the unsound tail latency. */
    std::map<WorkerId, TimePoint> m_slowSince;
    /** Durations of the completed tasks of a step, in rising order. */
    std::map<StepRef, std::vector<Milliseconds>> m_durations;
};

} // namespace currantring
