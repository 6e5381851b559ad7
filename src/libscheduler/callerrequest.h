#pragma once

#include "configuration.h"
#include "taskspec.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace currantring {

/** Submits a task; the same owner and key again give the same task. */
struct SubmitTask
{
    OwnerId owner;
    SubmissionKey key;
    TaskSpec spec;
};

/** Reads the state of one task. */
struct ReadTask
{
    TaskId task;
};

/** Reads the numbered entries of one task. */
struct ReadAccount
{
    TaskId task;
};

/** Cancels one task. */
struct CancelTask
{
    TaskId task;
    std::string reason;
};

/** Moves a running task to another worker by checkpoint and resume. */
struct EvictTask
{
    TaskId task;
    /** The task on whose behalf it is moved; empty for an operator's wish. */
    TaskId onBehalfOf;
    std::string reason;
    /** Owner of that task; filled in by the entry host from the task's record, never by a caller. */
    OwnerId onBehalfOfOwner;
};

/** Calls a latency-critical service and waits for the whole answer. */
struct CallService
{
    OwnerId owner;
    ServiceName service;
    RequestId request;
    /** Whether the request may run more than once; nullopt takes the service's setting. */
    std::optional<bool> idempotent;
    std::string body;
    /** Time left until the caller gives up; nullopt takes the service's deadline. */
    std::optional<Milliseconds> timeout;
};

/** Replaces the configuration document made against a version. */
struct ApplyConfiguration
{
    ChangeId change;
    std::string author;
    ConfigurationVersion madeAgainst;
    std::string text;
};

/** Reads the configuration in force on the host that is asked. */
struct ReadConfiguration
{
};

/** Reads hosts, shards, versions and store health as the asked host sees them. */
struct ReadStatus
{
};

/** Reads the workers as the asked host sees them. */
struct ReadWorkers
{
};

using CallerRequest = std::variant<SubmitTask, ReadTask, ReadAccount, CancelTask, EvictTask, CallService,
                                   ApplyConfiguration, ReadConfiguration, ReadStatus, ReadWorkers>;

/** Verdict on a caller's request. */
enum class ReplyCode {
    Ok,
    /** The request is malformed or names something unknown; nothing was done. */
    Invalid,
    NotFound,
    /** The work was surely not run and will not be. */
    NotRun,
    /** The work may or may not have run. */
    OutcomeUnknown,
    /** The record can't be read or confirmed now; ask again. */
    NotYetKnown,
    /** Another change came first; nothing was changed. */
    Conflict,
};

/** Answer to a caller. */
struct CallerReply
{
    ReplyCode code = ReplyCode::Ok;
    /** The service's answer, or a JSON object. */
    std::string body;
};

/** Lower-case words as used in JSON and logs: `ok`, `not-run`, … Thread safety: reentrant. */
std::string_view replyCodeName(ReplyCode code);
std::optional<ReplyCode> replyCodeFromName(std::string_view name);

/** Encodes any request as a JSON object with the member `kind`. Thread safety: reentrant. */
nlohmann::json encodeCallerRequest(const CallerRequest &request);
/** Nullopt when @p json is no request. Thread safety: reentrant. */
std::optional<CallerRequest> decodeCallerRequest(const nlohmann::json &json);

void to_json(nlohmann::json &json, const CallerReply &reply);
void from_json(const nlohmann::json &json, CallerReply &reply);

} // namespace currantring
