#pragma once

#include "storerequest.h"
#include "taskspec.h"

#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

namespace currantring {

/** Lets a worker refuse commands of a shard writer that has been superseded. */
struct CommandFence
{
    ShardId shard;
    Epoch epoch;
};

/**
 * Starts one attempt.
 *
 * The worker refuses it after startBy, so that a delayed command can't start work that was given up. The attempt
 * runs under a lease and is stopped by the worker when leaseUntil passes unrenewed.
 */
struct StartAttempt
{
    CommandFence fence;
    TaskId task;
    AttemptNumber attempt;
    OwnerId owner;
    TaskSpec spec;
    /** Empty: start from the beginning. */
    CheckpointId resumeFrom;
    WorkerTime startBy;
    WorkerTime leaseUntil;
};

/** Stops one attempt; an attempt that the worker doesn't know will never start there afterwards. */
struct StopAttempt
{
    CommandFence fence;
    TaskId task;
    AttemptNumber attempt;
};

/** Records a checkpoint and stops the attempt; repeating it gives the same checkpoint. */
struct CheckpointAttempt
{
    CommandFence fence;
    TaskId task;
    AttemptNumber attempt;
};

/** Limits the processor share of one attempt. */
struct ThrottleAttempt
{
    CommandFence fence;
    TaskId task;
    AttemptNumber attempt;
    /** Share of the declared processors, 1 to 100. */
    std::uint32_t percent = 100;
};

/** One attempt of one task. */
struct AttemptKey
{
    TaskId task;
    AttemptNumber attempt;

    auto operator<=>(const AttemptKey &) const = default;
};

/** Renews the lease of all attempts of the shard, forgets ended ones that are recorded, and asks for a report. */
struct RenewLeases
{
    CommandFence fence;
    WorkerTime leaseUntil;
    std::vector<AttemptKey> recorded;
};

using WorkerRequest = std::variant<StartAttempt, StopAttempt, CheckpointAttempt, ThrottleAttempt, RenewLeases>;

/** State of an attempt as its worker sees it. */
enum class AttemptPhase {
    Running,
    Succeeded,
    Failed,
    /** Stopped on command. */
    Stopped,
    /** Stopped after recording a checkpoint. */
    Checkpointed,
    /** Stopped because its lease wasn't renewed. */
    LeaseLapsed,
    /** Told to stop before it was ever started; it will not start. */
    NeverStarted,
};

/** One attempt in a worker's report. */
struct AttemptReport
{
    AttemptKey key;
    OwnerId owner;
    AttemptPhase phase = AttemptPhase::Running;
    Resources used;
    CheckpointId checkpoint;
    /** Result or cause of the failure. */
    std::string detail;
};

/** What a worker says of itself; usage lags. */
struct WorkerReport
{
    WorkerId worker;
    /** The worker's own clock when the report was made. */
    WorkerTime clock;
    bool leaving = false;
    /** Requests being served now. */
    std::uint32_t activeRequests = 0;
    Resources used;
    /** Attempts of the asking shard that run, or have ended and aren't recorded yet. */
    std::vector<AttemptReport> attempts;
};

/** What a successful worker call gave: of every kind, the attempt's state (if any) and the worker's clock. */
struct WorkerReply
{
    /** RenewLeases: the whole report. Others: a report with just the attempt concerned. */
    WorkerReport report;
};

/** Why a worker call gave nothing. */
enum class WorkerErrorKind {
    /** The worker answered and did nothing. */
    Refused,
    /** The command surely didn't reach the worker. */
    NotSent,
    /** No reply, or a broken one: the command may or may not have taken effect. */
    Unknown,
};

/** Why a worker refused a command. */
enum class RefusalReason { None, StaleEpoch, AlreadyStarted, TooLate, NoRoom, Leaving, UnknownAttempt, Failing };

struct WorkerError
{
    WorkerErrorKind kind = WorkerErrorKind::Unknown;
    RefusalReason reason = RefusalReason::None;
};

using WorkerResult = tl::expected<WorkerReply, WorkerError>;

/** One request to the endpoint of a worker. */
struct EndpointRequest
{
    CommandFence fence;
    WorkerId worker;
    Address address;
    ServiceName service;
    RequestId request;
    std::string body;
    /** Time left until the caller gives up; passed on to the endpoint. */
    Milliseconds timeout {};
};

/** A whole answer; its length was checked. */
struct EndpointAnswer
{
    /** The request that the endpoint says it answers. */
    RequestId request;
    std::string body;
};

/** Why an endpoint call gave no whole answer. */
enum class EndpointErrorKind {
    /** The endpoint said that it didn't run the request. */
    Refused,
    /** The request surely didn't reach the endpoint. */
    NotSent,
    /** Timeout, broken connection or truncated answer: it may have run. */
    Unknown,
};

struct EndpointError
{
    EndpointErrorKind kind = EndpointErrorKind::Unknown;
    RefusalReason reason = RefusalReason::None;
};

using EndpointResult = tl::expected<EndpointAnswer, EndpointError>;

} // namespace currantring
