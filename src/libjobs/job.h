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
    /** The task or its worker failed. */
    Failed,
    /** The scheduler ordered the worker to stop it. */
    Stopped,
    /** The lease of its worker expired. */
    LeaseExpired,
    /** Another member of its gang ended. */
    GangEnded,
    /** The other members of its gang didn't join before the timeout. */
    GangIncomplete,
    /** It never started, its worker is gone, or its worker has no record of it. */
    Lost,
};

/** Thread safety: reentrant. */
std::string_view runEndName(RunEnd end);

/** State of a job as its submitter sees it. */
enum class JobPhase { Queued, Running, Completed, Failed, Cancelled };

/** Thread safety: reentrant. */
std::string_view jobPhaseName(JobPhase phase);

/** A run that is placed on a worker and isn't known to have ended. */
struct PlacedRun
{
    RunNumber number;
    WorkerId worker;
    /** Incarnation of the worker when the run was placed. */
    WorkerLife life;
};

/** Progress of one task in one occurrence. See settledTask() for one that isn't there. */
struct Task
{
    bool isDone = false;
    std::uint32_t failures = 0;
    RunNumber lastRun;
    /** Latest checkpoint; empty when there is none. */
    CheckpointId checkpoint;
    /** At most one, except in steps whose tasks may run as several copies. */
    std::vector<PlacedRun> runs;

    /** Returns the placed run with @p number, or null. */
    [[nodiscard]] const PlacedRun *run(RunNumber number) const;
};

/** Stands for each task that doesn't exist or was forgotten: nothing of it is left to do. Thread safety: reentrant. */
const Task &settledTask();

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

/** One repetition of the steps of a job. */
struct Occurrence
{
    /** Empty once the occurrence is compacted. */
    std::vector<StepTasks> steps;
    std::uint32_t doneSteps = 0;

    /** Whether it is done and its tasks have been forgotten. */
    [[nodiscard]] bool isCompacted() const
    {
        return steps.empty();
    }
    /** Whether it is done and none of its runs is known to go on. */
    [[nodiscard]] bool isOver() const;
};

/** A job and the progress of its tasks. */
struct Job
{
    std::shared_ptr<const JobSpec> spec;
    WallTime acceptedAt;
    /** Started occurrences, numbered from 0 without gaps. */
    std::vector<Occurrence> occurrences;
    std::uint32_t doneOccurrences = 0;
    /** Occurrences before this one are compacted. */
    std::uint32_t firstKept = 0;
    /** Whether a worker is known to have started a task of the job. */
    bool hasBegun = false;
    /** Completed, Failed or Cancelled once the job is closed; no task starts after that. */
    std::optional<JobPhase> closedAs;
    WallTime closedAt;

    Job(std::shared_ptr<const JobSpec> given, WallTime accepted);

    [[nodiscard]] bool isClosed() const
    {
        return closedAs.has_value();
    }
    [[nodiscard]] JobPhase phase() const;
    /** Whether all tasks of all occurrences are done. */
    [[nodiscard]] bool areAllTasksDone() const;
    /**
     * Whether the steps that @p step depends on are done; false once the occurrence is compacted. Precondition: the
     * occurrence has started.
     */
    [[nodiscard]] bool isStepOpen(std::uint32_t occurrence, std::uint32_t step) const;
    /** Adds the next occurrence, with no task started. */
    void beginOccurrence();
    /** Adds the next occurrence as one that is done and compacted. */
    void addDoneOccurrence();
    /** Forgets the tasks of occurrences that are over, where there are so many that they would fill the memory. */
    void compactOccurrences();
    /** A task that doesn't exist, or was forgotten with its occurrence, counts as done, without runs. */
    [[nodiscard]] const Task &task(const TaskRef &ref) const;
    /** The task itself, to change it; null when it doesn't exist or was forgotten. */
    [[nodiscard]] Task *find(const TaskRef &ref);
    /** Whether all tasks of a step are done; true for a step that doesn't exist or was forgotten. */
    [[nodiscard]] bool isStepDone(std::uint32_t occurrence, std::uint32_t step) const;
    /** Failed runs that count towards the task's attempt limit; for a gang, those of all its members. */
    [[nodiscard]] std::uint32_t failuresOf(const TaskRef &ref) const;
    /** Precondition: find() isn't null for @p ref, and the task isn't done. */
    void markDone(const TaskRef &ref);
    /** Returns the specification of a step; the result keeps the whole JobSpec alive. */
    [[nodiscard]] std::shared_ptr<const StepSpec> step(std::uint32_t index) const;
    /** Runs that are placed and not known to have ended. */
    [[nodiscard]] std::vector<RunRef> liveRuns() const;

private:
    /** Null when the step doesn't exist or was forgotten. */
    [[nodiscard]] const StepTasks *findStep(std::uint32_t occurrence, std::uint32_t step) const;
};

} // namespace currantring
