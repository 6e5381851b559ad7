#include "joburgency.h"

#include <algorithm>
#include <vector>

namespace currantring {

namespace {

/** A job is worth something until this many times its objective. */
constexpr std::int64_t lateFactor = 3;

/** Longest chain over the steps, where @p isOver says which of them take no more time. */
template<typename IsOver>
Milliseconds chainOf(const JobSpec &spec, IsOver isOver)
{
    std::vector<Milliseconds> endsAt;
    Milliseconds longest {};
    for (std::uint32_t index = 0; index < spec.steps.size(); ++index) {
        const StepSpec &step = spec.steps[index];
        Milliseconds beginsAt {};
        for (const std::uint32_t earlier : step.after) {
            beginsAt = std::max(beginsAt, endsAt[earlier]);
        }
        endsAt.push_back(beginsAt + (isOver(index) ? Milliseconds(0) : step.estimate));
        longest = std::max(longest, endsAt.back());
    }
    return longest;
}

} // namespace

Milliseconds longestChain(const JobSpec &spec)
{
    return chainOf(spec, [](std::uint32_t) { return false; });
}

Milliseconds remainingChain(const Job &job, std::uint32_t occurrence)
{
    const Occurrence &begun = job.occurrences.at(occurrence);
    return chainOf(*job.spec, [&begun](std::uint32_t index) { return begun.steps[index].isDone(); });
}

JobUrgency urgencyOf(const Job &job, std::uint32_t occurrence, const QueueEntry &queue, WallTime now)
{
    const std::int64_t since = job.spec->schedule
        ? job.spec->schedule->first.value() + job.spec->schedule->interval.count() * occurrence
        : job.acceptedAt.value();
    const auto chain = static_cast<double>(longestChain(*job.spec).count());
    const auto objective = static_cast<std::int64_t>(chain * queue.stretch) + queue.targetLatency.count();
    const std::int64_t remaining = remainingChain(job, occurrence).count();
    JobUrgency urgency;
    urgency.priority = queue.priority;
    for (const std::int64_t due : { since + objective, since + lateFactor * objective }) {
        urgency.latestStart = due - remaining;
        if (now.value() <= urgency.latestStart) {
            return urgency;
        }
        urgency.outlook = urgency.outlook == JobOutlook::InTime ? JobOutlook::Late : JobOutlook::Overdue;
    }
    return urgency;
}

JobUrgency urgencyOfLasting(const QueueEntry &queue, WallTime waitingSince)
{
    return { queue.priority, JobOutlook::InTime, waitingSince.value() };
}

} // namespace currantring
