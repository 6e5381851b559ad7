#pragma once

#include "job.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace currantring {

struct SubmitJob
{
    std::shared_ptr<const JobSpec> spec;
};

struct ReadJob
{
    JobId job;
};

struct CancelJob
{
    JobId job;
};

/** Counts the jobs of a queue that haven't started. */
struct CountWaiting
{
    QueueName queue;
};

/** A caller's request about the jobs of one shard. */
using CallerCall = std::variant<SubmitJob, ReadJob, CancelJob, CountWaiting>;

/** Name for logs: `submit`, `read`, `cancel` or `count`. Thread safety: reentrant. */
std::string_view callName(const CallerCall &call);
/** The job or queue that the call names. Thread safety: reentrant. */
const std::string &callSubject(const CallerCall &call);

/** Result of a call. */
enum class CallOutcome {
    /** Submit, cancel: committed to the store. */
    Accepted,
    /** Read: the phase is set. Count: the number of waiting jobs is set. */
    Found,
    /** No such job. */
    Unknown,
    /** The call has no effect, now or later; the caller may retry it. */
    Refused,
    /** The call may have taken effect, or may still do so. */
    Undecided,
};

/** Name for logs. Thread safety: reentrant. */
std::string_view callOutcomeName(CallOutcome outcome);

struct CallAnswer
{
    CallOutcome outcome = CallOutcome::Undecided;
    JobPhase phase = JobPhase::Queued;
    std::uint64_t waiting = 0;
    /** Refused: how long the caller should wait before it retries. */
    Milliseconds retryAfter {};
    /** Refused: a retry would be refused as well. */
    bool isFinal = false;
};

} // namespace currantring
