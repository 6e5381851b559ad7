#include "workerhealth.h"

#include <algorithm>
#include <cmath>

namespace currantring {

namespace {

/** Weight of a failure when the task has already failed on other workers. */
constexpr double sharedFailureWeight = 0.25;
constexpr double quarantineThreshold = 2;
/** Failure score that is set when a quarantine begins. */
constexpr double probationScore = 1;
/** The failure score halves after this time without a further failure. */
constexpr Milliseconds scoreHalfLife { 2000 };
constexpr Milliseconds firstQuarantine { 2000 };
constexpr std::uint32_t maxDoublings = 3;
constexpr Milliseconds probationTime { 3000 };

} // namespace

void WorkerHealth::noteSuccess(const WorkerId &worker)
{
    m_records.erase(worker);
}

bool WorkerHealth::noteFailure(const WorkerId &worker, const TaskRef &task, TimePoint now)
{
    std::set<WorkerId> &places = m_failedOn[task];
    const bool failsElsewhere =
        std::ranges::any_of(places, [&worker](const WorkerId &place) { return place != worker; });
    places.insert(worker);
    Record &record = m_records[worker];
    record.failureScore = failureScore(worker, now) + (failsElsewhere ? sharedFailureWeight : 1);
    record.lastFailure = now;
    if (record.failureScore < quarantineThreshold || now < record.quarantinedUntil) {
        return false;
    }
    const Milliseconds duration = firstQuarantine * (1 << std::min(record.quarantines, maxDoublings));
    ++record.quarantines;
    record.quarantinedUntil = now + duration;
    record.failureScore = probationScore;
    return true;
}

void WorkerHealth::noteUnhealthy(const WorkerId &worker, TimePoint now)
{
    Record &record = m_records[worker];
    record.quarantines = std::max(record.quarantines, 1U);
    record.quarantinedUntil = now + firstQuarantine;
    record.failureScore = probationScore;
    record.lastFailure = now;
}

const std::set<WorkerId> *WorkerHealth::failedOn(const TaskRef &task) const
{
    const auto found = m_failedOn.find(task);
    return found == m_failedOn.end() ? nullptr : &found->second;
}

void WorkerHealth::forget(const TaskRef &task)
{
    m_failedOn.erase(task);
}

void WorkerHealth::forgetJob(const JobId &job)
{
    std::erase_if(m_failedOn, [&job](const auto &entry) { return entry.first.step.job == job; });
}

std::size_t WorkerHealth::trackedTasks() const
{
    return m_failedOn.size();
}

bool WorkerHealth::hasRecord(const WorkerId &worker) const
{
    return m_records.contains(worker);
}

bool WorkerHealth::isQuarantined(const WorkerId &worker, TimePoint now) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && now < found->second.quarantinedUntil;
}

bool WorkerHealth::isOnProbation(const WorkerId &worker, TimePoint now) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && found->second.quarantines > 0
        && now < found->second.quarantinedUntil + probationTime;
}

TimePoint WorkerHealth::Record::quarantinedForLastingUntil() const
{
    return std::min(quarantinedUntil, lastFailure + firstQuarantine);
}

bool WorkerHealth::isQuarantinedForLasting(const WorkerId &worker, TimePoint now) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && now < found->second.quarantinedForLastingUntil();
}

bool WorkerHealth::isOnProbationForLasting(const WorkerId &worker, TimePoint now) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && found->second.quarantines > 0
        && now < found->second.quarantinedForLastingUntil() + probationTime;
}

double WorkerHealth::failureScore(const WorkerId &worker, TimePoint now) const
{
    const auto found = m_records.find(worker);
    if (found == m_records.end()) {
        return 0;
    }
    const Milliseconds age = now - found->second.lastFailure;
    return found->second.failureScore
        * std::exp2(-static_cast<double>(age.count()) / static_cast<double>(scoreHalfLife.count()));
}

} // namespace currantring
