#include "workerhealth.h"

#include <algorithm>
#include <cmath>

namespace currantring {

namespace {

/** Weight of a failure of a task that failed on other workers before. */
constexpr double sharedBlame = 0.25;
constexpr double quarantineSuspicion = 2;
/** Suspicion that is left after a quarantine. */
constexpr double probationSuspicion = 1;
/** A suspicion that nothing confirms is half as strong after this time. */
constexpr Milliseconds halfLife { 2000 };
constexpr Milliseconds firstQuarantine { 2000 };
constexpr std::uint32_t longestDoubling = 3;
constexpr Milliseconds probation { 3000 };

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
    record.suspicion = suspicion(worker, now) + (failsElsewhere ? sharedBlame : 1);
    record.lastFailure = now;
    if (record.suspicion < quarantineSuspicion || now < record.quarantinedUntil) {
        return false;
    }
    const Milliseconds term = firstQuarantine * (1 << std::min(record.quarantines, longestDoubling));
    ++record.quarantines;
    record.quarantinedUntil = now + term;
    record.suspicion = probationSuspicion;
    return true;
}

void WorkerHealth::noteUnsound(const WorkerId &worker, TimePoint now)
{
    Record &record = m_records[worker];
    record.quarantines = std::max(record.quarantines, 1U);
    record.quarantinedUntil = now + firstQuarantine;
    record.suspicion = probationSuspicion;
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

bool WorkerHealth::isQuarantined(const WorkerId &worker, TimePoint now) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && now < found->second.quarantinedUntil;
}

bool WorkerHealth::isOnProbation(const WorkerId &worker, TimePoint now) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && found->second.quarantines > 0
        && now < found->second.quarantinedUntil + probation;
}

double WorkerHealth::suspicion(const WorkerId &worker, TimePoint now) const
{
    const auto found = m_records.find(worker);
    if (found == m_records.end()) {
        return 0;
    }
    const Milliseconds age = now - found->second.lastFailure;
    return found->second.suspicion
        * std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

} // namespace currantring
