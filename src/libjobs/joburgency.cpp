#include "joburgency.h"

#include <algorithm>
#include <vector>

namespace currantring {

namespace {

/** A job that misses its objective counts as overdue beyond this multiple of it. */
constexpr std::int64_t lateFactor = 3;

/** Duration of the critical path, where steps for which @p isFinished holds take no time. */
template<typename IsOver>
Milliseconds criticalPathOf(const JobSpec &spec, IsOver isFinished)
{
    std::vector<Milliseconds> endsAt;
    Milliseconds longest {};
    for (std::uint32_t index = 0; index < spec.steps.size(); ++index) {
        const StepSpec &step = spec.steps[index];
        Milliseconds beginsAt {};
        for (const std::uint32_t earlier : step.after) {
            beginsAt = std::max(beginsAt, endsAt[earlier]);
        }
        endsAt.push_back(beginsAt + (isFinished(index) ? Milliseconds(0) : step.estimate));
        longest = std::max(longest, endsAt.back());
    }
    return longest;
}

} // namespace

Milliseconds criticalPath(const JobSpec &spec)
{
    return criticalPathOf(spec, [](std::uint32_t) { return false; });
}

Milliseconds remainingCriticalPath(const Job &job, std::uint32_t occurrence)
{
    return criticalPathOf(*job.spec,
                          [&job, occurrence](std::uint32_t index) { return job.isStepDone(occurrence, index); });
}

JobUrgency urgencyOf(const Job &job, std::uint32_t occurrence, const QueueEntry &queue, WallTime now)
{
    const std::int64_t since = job.spec->schedule
        ? job.spec->schedule->first.value() + job.spec->schedule->interval.count() * occurrence
        : job.acceptedAt.value();
    const auto path = static_cast<double>(criticalPath(*job.spec).count());
    const auto objective = static_cast<std::int64_t>(path * queue.stretch) + queue.targetLatency.count();
    const std::int64_t remaining = remainingCriticalPath(job, occurrence).count();
    JobUrgency urgency;
    urgency.priority = queue.priority;
    for (const std::int64_t due : { since + objective, since + lateFactor * objective }) {
        urgency.latestStart = due - remaining;
        if (now.value() <= urgency.latestStart) {
            return urgency;
        }
        urgency.deadlineState =
            urgency.deadlineState == DeadlineState::OnTime ? DeadlineState::Late : DeadlineState::Overdue;
    }
    return urgency;
}

JobUrgency urgencyOfLasting(const QueueEntry &queue, WallTime waitingSince)
{
    return { queue.priority, DeadlineState::OnTime, waitingSince.value() };
}

} // namespace currantring
