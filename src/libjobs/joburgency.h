#pragma once

#include "job.h"
#include "siteconfiguration.h"

#include <tuple>

namespace currantring {

/** Longest chain of estimated work over the steps of @p spec. Thread safety: reentrant. */
Milliseconds longestChain(const JobSpec &spec);
/** The same over what isn't done in an occurrence. Precondition: it has begun. Thread safety: reentrant. */
Milliseconds remainingChain(const Job &job, std::uint32_t occurrence);

/** What can still come of a job. */
enum class JobOutlook {
    /** It can be done within its objective. */
    InTime,
    /** It will be late, and is still worth something. */
    Late,
    /** It will be too late to be worth more than any other. */
    Overdue,
};

/** Place of waiting work in the order in which it is placed; smaller goes first. */
struct JobUrgency
{
    std::uint32_t priority = 0;
    JobOutlook outlook = JobOutlook::InTime;
    /** When the rest of the work has to begin at the latest, in milliseconds of the wall clock. */
    std::int64_t latestStart = 0;

    auto operator<=>(const JobUrgency &) const = default;
};

/**
 * How urgent the open work of an occurrence is: what can still be in time goes before what can't, and the one that has
 * to begin first before the others. Thread safety: reentrant.
 */
JobUrgency urgencyOf(const Job &job, std::uint32_t occurrence, const QueueEntry &queue, WallTime now);

/**
 * How urgent a lasting task is that has waited for a place since @p waitingSince: it is missing all the time, and its
 * job's age says nothing of that. Thread safety: reentrant.
 */
JobUrgency urgencyOfLasting(const QueueEntry &queue, WallTime waitingSince);

} // namespace currantring
