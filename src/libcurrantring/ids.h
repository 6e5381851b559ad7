#pragma once

#include "strongtype.h"

namespace currantring {

/** Names one currantringd process; a replaced process takes a new id. */
using HostId = Strong<std::string, struct HostIdTag>;
/** Names one worker of the platform. */
using WorkerId = Strong<std::string, struct WorkerIdTag>;
/** Names the customer that a task, service or request belongs to. */
using OwnerId = Strong<std::string, struct OwnerIdTag>;
/** Names a latency-critical service. */
using ServiceName = Strong<std::string, struct ServiceNameTag>;
using RackId = Strong<std::string, struct RackIdTag>;
using DataCentreId = Strong<std::string, struct DataCentreIdTag>;

/** The caller's idempotency key; unique for one owner. */
using SubmissionKey = Strong<std::string, struct SubmissionKeyTag>;
/** Derived from owner and submission key, so that every host computes the same id. */
using TaskId = Strong<std::string, struct TaskIdTag>;
/** Names one request to a service across all hosts that handle it. */
using RequestId = Strong<std::string, struct RequestIdTag>;
/** Names a recorded checkpoint; empty when there is none. */
using CheckpointId = Strong<std::string, struct CheckpointIdTag>;
/** Names one change of the configuration, chosen by its author's tool. */
using ChangeId = Strong<std::string, struct ChangeIdTag>;

/** Counts the attempts of one task from 1. */
using AttemptNumber = Strong<std::uint32_t, struct AttemptNumberTag>;
/** Index of a ledger shard, from 0. */
using ShardId = Strong<std::uint32_t, struct ShardIdTag>;
/** Index of a slot in one shard's log, from 1. */
using SlotNumber = Strong<std::uint64_t, struct SlotNumberTag>;
/** Fencing token of a shard's writer; grows with each takeover. */
using Epoch = Strong<std::uint64_t, struct EpochTag>;
/** Version of the configuration document; grows with each accepted change. */
using ConfigurationVersion = Strong<std::uint64_t, struct ConfigurationVersionTag>;
/** Version of one entry of the key-value service; 0 means absent. */
using StoreVersion = Strong<std::uint64_t, struct StoreVersionTag>;
/** Change counter of the whole key-value service. */
using StoreRevision = Strong<std::uint64_t, struct StoreRevisionTag>;
/** Names a lease granted by the key-value service. */
using LeaseId = Strong<std::uint64_t, struct LeaseIdTag>;

/** Names a caller that waits at this host. */
using CallerToken = Strong<std::uint64_t, struct CallerTokenTag>;

/** Address of a process as IP number and port, `127.0.0.1:7001`. */
using Address = Strong<std::string, struct AddressTag>;

/** Hashes @p text to 64 bits; the same on every host and in every version. */
std::uint64_t stableHash(std::string_view text);
/** Hashes @p text to 32 hexadecimal digits; the same on every host and in every version. */
std::string stableHashHex(std::string_view text);

/** Derives the task id from @p owner and @p key. */
TaskId makeTaskId(const OwnerId &owner, const SubmissionKey &key);
/** Home shard of @p task among @p shardCount shards. Precondition: @p shardCount is at least 1. */
ShardId homeShard(const TaskId &task, std::uint32_t shardCount);
/** Shard that counts the capacity of @p worker. Precondition: @p shardCount is at least 1. */
ShardId workerShard(const WorkerId &worker, std::uint32_t shardCount);

} // namespace currantring
