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

/** Asks how many jobs of a queue haven't started. */
struct CountWaiting
{
    QueueName queue;
};

/** What a caller wants of the jobs of one shard. */
using CallerCall = std::variant<SubmitJob, ReadJob, CancelJob, CountWaiting>;

/** For logs: `submit`, `read`, `cancel`, `count`. Thread safety: reentrant. */
std::string_view callName(const CallerCall &call);
/** The job or queue that the call names. Thread safety: reentrant. */
const std::string &callSubject(const CallerCall &call);

/** What became of a call. */
enum class CallOutcome {
    /** Submit, cancel: on record. */
    Accepted,
    /** Read: see the phase. Count: see the number. */
    Found,
    /** No such job. */
    Unknown,
    /** Nothing was and will be done; the caller may come back. */
    Refused,
    /** It may or may not have been, or be, done. */
    Undecided,
};

/** For logs. Thread safety: reentrant. */
std::string_view callOutcomeName(CallOutcome outcome);

struct CallAnswer
{
    CallOutcome outcome = CallOutcome::Undecided;
    JobPhase phase = JobPhase::Queued;
    std::uint64_t waiting = 0;
    /** Refused: when the caller should come back. */
    Milliseconds retryAfter {};
};

} // namespace currantring
