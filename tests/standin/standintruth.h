#pragma once

#include "workerrequest.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace currantring {

/** One attempt that truly ran. */
struct StandinRun
{
    AttemptKey key;
    WorkerId worker;
    TimePoint start;
    /** Nullopt while it runs. */
    std::optional<TimePoint> end;
    AttemptPhase phase = AttemptPhase::Running;
    CheckpointId resumedFrom;
    /** Work steps done in all, those before the resume included. */
    std::int64_t progress = 0;
};

/** Most of everything that one worker ever had at once. */
struct StandinPeaks
{
    /** Declared amounts of the running attempts, each resource on its own. */
    Resources declared;
    std::uint32_t requests = 0;
    std::uint32_t connections = 0;
};

/**
 * Log of what truly ran on all workers, against which tests hold what callers were told; and the checkpoints, which
 * the platform keeps for all workers.
 *
 * Thread safety: one thread at a time.
 */
class StandinTruth
{
public:
    /** Steps of a checkpoint; nullopt when it was never recorded. The empty id has none. */
    [[nodiscard]] std::optional<std::int64_t> checkpointProgress(const CheckpointId &checkpoint) const;
    /** Records a checkpoint of the attempt; repeating it gives the first one again. */
    CheckpointId recordCheckpoint(const AttemptKey &key, std::int64_t progress);

    /** Precondition: the attempt isn't running. */
    void attemptStarted(const AttemptKey &key, const WorkerId &worker, TimePoint start,
                        const CheckpointId &resumedFrom);
    /** Does nothing when the attempt isn't running on @p worker. */
    void attemptEnded(const AttemptKey &key, const WorkerId &worker, TimePoint end, AttemptPhase phase,
                      std::int64_t progress);
    void requestExecuted(const RequestId &request);
    void noteDeclared(const WorkerId &worker, const Resources &declared);
    void noteRequests(const WorkerId &worker, std::uint32_t active);
    void noteConnections(const WorkerId &worker, std::uint32_t open);

    /** All attempts that ever ran, in order of their starts. */
    [[nodiscard]] const std::vector<StandinRun> &runs() const;
    /** Times that an attempt of @p task was started on any worker. */
    [[nodiscard]] std::uint32_t startCount(const TaskId &task) const;
    [[nodiscard]] std::uint32_t liveCount(const TaskId &task) const;
    /** Tasks that ever had two live attempts at once; empty when all is well. */
    [[nodiscard]] const std::vector<TaskId> &doubledTasks() const;
    [[nodiscard]] std::uint32_t executionCount(const RequestId &request) const;
    [[nodiscard]] const std::map<RequestId, std::uint32_t> &executions() const;
    /** Peaks by worker. */
    [[nodiscard]] const std::map<WorkerId, StandinPeaks> &peaks() const;

private:
    struct TaskTruth
    {
        std::uint32_t started = 0;
        std::uint32_t live = 0;
        bool doubled = false;
    };

    std::vector<StandinRun> m_runs;
    /** Index in m_runs of the running ones. */
    std::map<std::pair<WorkerId, AttemptKey>, std::size_t> m_running;
    std::map<TaskId, TaskTruth> m_tasks;
    std::vector<TaskId> m_doubled;
    std::map<RequestId, std::uint32_t> m_executions;
    std::map<WorkerId, StandinPeaks> m_peaks;
    std::map<AttemptKey, CheckpointId> m_checkpointIds;
    std::map<CheckpointId, std::int64_t> m_checkpoints;
};

/** The whole log as JSON, for tests that run against a stand-in in another process. Thread safety: reentrant. */
nlohmann::json describeTruth(const StandinTruth &truth);

} // namespace currantring
