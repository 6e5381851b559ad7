#pragma once

#include "jobspec.h"
#include "taskref.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace currantring {

/** How a run ended. */
enum class RunEnd {
    Done,
    /** Through its own fault or its worker's. */
    Failed,
    /** On an order. */
    Stopped,
    /** Its worker's lease ran out. */
    Lapsed,
    /** Another member of its gang ended. */
    Broken,
    /** The other members of its gang didn't come in time. */
    Alone,
    /** It never began, or its worker is gone or has forgotten it. */
    Lost,
};

/** Thread safety: reentrant. */
std::string_view runEndName(RunEnd end);

/** State of a job as its submitter sees it. */
enum class JobPhase { Queued, Running, Completed, Failed, Cancelled };

/** Thread safety: reentrant. */
std::string_view jobPhaseName(JobPhase phase);

/** A run that was given to a worker and isn't known to be over. */
struct PlacedRun
{
    RunNumber number;
    WorkerId worker;
    /** The worker's life when the run was placed. */
    WorkerLife life;
};

/** One task of one occurrence. */
struct Task
{
    bool isDone = false;
    std::uint32_t failures = 0;
    RunNumber lastRun;
    /** Latest saved progress; empty when there is none. */
    CheckpointId checkpoint;
    /** At most one, but for steps that may run copies. */
    std::vector<PlacedRun> runs;

    /** The run @p number; null when it isn't placed. */
    [[nodiscard]] const PlacedRun *run(RunNumber number) const;
};

/** The tasks of one step of one occurrence. */
struct StepTasks
{
    std::vector<Task> tasks;
    std::uint32_t doneCount = 0;

    [[nodiscard]] bool isDone() const
    {
        return doneCount == tasks.size();
    }
};

/** One repetition of a job's steps. */
struct Occurrence
{
    std::vector<StepTasks> steps;
    std::uint32_t doneSteps = 0;
};

/** A job with the progress of its tasks. */
struct Job
{
    std::shared_ptr<const JobSpec> spec;
    WallTime acceptedAt;
    /** Begun occurrences, from 0 without gaps. */
    std::vector<Occurrence> occurrences;
    std::uint32_t doneOccurrences = 0;
    bool wasStarted = false;
    /** Completed, Failed or Cancelled once the job is closed; no task starts any more. */
    std::optional<JobPhase> closedAs;
    WallTime closedAt;

    Job(std::shared_ptr<const JobSpec> given, WallTime accepted);

    [[nodiscard]] bool isClosed() const
    {
        return closedAs.has_value();
    }
    [[nodiscard]] JobPhase phase() const;
    /** Whether all tasks of all occurrences are done. */
    [[nodiscard]] bool isWholeDone() const;
    /** Whether the steps before @p step are done. Precondition: the occurrence has begun. */
    [[nodiscard]] bool isStepOpen(std::uint32_t occurrence, std::uint32_t step) const;
    /** Makes the next occurrence. */
    void beginOccurrence();
    /** Null when there is no such task. */
    [[nodiscard]] Task *task(const TaskRef &ref);
    [[nodiscard]] const Task *task(const TaskRef &ref) const;
    /** Failed runs that count against the task: its own, or those of all members of its gang. */
    [[nodiscard]] std::uint32_t failuresOf(const TaskRef &ref) const;
    /** Precondition: task() isn't null for @p ref and isn't done. */
    void markDone(const TaskRef &ref);
    /** The step's description, which lives as long as it is held. */
    [[nodiscard]] std::shared_ptr<const StepSpec> step(std::uint32_t index) const;
    /** Runs that are placed and not known to be over. */
    [[nodiscard]] std::vector<RunRef> liveRuns() const;
};

} // namespace currantring
