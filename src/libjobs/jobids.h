#pragma once

#include "ids.h"

namespace currantring {

/** Names one job; chosen by its submitter and unique over all queues. */
using JobId = Strong<std::string, struct JobIdTag>;
/** Names one queue that jobs are submitted to. */
using QueueName = Strong<std::string, struct QueueNameTag>;
/** Names the program that the tasks of a step run; tasks of one image behave alike. */
using ImageName = Strong<std::string, struct ImageNameTag>;
/** A property of a worker that a step may ask for: its kind, or its rack. */
using Label = Strong<std::string, struct LabelTag>;

/** Counts the starts of one task from 1, over all workers. */
using RunNumber = Strong<std::uint32_t, struct RunNumberTag>;
/** Fencing token of the process that writes a shard; workers refuse orders with a lower one than they have seen. */
using WriterToken = Strong<std::uint64_t, struct WriterTokenTag>;
/** Tells the lives of one worker apart: when it started, in milliseconds since 1970. */
using WorkerLife = Strong<std::int64_t, struct WorkerLifeTag>;
/** Number of an ended run in one worker's list, from 1 in each of its lives. */
using EndNumber = Strong<std::uint64_t, struct EndNumberTag>;
/** Names one connection to a worker; a later connection has another one. */
using WorkerChannel = Strong<std::uint64_t, struct WorkerChannelTag>;

} // namespace currantring
