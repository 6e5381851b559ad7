#pragma once

#include "neighbourmodel.h"
#include "roommemo.h"
#include "runplacer.h"
#include "workerhealth.h"

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace currantring {

/** A run that should go on elsewhere, and why. */
struct RunMove
{
    RunRef run;
    std::string_view reason;
};

/**
 * Finds runs that get on badly where they are: on a worker that is slow or stands still, or halted beside a serving
 * task.
 *
 * Thread safety: one thread at a time.
 */
class RunWatch
{
public:
    struct Sources
    {
        /** What the placer has to know of a run's task. */
        std::function<std::optional<PlacementWish>(const LiveRun &run)> wishFor;
        /** Tasks of the run's step that aren't at work. */
        std::function<std::uint32_t(const LiveRun &run)> awayBeside;
    };

    /** Precondition: the arguments outlive the object. */
    RunWatch(const NeighbourModel &neighbours, const RunPlacer &placer, WorkerHealth &health, Sources sources);

    /** The runs to move after a report of @p link; few at a time. */
    std::vector<RunMove> decide(const WorkerLink &link, TimePoint now);
    /** A run ended well; how long it took tells what its step's other tasks should take. */
    void noteDone(const LiveRun &run, TimePoint now);
    void forgetStep(const StepRef &step);
    void forgetJob(const JobId &job);

private:
    [[nodiscard]] bool isUnsound(const WorkerLink &link, TimePoint now);
    [[nodiscard]] std::string_view reasonToMove(const LiveRun &run, bool isWorkerUnsound, TimePoint now) const;
    [[nodiscard]] bool mayMove(const LiveRun &run) const;
    bool hasBetter(const LiveRun &run, const WorkerLink &link, bool isHalted, TimePoint now);
    [[nodiscard]] static bool isStalled(const LiveRun &run, TimePoint now);
    [[nodiscard]] bool isStraggler(const LiveRun &run, TimePoint now) const;

    const NeighbourModel &m_neighbours;
    const RunPlacer &m_placer;
    WorkerHealth &m_health;
    Sources m_sources;
    /** Kinds of fillers that had no better place lately, and since when the memo holds. */
    RoomMemo m_noBetter;
    TimePoint m_noBetterSince {};
    /** Since when a worker's serving tasks have answered far too slowly. */
    std::map<WorkerId, TimePoint> m_slowSince;
    /** How long the tasks of a step took. */
    std::map<StepRef, std::vector<Milliseconds>> m_durations;
};

} // namespace currantring
