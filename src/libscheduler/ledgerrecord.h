#pragma once

#include "taskspec.h"
#include "workerrequest.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace currantring {

/** A caller's task was accepted. */
struct TaskSubmitted
{
    TaskId task;
    OwnerId owner;
    SubmissionKey key;
    TaskSpec spec;
};

/** An attempt may be started on a worker; its declared resources are reserved there from now on. */
struct AttemptPlaced
{
    AttemptKey attempt;
    WorkerId worker;
    CheckpointId resumeFrom;
};

/** The worker confirmed that the attempt runs. */
struct AttemptStarted
{
    AttemptKey attempt;
};

/** How an attempt ended. */
enum class AttemptEnd {
    Succeeded,
    Failed,
    /** The worker confirmed that it never began and never will. */
    NotRun,
    /** The worker was given up, or has forgotten the attempt; it may have run for a while. */
    Lost,
    /** Stopped because the task is cancelled. */
    Stopped,
    /** Stopped after recording a checkpoint. */
    Checkpointed,
};

/** An attempt is over; its resources are free. */
struct AttemptEnded
{
    AttemptKey attempt;
    AttemptEnd end = AttemptEnd::Failed;
    CheckpointId checkpoint;
    std::string detail;
};

/** A running attempt is to be checkpointed and moved. */
struct EvictionRequested
{
    AttemptKey attempt;
    WorkerId worker;
    std::string cause;
    /** The task on whose behalf it is evicted and its owner; empty when there is none. */
    TaskId onBehalfOf;
    OwnerId onBehalfOfOwner;
};

/** The running attempt of a task is to be stopped for good. */
struct CancelRequested
{
    TaskId task;
    std::string reason;
};

/** How a task without a live attempt ended. */
enum class TaskEnd {
    Cancelled,
    /** Its deadline passed in the queue. */
    Expired,
    /** No worker of the fleet is large enough. */
    Unplaceable,
    /** It failed as often as the attempt limit allows. */
    Exhausted,
};

struct TaskEnded
{
    TaskId task;
    TaskEnd end = TaskEnd::Cancelled;
    std::string detail;
};

/** The task's record goes to another shard and isn't acted on here any more. */
struct TaskMovedOut
{
    TaskId task;
    ShardId to;
};

/** The other shard has committed the record. */
struct TaskMoveConfirmed
{
    TaskId task;
};

/** A record taken in from another shard, with its account so far. */
struct TaskMovedIn
{
    TaskId task;
    ShardId from;
    nlohmann::json record;
};

using LedgerRecord = std::variant<TaskSubmitted, AttemptPlaced, AttemptStarted, AttemptEnded, EvictionRequested,
                                  CancelRequested, TaskEnded, TaskMovedOut, TaskMoveConfirmed, TaskMovedIn>;

/** The task that @p record is about. Thread safety: reentrant. */
const TaskId &taskOf(const LedgerRecord &record);
/** Name of the record's kind as used in accounts: `submitted`, `attempt-placed`, … Thread safety: reentrant. */
std::string_view recordName(const LedgerRecord &record);
/** Event of the task chart that @p record brings about. Thread safety: reentrant. */
std::string_view chartEvent(const LedgerRecord &record);
/** Event of the attempt chart that @p record brings about for the live attempt; empty when none. */
std::string_view attemptChartEvent(const LedgerRecord &record);
std::string_view attemptEndName(AttemptEnd end);
std::string_view taskEndName(TaskEnd end);

/** JSON object with the member `kind`. Thread safety: reentrant. */
nlohmann::json encodeRecord(const LedgerRecord &record);
/** Nullopt when @p json is no record. Thread safety: reentrant. */
std::optional<LedgerRecord> decodeRecord(const nlohmann::json &json);

/** A record and when it was made, by the writer's wall clock; for people, never for decisions of safety. */
struct TimedRecord
{
    WallTime at;
    LedgerRecord record;
};

/** One slot of a shard's log: a group of records committed together. */
struct LedgerSlot
{
    SlotNumber number;
    Epoch epoch;
    HostId writer;
    /** Tells processes apart that were started under one host id. */
    std::uint64_t nonce = 0;
    /** Empty in the slot by which a writer claims the shard. */
    std::vector<TimedRecord> records;
};

/** The slot as stored. Thread safety: reentrant. */
std::string encodeSlot(const LedgerSlot &slot);
/** Nullopt when @p text is no slot. Thread safety: reentrant. */
std::optional<LedgerSlot> decodeSlot(std::string_view text);

} // namespace currantring
