#pragma once

#include "jobrecord.h"

#include <map>

namespace currantring {

/**
 * All jobs of one shard, as the records of its log make them.
 *
 * Applying the same records in the same order gives the same table on every host. Thread safety: one thread at a time.
 */
class JobTable
{
public:
    /** Takes @p record in; false when it doesn't fit (unknown job, task or run), and nothing changes. */
    bool apply(const JobRecord &record);

    /** Null when unknown. */
    [[nodiscard]] const Job *find(const JobId &id) const;
    [[nodiscard]] const std::map<JobId, Job> &jobs() const;
    /** Begins the next occurrence of a scheduled job; not recorded, since it follows from the time. */
    void beginOccurrence(const JobId &id);
    /** Notes progress that a worker reported for a task; recorded with the run's end. */
    void noteCheckpoint(const TaskRef &task, const CheckpointId &checkpoint);
    void forget(const JobId &id);

private:
    bool accept(const JobAccepted &record);
    bool place(const RunPlaced &record);
    bool end(const RunEnded &record);
    bool close(const JobClosed &record);
    Task *findTask(const TaskRef &ref);
    static void slimDown(Job &job);

    std::map<JobId, Job> m_jobs;
};

} // namespace currantring
