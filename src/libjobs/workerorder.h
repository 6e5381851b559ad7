#pragma once

#include "taskref.h"
#include "units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

namespace currantring {

/** Extends the lease of all that runs on a worker, acknowledges ends, and asks what runs and what has ended. */
struct LookOrder
{
    WriterToken token;
    /** Nullopt: don't extend. */
    std::optional<WorkerTime> leaseUntil;
    /** The worker forgets the ends up to here; they must be on record. */
    EndNumber acknowledged;
    /** The worker may hold the answer back until something ends. */
    Milliseconds wait {};
    /** When given, the look goes over this connection or not at all. */
    std::optional<WorkerChannel> onlyOver;
};

/** Starts one run. */
struct StartOrder
{
    WriterToken token;
    RunRef run;
    std::string payload;
    /** Empty: from the beginning. */
    CheckpointId resumeFrom;
    /** The worker refuses the order after this; the lease of all that runs there lasts until then at least. */
    WorkerTime leaseUntil;
    /** Admission to the worker where the queue needs one; empty otherwise. */
    std::string ticket;
};

/** Stops one run; one that isn't there yet will never start there. */
struct StopOrder
{
    WriterToken token;
    RunRef run;
};

/** Lets a run work at a share of its speed. */
struct PaceOrder
{
    WriterToken token;
    RunRef run;
    /** 0 to 100. */
    std::uint32_t percent = 100;
};

using WorkerOrder = std::variant<LookOrder, StartOrder, StopOrder, PaceOrder>;

/** One run in a worker's report. */
struct RunningRow
{
    RunRef run;
    CheckpointId checkpoint;
    /** Progress of a batch task; 100 for a lasting one that is at work. */
    std::uint32_t percent = 0;
    /** Serving tasks: tail of the response times in ms. Others: processors in use, in thousandths. Lags. */
    std::int64_t gauge = 0;
};

/** How a run ended, as the worker lists it. */
enum class ListedEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

struct EndedRow
{
    EndNumber number;
    RunRef run;
    ListedEnd end = ListedEnd::Failed;
    CheckpointId checkpoint;
};

/** What a worker answered; the lists come with looks only. */
struct WorkerAnswer
{
    /** The worker's own steady clock when it answered. */
    WorkerTime clock;
    /** Nullopt where the answer doesn't say it. */
    std::optional<WorkerLife> life;
    WorkerChannel channel;
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
};

/** Why a worker did nothing, or may have. */
enum class WorkerFailure {
    /** It has seen a higher token. */
    Fenced,
    /** The run, or a later one of its task, was stopped or has ended there. */
    Superseded,
    /** The order came after its time. */
    TooLate,
    NoRoom,
    /** The ticket isn't valid there. */
    NoAdmission,
    /** Another worker has the address. */
    OtherWorker,
    /** The order makes no sense to it. */
    Invalid,
    /** It says that it can't take orders now. */
    Unhealthy,
    /** The order surely didn't reach it. */
    NotSent,
    /** No answer, or a broken one: the order may have been carried out, or may yet. */
    Unknown,
};

/** For logs. Thread safety: reentrant. */
std::string_view workerFailureName(WorkerFailure failure);

struct WorkerRefusal
{
    WorkerFailure failure = WorkerFailure::Unknown;
    /** The worker's clock when its refusal told it. */
    std::optional<WorkerTime> clock;
};

using WorkerResult = tl::expected<WorkerAnswer, WorkerRefusal>;

} // namespace currantring
