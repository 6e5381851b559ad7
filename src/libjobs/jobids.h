#pragma once

#include "ids.h"

namespace currantring {

/** Identifies a job; chosen by its submitter and unique across all queues. */
using JobId = Strong<std::string, struct JobIdTag>;
/** Identifies a queue that jobs are submitted to. */
using QueueName = Strong<std::string, struct QueueNameTag>;
/** Identifies the program that the tasks of a step run; tasks of the same image behave alike. */
using ImageName = Strong<std::string, struct ImageNameTag>;
/** A property of a worker that a step may require, such as its kind or rack. */
using Label = Strong<std::string, struct LabelTag>;

/** Number of a run of one task, counted from 1 across all workers. */
using RunNumber = Strong<std::uint32_t, struct RunNumberTag>;
/** Fencing token of the process that writes a shard; workers reject orders with a token lower than the highest seen. */
using WriterToken = Strong<std::uint64_t, struct WriterTokenTag>;
/** Incarnation number of a worker: its start time in milliseconds since the Unix epoch. */
using WorkerLife = Strong<std::int64_t, struct WorkerLifeTag>;
/** Sequence number of an ended run in a worker's list; starts at 1 in each incarnation. */
using EndNumber = Strong<std::uint64_t, struct EndNumberTag>;
/** Identifies one connection to a worker; never reused for a later connection. */
using WorkerChannel = Strong<std::uint64_t, struct WorkerChannelTag>;
/** Counts the connections to workers that this process has established, in the order in which they were. */
using ChannelMark = Strong<std::uint64_t, struct ChannelMarkTag>;

} // namespace currantring
