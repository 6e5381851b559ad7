#pragma once

#include "callerrequest.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include <nlohmann/json.hpp>

namespace currantring {

/** A shard that a host writes. */
struct ShardClaim
{
    ShardId shard;
    Epoch epoch;
    /** Room left on the shard's emptiest worker; guides moving tasks between shards. */
    Resources largestRoom;

    bool operator==(const ShardClaim &) const = default;
};

/** Request slots that a host has free for one service. */
struct ServiceRoom
{
    ServiceName service;
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;

    bool operator==(const ServiceRoom &) const = default;
};

/** Sign of life and digest of a host's state. */
struct Heartbeat
{
    HostId host;
    Address peerAddress;
    DataCentreId dataCentre;
    ConfigurationVersion version;
    /** Number of shards as pinned in the store; 0 while the host doesn't know it. */
    std::uint32_t shardCount = 0;
    /** The host takes no new work and gives up its shards. */
    bool leaving = false;
    bool storeReachable = true;
    std::vector<ShardClaim> claims;
    std::vector<ServiceRoom> rooms;
    /** The host's vote at the system's first start; 0 when it has none. See FirstStart. */
    std::uint64_t startVote = 0;
};

/** Token by which a host matches the reply to a request that it forwarded. */
using ForwardToken = Strong<std::uint64_t, struct ForwardTokenTag>;

/** A caller's request passed to the host that can act on it. */
struct ForwardRequest
{
    HostId origin;
    ForwardToken token;
    CallerRequest request;
    /** Times that the request was passed on; bounded. */
    std::uint32_t hops = 0;
};

/** Answer to a ForwardRequest. */
struct ForwardReply
{
    ForwardToken token;
    CallerReply reply;
};

/** Says that the sender has stopped writing a shard, for the receiver to take over. */
struct HandOver
{
    ShardId shard;
    /** The sender's; 0 when some worker may still run attempts under a writer before it. */
    Epoch epoch;
};

/** Asks for the receiver's configuration document. */
struct ConfigurationPull
{
};

struct ConfigurationPush
{
    ConfigurationRecord record;
};

/** Passes a task's record to another shard; repeated until acknowledged. */
struct TaskMove
{
    ShardId from;
    ShardId to;
    TaskId task;
    /** Entry number in the task's account up to which the record reaches. */
    std::uint64_t lastEntry = 0;
    /** The record as the ledger encodes it. */
    nlohmann::json record;
};

/** Confirms that a moved record is committed in its new shard. */
struct TaskMoveAck
{
    ShardId from;
    ShardId to;
    TaskId task;
    std::uint64_t lastEntry = 0;
};

using PeerMessage = std::variant<Heartbeat, ForwardRequest, ForwardReply, HandOver, ConfigurationPull,
                                 ConfigurationPush, TaskMove, TaskMoveAck>;

/** Why bytes from a peer are no message. */
enum class PeerDecodeError { NotEncoded, UnknownKind, BadField };

/** Encodes a message in MessagePack. Thread safety: reentrant. */
std::string encodePeerMessage(const PeerMessage &message);
/** Never throws on foreign bytes. Thread safety: reentrant. */
tl::expected<PeerMessage, PeerDecodeError> decodePeerMessage(std::string_view bytes);
/** Name of the message's kind as used on the wire and in logs. */
std::string_view peerMessageName(const PeerMessage &message);

} // namespace currantring
