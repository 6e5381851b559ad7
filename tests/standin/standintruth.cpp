#include "standintruth.h"

#include "workerrequestcodec.h"

#include <algorithm>

namespace currantring {

namespace {

std::int64_t sinceStart(TimePoint time)
{
    return time.time_since_epoch().count();
}

nlohmann::json describeRun(const StandinRun &run)
{
    nlohmann::json json = run.key;
    json["worker"] = run.worker;
    json["startMs"] = sinceStart(run.start);
    json["endMs"] = run.end ? nlohmann::json(sinceStart(*run.end)) : nlohmann::json();
    json["phase"] = attemptPhaseName(run.phase);
    json["resumedFrom"] = run.resumedFrom;
    json["progress"] = run.progress;
    return json;
}

} // namespace

std::optional<std::int64_t> StandinTruth::checkpointProgress(const CheckpointId &checkpoint) const
{
    const auto found = m_checkpoints.find(checkpoint);
    return found == m_checkpoints.end() ? std::nullopt : std::optional(found->second);
}

CheckpointId StandinTruth::recordCheckpoint(const AttemptKey &key, std::int64_t progress)
{
    const auto known = m_checkpointIds.find(key);
    if (known != m_checkpointIds.end()) {
        return known->second;
    }
    CheckpointId id("cp-" + key.task.value() + "-" + std::to_string(key.attempt.value()) + "-"
                    + std::to_string(progress));
    m_checkpointIds.emplace(key, id);
    m_checkpoints.emplace(id, progress);
    return id;
}

void StandinTruth::attemptStarted(const AttemptKey &key, const WorkerId &worker, TimePoint start,
                                  const CheckpointId &resumedFrom)
{
    m_running[{ worker, key }] = m_runs.size();
    m_runs.push_back({ key, worker, start, std::nullopt, AttemptPhase::Running, resumedFrom, 0 });
    TaskTruth &task = m_tasks[key.task];
    ++task.started;
    ++task.live;
    if (task.live > 1 && !task.doubled) {
        task.doubled = true;
        m_doubled.push_back(key.task);
    }
}

void StandinTruth::attemptEnded(const AttemptKey &key, const WorkerId &worker, TimePoint end, AttemptPhase phase,
                                std::int64_t progress)
{
    const auto running = m_running.find({ worker, key });
    if (running == m_running.end()) {
        return;
    }
    StandinRun &run = m_runs.at(running->second);
    run.end = end;
    run.phase = phase;
    run.progress = progress;
    m_running.erase(running);
    --m_tasks.at(key.task).live;
}

void StandinTruth::requestExecuted(const RequestId &request)
{
    ++m_executions[request];
}

void StandinTruth::noteDeclared(const WorkerId &worker, const Resources &declared)
{
    Resources &peak = m_peaks[worker].declared;
    peak.processors = std::max(peak.processors, declared.processors);
    peak.memory = std::max(peak.memory, declared.memory);
    peak.accelerators = std::max(peak.accelerators, declared.accelerators);
}

void StandinTruth::noteRequests(const WorkerId &worker, std::uint32_t active)
{
    std::uint32_t &peak = m_peaks[worker].requests;
    peak = std::max(peak, active);
}

void StandinTruth::noteConnections(const WorkerId &worker, std::uint32_t open)
{
    std::uint32_t &peak = m_peaks[worker].connections;
    peak = std::max(peak, open);
}

const std::vector<StandinRun> &StandinTruth::runs() const
{
    return m_runs;
}

std::uint32_t StandinTruth::startCount(const TaskId &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? 0 : found->second.started;
}

std::uint32_t StandinTruth::liveCount(const TaskId &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? 0 : found->second.live;
}

const std::vector<TaskId> &StandinTruth::doubledTasks() const
{
    return m_doubled;
}

std::uint32_t StandinTruth::executionCount(const RequestId &request) const
{
    const auto found = m_executions.find(request);
    return found == m_executions.end() ? 0 : found->second;
}

const std::map<RequestId, std::uint32_t> &StandinTruth::executions() const
{
    return m_executions;
}

const std::map<WorkerId, StandinPeaks> &StandinTruth::peaks() const
{
    return m_peaks;
}

nlohmann::json describeTruth(const StandinTruth &truth)
{
    nlohmann::json runs = nlohmann::json::array();
    for (const StandinRun &run : truth.runs()) {
        runs.push_back(describeRun(run));
    }
    nlohmann::json executions = nlohmann::json::object();
    for (const auto &[request, count] : truth.executions()) {
        executions[request.value()] = count;
    }
    nlohmann::json peaks = nlohmann::json::object();
    for (const auto &[worker, peak] : truth.peaks()) {
        peaks[worker.value()] = { { "declared", peak.declared },
                                  { "requests", peak.requests },
                                  { "connections", peak.connections } };
    }
    return {
        { "runs", runs }, { "doubledTasks", truth.doubledTasks() }, { "executions", executions }, { "peaks", peaks }
    };
}

} // namespace currantring
