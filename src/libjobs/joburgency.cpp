#include "joburgency.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace currantring {

namespace {

/**
 * Factor on the estimates of best-effort steps when a job is judged on time: a step ends with its slowest run, and
 * best-effort tasks share processors and may be throttled or moved.
 */
constexpr std::int64_t fillerFactor = 2;

/** How long a lasting task yields to jobs; a fraction of the seconds in which it has to be back. */
constexpr Milliseconds maxLastingYield { 1500 };

/** Durations of the critical path through the steps of a job. */
struct PathDurations
{
    Milliseconds whole {};
    /** Without the steps that are done. */
    Milliseconds remaining {};
    /** The same with fillerFactor. */
    Milliseconds cautious {};
};

void raiseTo(PathDurations &durations, const PathDurations &others)
{
    durations.whole = std::max(durations.whole, others.whole);
    durations.remaining = std::max(durations.remaining, others.remaining);
    durations.cautious = std::max(durations.cautious, others.cautious);
}

/** Calculates all durations in one pass over the steps, as they are needed for each waiting step in each placement
 * pass. */
template<typename IsDone>
PathDurations pathDurations(const JobSpec &spec, IsDone isDone)
{
    std::vector<PathDurations> endsAt;
    endsAt.reserve(spec.steps.size());
    PathDurations longest;
    for (std::uint32_t index = 0; index < spec.steps.size(); ++index) {
        const StepSpec &step = spec.steps[index];
        PathDurations &end = endsAt.emplace_back();
        for (const std::uint32_t earlier : step.after) {
            raiseTo(end, endsAt[earlier]);
        }
        end.whole += step.estimate;
        if (!isDone(index)) {
            end.remaining += step.estimate;
            end.cautious += step.estimate * (step.isFiller ? fillerFactor : 1);
        }
        raiseTo(longest, end);
    }
    return longest;
}

PathDurations pathDurations(const Job &job, std::uint32_t occurrence)
{
    return pathDurations(*job.spec,
                         [&job, occurrence](std::uint32_t index) { return job.isStepDone(occurrence, index); });
}

/** Estimated work of one task in millicore-milliseconds; positive, as jobs are ordered by ratios of work. */
double workOfTask(const StepSpec &step)
{
    return static_cast<double>(std::max<std::int64_t>(step.estimate.count(), 1))
        * static_cast<double>(std::max<std::int64_t>(step.need.processors.value(), 1));
}

/** Estimated work of the tasks that aren't done, divided by the square root of the work of all tasks. */
double scaledRemainingWork(const Job &job, std::uint32_t occurrence)
{
    const std::vector<StepTasks> &progress = job.occurrences.at(occurrence).steps;
    double whole = 0;
    double remaining = 0;
    for (std::size_t index = 0; index < progress.size(); ++index) {
        const StepTasks &step = progress[index];
        const double work = workOfTask(job.spec->steps[index]);
        whole += work * static_cast<double>(step.count());
        remaining += work * static_cast<double>(step.count() - step.doneCount());
    }
    return whole > 0 ? remaining / std::sqrt(whole) : 0;
}

/** Since when the latency of an occurrence counts, in milliseconds of the wall clock. */
std::int64_t beginOf(const Job &job, std::uint32_t occurrence)
{
    return job.spec->schedule ? job.spec->schedule->first.value() + job.spec->schedule->interval.count() * occurrence
                              : job.acceptedAt.value();
}

std::int64_t objectiveOf(const PathDurations &path, const QueueEntry &queue)
{
    return static_cast<std::int64_t>(static_cast<double>(path.whole.count()) * queue.stretch)
        + queue.targetLatency.count();
}

} // namespace

Milliseconds criticalPath(const JobSpec &spec)
{
    return pathDurations(spec, [](std::uint32_t) { return false; }).whole;
}

Milliseconds remainingCriticalPath(const Job &job, std::uint32_t occurrence)
{
    return pathDurations(job, occurrence).remaining;
}

WallTime latestStartFor(const Job &job, std::uint32_t occurrence, const QueueEntry &queue)
{
    const PathDurations path = pathDurations(job, occurrence);
    return WallTime(beginOf(job, occurrence) + objectiveOf(path, queue) - path.remaining.count());
}

JobUrgency urgencyOf(const Job &job, std::uint32_t occurrence, const QueueEntry &queue, WallTime now)
{
    const std::int64_t since = beginOf(job, occurrence);
    const PathDurations path = pathDurations(job, occurrence);
    const std::int64_t objective = objectiveOf(path, queue);
    const std::int64_t latestOnTime = since + objective - path.cautious.count();
    const std::int64_t latest = since + lateFactor * objective - path.remaining.count();
    if (now.value() > latest) {
        return { queue.priority, DeadlineState::Overdue, WorkKind::Job, 0, latest };
    }
    const bool isOnTime = now.value() <= latestOnTime;
    return { queue.priority, isOnTime ? DeadlineState::OnTime : DeadlineState::Late, WorkKind::Job,
             scaledRemainingWork(job, occurrence), isOnTime ? latestOnTime : latest };
}

JobUrgency urgencyOfLasting(const QueueEntry &queue, WallTime waitingSince, WallTime now)
{
    const Milliseconds waited(now.value() - waitingSince.value());
    const WorkKind kind = waited < maxLastingYield ? WorkKind::Lasting : WorkKind::WaitingLasting;
    return { queue.priority, DeadlineState::OnTime, kind, 0, waitingSince.value() };
}

} // namespace currantring
