#pragma once

#include "job.h"
#include "siteconfiguration.h"

#include <tuple>

namespace currantring {

/** Estimated duration of the critical path through the steps of @p spec. Thread safety: reentrant. */
Milliseconds criticalPath(const JobSpec &spec);
/** The same for the unfinished steps of an occurrence. Precondition: it has begun. Thread safety: reentrant. */
Milliseconds remainingCriticalPath(const Job &job, std::uint32_t occurrence);

/**
 * When the remaining work of an occurrence has to start so that it meets its objective. Precondition: it has begun.
 * Thread safety: reentrant.
 */
WallTime latestStartFor(const Job &job, std::uint32_t occurrence, const QueueEntry &queue);
/** A job that misses its objective has no value to its caller beyond this multiple of it. */
constexpr std::int64_t lateFactor = 3;

/** How a job stands to its latency objective. */
enum class DeadlineState {
    /** The job can finish within its objective. */
    OnTime,
    /** The job will miss its objective, but finish within a small multiple of it. */
    Late,
    /** The job will miss that multiple as well, and has the lowest precedence within its priority. */
    Overdue,
};

/** What a JobUrgency is for, in order of precedence within a deadline state, as the keys of the kinds can't be
 * compared. */
enum class WorkKind {
    /** Lasting tasks that have waited for long. */
    WaitingLasting,
    Job,
    /** Other lasting tasks. */
    Lasting,
};

/** Sort key of waiting work; smaller values are placed first. */
struct JobUrgency
{
    std::uint32_t priority = 0;
    DeadlineState deadlineState = DeadlineState::OnTime;
    WorkKind kind = WorkKind::Job;
    /**
     * Remaining work divided by the square root of the whole work; 0 for overdue jobs, so that they are ordered by
     * their latest start and each ends in a bounded time, and for lasting work.
     */
    double scaledWork = 0;
    /**
     * Latest start of the remaining work with which the job is in this state, in milliseconds of the wall clock. For
     * lasting work, the time since which it waits.
     */
    std::int64_t latestStart = 0;

    auto operator<=>(const JobUrgency &) const = default;
};

/**
 * Urgency of the open work of an occurrence. Work that can still meet its objective precedes work that can't. Under
 * overload, the order by least remaining work finishes more jobs within their objectives than that by latest start;
 * divided by the square root of the whole work, it places large jobs less far behind small ones. Precondition: the
 * occurrence has begun. Thread safety: reentrant.
 */
JobUrgency urgencyOf(const Job &job, std::uint32_t occurrence, const QueueEntry &queue, WallTime now);

/**
 * Urgency of a lasting task that has waited for placement since @p waitingSince. It is ordered by its waiting time, as
 * the service lacks it all that time whatever the age of its job. For a short time it yields to jobs that can be on
 * time, for which someone waits. Thread safety: reentrant.
 */
JobUrgency urgencyOfLasting(const QueueEntry &queue, WallTime waitingSince, WallTime now);

} // namespace currantring
