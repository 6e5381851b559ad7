#include "peermessage.h"

#include "binaryjson.h"
#include "jsonfield.h"

#include <algorithm>
#include <array>

namespace currantring {

namespace {

using Json = nlohmann::json;

constexpr std::string_view heartbeatName = "heartbeat";
constexpr std::string_view forwardRequestName = "forward-request";
constexpr std::string_view forwardReplyName = "forward-reply";
constexpr std::string_view handOverName = "hand-over";
constexpr std::string_view configurationPullName = "configuration-pull";
constexpr std::string_view configurationPushName = "configuration-push";
constexpr std::string_view taskMoveName = "task-move";
constexpr std::string_view taskMoveAckName = "task-move-ack";

Json encodeClaims(const std::vector<ShardClaim> &claims)
{
    Json list = Json::array();
    for (const ShardClaim &claim : claims) {
        const Resources &room = claim.largestRoom;
        list.push_back(Json::array({ claim.shard, claim.epoch, room.processors, room.memory, room.accelerators }));
    }
    return list;
}

std::vector<ShardClaim> decodeClaims(const Json &list)
{
    std::vector<ShardClaim> claims;
    for (const Json &item : list.get_ref<const Json::array_t &>()) {
        const Resources room { checkedValue<Millicores>(item.at(2)), checkedValue<Mebibytes>(item.at(3)),
                               checkedValue<AcceleratorCount>(item.at(4)) };
        claims.push_back({ checkedValue<ShardId>(item.at(0)), checkedValue<Epoch>(item.at(1)), room });
    }
    return claims;
}

Json encodeRooms(const std::vector<ServiceRoom> &rooms)
{
    Json list = Json::array();
    for (const ServiceRoom &room : rooms) {
        list.push_back(Json::array({ room.service, room.freeSlots, room.queued }));
    }
    return list;
}

std::vector<ServiceRoom> decodeRooms(const Json &list)
{
    std::vector<ServiceRoom> rooms;
    for (const Json &item : list.get_ref<const Json::array_t &>()) {
        rooms.push_back({ checkedValue<ServiceName>(item.at(0)), checkedValue<std::uint32_t>(item.at(1)),
                          checkedValue<std::uint32_t>(item.at(2)) });
    }
    return rooms;
}

/** Writes the members of each kind of message; `k` is the kind. */
struct Encoder
{
    Json operator()(const Heartbeat &message) const
    {
        Json json = { { "k", heartbeatName },         { "h", message.host },    { "a", message.peerAddress },
                      { "d", message.dataCentre },    { "v", message.version }, { "l", message.leaving },
                      { "s", message.storeReachable } };
        if (message.shardCount != 0) {
            json["n"] = message.shardCount;
        }
        if (!message.claims.empty()) {
            json["c"] = encodeClaims(message.claims);
        }
        if (!message.rooms.empty()) {
            json["r"] = encodeRooms(message.rooms);
        }
        if (message.startVote != 0) {
            json["f"] = message.startVote;
        }
        return json;
    }

    Json operator()(const ForwardRequest &message) const
    {
        return { { "k", forwardRequestName },
                 { "o", message.origin },
                 { "t", message.token },
                 { "r", encodeCallerRequest(message.request) },
                 { "n", message.hops } };
    }

    Json operator()(const ForwardReply &message) const
    {
        return { { "k", forwardReplyName }, { "t", message.token }, { "r", message.reply } };
    }

    Json operator()(const HandOver &message) const
    {
        return { { "k", handOverName }, { "s", message.shard }, { "e", message.epoch } };
    }

    Json operator()(const ConfigurationPull & /*message*/) const
    {
        return { { "k", configurationPullName } };
    }

    Json operator()(const ConfigurationPush &message) const
    {
        return { { "k", configurationPushName }, { "r", message.record } };
    }

    Json operator()(const TaskMove &message) const
    {
        return { { "k", taskMoveName }, { "f", message.from },      { "t", message.to },
                 { "i", message.task }, { "n", message.lastEntry }, { "r", message.record } };
    }

