#pragma once

#include "taskref.h"
#include "units.h"

#include <map>
#include <set>

namespace currantring {

/**
 * Distinguishes faulty workers from tasks that fail on every worker.
 *
 * Each failure raises the worker's failure score, by less when the task has failed on other workers too; a successful
 * run resets it. A worker with too many consecutive failures is quarantined. After that it gets one task at a time
 * until a run succeeds or the probation period ends. Each further quarantine is longer, which spares the limited
 * attempts of other tasks; lasting tasks have no such limit and must run wherever there is room, so for them each
 * quarantine is as short as the first one. Thread safety: one thread at a time.
 */
class WorkerHealth
{
public:
    /** A run succeeded on @p worker; clears its record. */
    void noteSuccess(const WorkerId &worker);
    /** A run failed or made no progress; returns true when this puts the worker into quarantine. */
    bool noteFailure(const WorkerId &worker, const TaskRef &task, TimePoint now);
    /** All runs on the worker are slow or make no progress; quarantines it. */
    void noteUnhealthy(const WorkerId &worker, TimePoint now);
    /** Workers on which the task failed; null when there are none. */
    [[nodiscard]] const std::set<WorkerId> *failedOn(const TaskRef &task) const;
    /** Discards the failures of a task that is complete. */
    void forget(const TaskRef &task);
    void forgetJob(const JobId &job);
    /** Number of tasks whose failures are kept. */
    [[nodiscard]] std::size_t trackedTasks() const;

    /** Whether there is a failure to judge the worker by; without one it is healthy. */
    [[nodiscard]] bool hasRecord(const WorkerId &worker) const;
    [[nodiscard]] bool isQuarantined(const WorkerId &worker, TimePoint now) const;
    /** Whether the worker is limited to one task at a time, in or after a quarantine. */
    [[nodiscard]] bool isOnProbation(const WorkerId &worker, TimePoint now) const;
    /** The same for lasting tasks. */
    [[nodiscard]] bool isQuarantinedForLasting(const WorkerId &worker, TimePoint now) const;
    [[nodiscard]] bool isOnProbationForLasting(const WorkerId &worker, TimePoint now) const;
    /** Weighted count of consecutive failures with exponential decay; 0 for a healthy worker. */
    [[nodiscard]] double failureScore(const WorkerId &worker, TimePoint now) const;

private:
    struct Record
    {
        double failureScore = 0;
        TimePoint lastFailure {};
        std::uint32_t quarantines = 0;
        TimePoint quarantinedUntil {};

        /** End of the quarantine for lasting tasks. */
        [[nodiscard]] TimePoint quarantinedForLastingUntil() const;
    };

    std::map<WorkerId, Record> m_records;
    std::map<TaskRef, std::set<WorkerId>> m_failedOn;
};

} // namespace currantring
