#pragma once

#include "jobmemory.h"
#include "jobrecord.h"

#include <map>

namespace currantring {

/**
 * All jobs of one shard, built by applying the records of its log.
 *
 * Deterministic: the same records in the same order produce the same table on every host. Thread safety: one thread
 * at a time.
 */
class JobTable
{
public:
    /** Applies @p record; returns false without a change when it doesn't apply, e.g. to an unknown job, task or run. */
    bool apply(const JobRecord &record);

    /** Returns null when the job is unknown. */
    [[nodiscard]] const Job *find(const JobId &id) const;
    /** A task that doesn't exist or was forgotten, maybe with its job, counts as done, without runs. */
    [[nodiscard]] const Task &task(const TaskRef &ref) const;
    [[nodiscard]] const std::map<JobId, Job> &jobs() const;
    /** Starts the next occurrence of a scheduled job; not logged, since it follows from the schedule. */
    void beginOccurrence(const JobId &id);
    /** Forgets tasks of occurrences that are over; see Job::compactOccurrences(). Precondition: as beginOccurrence().
     */
    void compactOccurrences(const JobId &id);
    /** Sets the latest checkpoint that a worker reported for a task; logged when the run ends. */
    void setCheckpoint(const TaskRef &task, const CheckpointId &checkpoint);
    void forget(const JobId &id);
    /** Estimated memory of the jobs. */
    [[nodiscard]] const JobMemory &memory() const;

private:
    bool accept(const JobAccepted &record);
    bool place(const RunPlaced &record);
    bool begin(const JobBegun &record);
    bool end(const RunEnded &record);
    bool close(const JobClosed &record);
    Task *findTask(const TaskRef &ref);
    static void compactClosedJob(Job &job);
    void account(Job &job);

    std::map<JobId, Job> m_jobs;
    JobMemory m_memory;
};

} // namespace currantring
