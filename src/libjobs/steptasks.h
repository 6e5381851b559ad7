#pragma once

#include "taskref.h"

#include <map>
#include <vector>

namespace currantring {

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

/**
 * The tasks of one step of one occurrence.
 *
 * Only tasks that have begun and aren't settled take memory of their own, so that jobs with many tasks can wait. A task
 * is settled once it is done and none of its runs is known to go on. Thread safety: one thread at a time.
 */
class StepTasks
{
public:
    explicit StepTasks(std::uint32_t count);

    [[nodiscard]] std::uint32_t count() const;
    [[nodiscard]] std::uint32_t doneCount() const;
    [[nodiscard]] bool isDone() const;
    [[nodiscard]] bool isSettled(std::uint32_t index) const;
    /** Precondition: @p index is below count(). */
    [[nodiscard]] const Task &task(std::uint32_t index) const;
    /** The tasks that are kept, by index. */
    [[nodiscard]] const std::map<std::uint32_t, Task> &kept() const;
    /** The task, to change it; null when it is settled. Precondition: @p index is below count(). */
    [[nodiscard]] Task *find(std::uint32_t index);
    /** Precondition: @p index is below count(), and the task isn't done. */
    void markDone(std::uint32_t index);
    /** Forgets the task if it is settled now. */
    void settle(std::uint32_t index);

private:
    std::uint32_t m_count;
    std::uint32_t m_doneCount = 0;
    std::map<std::uint32_t, Task> m_kept;
    /** Empty as long as none is settled. */
    std::vector<bool> m_settled;
};

} // namespace currantring
