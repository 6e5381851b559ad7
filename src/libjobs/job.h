#pragma once

#include "jobspec.h"
#include "steptasks.h"

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
    /** Of the table that holds the job: the memory that it counts for it. */
    std::size_t countedBytes = 0;
    /** Tasks that are kept in all occurrences, see StepTasks::kept(). */
    std::size_t keptTasks = 0;
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
    /** Forgets the steps and their progress; only the job's state is asked for afterwards. */
    void dropSteps();
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
    /** The task itself, to change it; null when it doesn't exist, is settled, or was forgotten with its occurrence. */
    [[nodiscard]] Task *find(const TaskRef &ref);
    /** Whether all tasks of a step are done; true for a step that doesn't exist or was forgotten. */
    [[nodiscard]] bool isStepDone(std::uint32_t occurrence, std::uint32_t step) const;
    /** Failed runs that count towards the task's attempt limit; for a gang, those of all its members. */
    [[nodiscard]] std::uint32_t failuresOf(const TaskRef &ref) const;
    /** Precondition: the task exists and isn't done. */
    void markDone(const TaskRef &ref);
    /** Forgets the task if it is done and none of its runs is known to go on. */
    void settle(const TaskRef &ref);
    /** Returns the specification of a step; the result keeps the whole JobSpec alive. */
    [[nodiscard]] std::shared_ptr<const StepSpec> step(std::uint32_t index) const;
    /** Runs that are placed and not known to have ended. */
    [[nodiscard]] std::vector<RunRef> liveRuns() const;

private:
    /** Null when the step doesn't exist or was forgotten. */
    [[nodiscard]] const StepTasks *findStep(std::uint32_t occurrence, std::uint32_t step) const;
    [[nodiscard]] StepTasks *findStep(std::uint32_t occurrence, std::uint32_t step);
};

} // namespace currantring
