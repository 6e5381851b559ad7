#pragma once

#include "jobids.h"
#include "taskref.h"
#include "units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

namespace currantring {

/** Polls a worker: extends the lease of its runs, acknowledges ended runs and requests the running and ended ones. */
struct PollOrder
{
    WriterToken token;
    /** Nullopt: the lease isn't extended. */
    std::optional<WorkerTime> leaseUntil;
    /** The worker discards the ended runs up to here, which must have been recorded. */
    EndNumber acknowledged;
    /** Longest time that the worker may delay its answer until a run ends (long polling). */
    Milliseconds wait {};
    /** If set, the poll is sent over this connection or not at all. */
    std::optional<WorkerChannel> onlyOver;
    /** Sent over a connection that orders use, to learn which life of the worker that connection leads to. */
    bool isOverOrderChannel = false;
};

/** Starts one run. */
struct StartOrder
{
    WriterToken token;
    RunRef run;
    std::string payload;
    /** Empty: the run starts from the beginning. */
    CheckpointId resumeFrom;
    /** The worker refuses the order after this time and extends the lease of all its runs at least until then. */
    WorkerTime leaseUntil;
    /** Admission ticket for the worker if the queue requires one; empty otherwise. */
    std::string ticket;
};

/** Stops one run. If the start order hasn't arrived yet, the worker refuses it later. */
struct StopOrder
{
    WriterToken token;
    RunRef run;
};

/** Limits a run to a percentage of its full speed. */
struct PaceOrder
{
    WriterToken token;
    RunRef run;
    /** 0 to 100. */
    std::uint32_t percent = 100;
};

using WorkerOrder = std::variant<PollOrder, StartOrder, StopOrder, PaceOrder>;

/** Where an order goes, and which connections may carry it. */
struct WorkerTarget
{
    WorkerId id;
    Address address;
    /** Connections that were established by then lead to former lives of the worker; no order goes over them. */
    ChannelMark formerLives;
    /** Connections that were established by then lead to its known life or a former one; starts need one of them. */
    ChannelMark knownLife;
};

/** One run in a worker's report. */
struct RunningRow
{
    RunRef run;
    CheckpointId checkpoint;
    /** Progress of a batch task; 100 for a lasting task that is up. */
    std::uint32_t percent = 0;
    /** Serving tasks: tail latency in ms. Other tasks: processor usage in millicores. Reported with a delay. */
    std::int64_t gauge = 0;
};

/** How a run ended, according to the worker. */
enum class ReportedEnd {
    Done,
    Failed,
    Stopped,
    /** The worker's lease expired. */
    LeaseExpired,
    /** Another member of the gang ended without success. */
    GangBroken,
    /** The other members of the gang didn't start in time. */
    GangIncomplete
};

struct EndedRow
{
    EndNumber number;
    RunRef run;
    ReportedEnd end = ReportedEnd::Failed;
    CheckpointId checkpoint;
};

/** Whether the lists of an answer name everything that the worker runs and every end that isn't acknowledged. */
enum class ListExtent {
    Complete,
    /** Ends may be missing, as the worker lists them in parts; the next part follows an acknowledgement. */
    Partial
};

/** A worker's answer; the lists are filled for polls only. */
struct WorkerAnswer
{
    /** The worker's monotonic clock at the time of the answer. */
    WorkerTime clock;
    /** Nullopt when the answer doesn't contain it. */
    std::optional<WorkerLife> life;
    WorkerChannel channel;
    /** The connections that were established when the order was sent, the one that carried it included. */
    ChannelMark establishedBefore;
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
    /** A run that a partial answer doesn't list may have ended in any way. */
    ListExtent extent = ListExtent::Partial;
};

/** Why an order was not carried out, or may not have been. */
enum class WorkerFailure {
    /** The worker has seen a higher fencing token. */
    Fenced,
    /** The run or a later run of the same task was stopped or has ended on the worker. */
    Superseded,
    /** The order arrived after its deadline. */
    TooLate,
    NoRoom,
    /** The admission ticket isn't valid on this worker. */
    NoAdmission,
    /** The address belongs to a different worker. */
    OtherWorker,
    /** The worker rejected the order as malformed. */
    Invalid,
    /** The worker reports that it can't process orders at present. */
    Unhealthy,
    /** The order is known not to have reached the worker. */
    NotSent,
    /** No answer or an unreadable one: the order may have been carried out, or may be later. */
    Unknown,
};

/** The name used in log lines. Thread safety: reentrant. */
std::string_view workerFailureName(WorkerFailure failure);

struct WorkerRefusal
{
    WorkerFailure failure = WorkerFailure::Unknown;
    /** The worker's clock, if the refusal contained it. */
    std::optional<WorkerTime> clock;
};

using WorkerResult = tl::expected<WorkerAnswer, WorkerRefusal>;

} // namespace currantring