    Json operator()(const TaskMoveAck &message) const
    {
        return { { "k", taskMoveAckName },
                 { "f", message.from },
                 { "t", message.to },
                 { "i", message.task },
                 { "n", message.lastEntry } };
    }
};

PeerMessage readHeartbeat(const Json &json)
{
    Heartbeat message;
    message.host = checkedField<HostId>(json, "h");
    message.peerAddress = checkedField<Address>(json, "a");
    message.dataCentre = checkedField<DataCentreId>(json, "d");
    message.version = checkedField<ConfigurationVersion>(json, "v");
    message.leaving = checkedField<bool>(json, "l");
    message.storeReachable = checkedField<bool>(json, "s");
    if (json.contains("n")) {
        message.shardCount = checkedField<std::uint32_t>(json, "n");
    }
    if (const auto claims = json.find("c"); claims != json.end()) {
        message.claims = decodeClaims(*claims);
    }
    if (const auto rooms = json.find("r"); rooms != json.end()) {
        message.rooms = decodeRooms(*rooms);
    }
    message.startVote = optionalField<std::uint64_t>(json, "f").value_or(0);
    return message;
}

PeerMessage readForwardRequest(const Json &json)
{
    std::optional<CallerRequest> request = decodeCallerRequest(json.at("r"));
    if (!request) {
        throw FieldError("expected a caller's request");
    }
    return ForwardRequest { checkedField<HostId>(json, "o"), checkedField<ForwardToken>(json, "t"), std::move(*request),
                            checkedField<std::uint32_t>(json, "n") };
}

PeerMessage readForwardReply(const Json &json)
{
    return ForwardReply { checkedField<ForwardToken>(json, "t"), json.at("r").get<CallerReply>() };
}

PeerMessage readHandOver(const Json &json)
{
    return HandOver { checkedField<ShardId>(json, "s"), checkedField<Epoch>(json, "e") };
}

PeerMessage readConfigurationPull(const Json & /*json*/)
{
    return ConfigurationPull {};
}

PeerMessage readConfigurationPush(const Json &json)
{
    return ConfigurationPush { json.at("r").get<ConfigurationRecord>() };
}

PeerMessage readTaskMove(const Json &json)
{
    return TaskMove { checkedField<ShardId>(json, "f"), checkedField<ShardId>(json, "t"),
                      checkedField<TaskId>(json, "i"), checkedField<std::uint64_t>(json, "n"), json.at("r") };
}

PeerMessage readTaskMoveAck(const Json &json)
{
    return TaskMoveAck { checkedField<ShardId>(json, "f"), checkedField<ShardId>(json, "t"),
                         checkedField<TaskId>(json, "i"), checkedField<std::uint64_t>(json, "n") };
}

struct Kind
{
    std::string_view name;
    PeerMessage (*read)(const Json &);
};

/** In the order of the alternatives of PeerMessage. */
constexpr std::array<Kind, std::variant_size_v<PeerMessage>> kinds { {
    { heartbeatName, readHeartbeat },
    { forwardRequestName, readForwardRequest },
    { forwardReplyName, readForwardReply },
    { handOverName, readHandOver },
    { configurationPullName, readConfigurationPull },
    { configurationPushName, readConfigurationPush },
    { taskMoveName, readTaskMove },
    { taskMoveAckName, readTaskMoveAck },
} };

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    std::string bytes;
    Json::to_msgpack(std::visit(Encoder {}, message), bytes);
    return bytes;
}

tl::expected<PeerMessage, PeerDecodeError> decodePeerMessage(std::string_view bytes)
{
    const std::optional<Json> document = readBinaryJson(bytes, Json::input_format_t::msgpack, BinaryNumbers::Any);
    if (!document) {
        return tl::unexpected(PeerDecodeError::NotEncoded);
    }
    const Json &json = *document;
    const auto kindName = json.is_object() ? json.find("k") : json.end();
    if (kindName == json.end() || !kindName->is_string()) {
        return tl::unexpected(PeerDecodeError::NotEncoded);
    }
    const auto *kind = std::ranges::find(kinds, kindName->get_ref<const std::string &>(), &Kind::name);
    if (kind == kinds.end()) {
        return tl::unexpected(PeerDecodeError::UnknownKind);
    }
    try {
        return kind->read(json);
    } catch (const std::exception &) {
        return tl::unexpected(PeerDecodeError::BadField);
    }
}

std::string_view peerMessageName(const PeerMessage &message)
{
    return kinds.at(message.index()).name;
}

} // namespace currantring
