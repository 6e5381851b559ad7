#pragma once

#include "taskref.h"
#include "units.h"

#include <map>
#include <set>

namespace currantring {

/**
 * Tells workers that fail what others run well from tasks that fail everywhere.
 *
 * A failure counts against its worker, and less when the task has failed elsewhere too; a run that ends well clears the
 * worker. A worker with too many failures in a row takes no new work for a while, then one task at a time until one
 * ends well or nothing has failed for some time. Thread safety: one thread at a time.
 */
class WorkerHealth
{
public:
    /** A run of @p task ended well on @p worker. */
    void noteSuccess(const WorkerId &worker);
    /** A run failed, or stood still; true when the worker is quarantined by it. */
    bool noteFailure(const WorkerId &worker, const TaskRef &task, TimePoint now);
    /** Everything on the worker is slow or stands still. */
    void noteUnsound(const WorkerId &worker, TimePoint now);
    /** Where the task failed; null when nowhere. */
    [[nodiscard]] const std::set<WorkerId> *failedOn(const TaskRef &task) const;
    /** The task is over. */
    void forget(const TaskRef &task);
    void forgetJob(const JobId &job);

    [[nodiscard]] bool isQuarantined(const WorkerId &worker, TimePoint now) const;
    /** Whether the worker has to show itself before it takes more than one task. */
    [[nodiscard]] bool isOnProbation(const WorkerId &worker, TimePoint now) const;
    /** Failures in a row, weighted and fading; 0 for a worker that is well. */
    [[nodiscard]] double suspicion(const WorkerId &worker, TimePoint now) const;

private:
    struct Record
    {
        double suspicion = 0;
        TimePoint lastFailure {};
        std::uint32_t quarantines = 0;
        TimePoint quarantinedUntil {};
    };

    std::map<WorkerId, Record> m_records;
    std::map<TaskRef, std::set<WorkerId>> m_failedOn;
};

} // namespace currantring
