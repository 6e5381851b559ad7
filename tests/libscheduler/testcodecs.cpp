#include "peermessage.h"
#include "random.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr std::uint64_t seed = 20260712;

std::vector<CallerRequest> callerRequests()
{
    const TaskSpec spec { TaskKind::Batch, false, { Millicores(500), Mebibytes(64), {} }, {}, {}, "sum" };
    const CallService call { OwnerId("mill"),
                             ServiceName("search"),
                             RequestId("r1"),
                             true,
                             std::string("\0\xff", 2),
                             Milliseconds(250),
                             { { HostId("a"), HostId("b") }, Milliseconds(5) } };
    const CallService plainCall { OwnerId("mill"), ServiceName("search"), RequestId("r2"), {}, "", {} };
    return {
        SubmitTask { OwnerId("mill"), SubmissionKey("k"), spec },
        ReadTask { TaskId("t") },
        ReadAccount { TaskId("t") },
        CancelTask { TaskId("t"), "no longer needed" },
        EvictTask { TaskId("t"), TaskId("u"), "disturbs", OwnerId("beta") },
        call,
        plainCall,
        ApplyConfiguration { ChangeId("c"), "ada", ConfigurationVersion(7), "[defaults]" },
        ReadConfiguration {},
        ReadStatus {},
        ReadWorkers {},
    };
}

Heartbeat fullHeartbeat()
{
    Heartbeat heartbeat { HostId("host-1"),
                          Address("127.0.0.1:7001"),
                          DataCentreId("east"),
                          ConfigurationVersion(3),
                          8,
                          true,
                          false,
                          {},
                          {},
                          77 };
    for (std::uint32_t shard = 0; shard < 4; ++shard) {
        heartbeat.claims.push_back(
            { ShardId(shard), Epoch(9), { Millicores(16000), Mebibytes(65536), AcceleratorCount(1) } });
        heartbeat.rooms.push_back({ ServiceName("service-" + std::to_string(shard)), 100, 2 });
    }
    return heartbeat;
}

std::vector<PeerMessage> peerMessages()
{
    std::vector<PeerMessage> messages {
        fullHeartbeat(),
        ForwardReply { ForwardToken(8), { ReplyCode::NotRun, "no room" } },
        HandOver { ShardId(3), Epoch(12) },
        ConfigurationPull {},
        ConfigurationPush { { ConfigurationVersion(4), ChangeId("c"), "ada", "[defaults]" } },
        TaskMove { ShardId(1), ShardId(2), TaskId("t"), 5, { { "entries", { 1, 2, 3 } } } },
        TaskMoveAck { ShardId(1), ShardId(2), TaskId("t"), 5 },
    };
    for (CallerRequest &request : callerRequests()) {
        messages.emplace_back(ForwardRequest { HostId("host-1"), ForwardToken(77), std::move(request), 1 });
    }
    return messages;
}

std::string nested(char opening, std::size_t depth)
{
    return std::string(depth, opening);
}

struct BadBytes
{
    std::string name;
    std::string bytes;
    PeerDecodeError error;
};

std::ostream &operator<<(std::ostream &stream, const BadBytes &row)
{
    return stream << row.name;
}

std::string pack(const nlohmann::json &json)
{
    std::string bytes;
    nlohmann::json::to_msgpack(json, bytes);
    return bytes;
}

const std::vector<BadBytes> badBytes {
    { "nothing", "", PeerDecodeError::NotEncoded },
    { "reserved byte", "\xc1", PeerDecodeError::NotEncoded },
    { "a million nested arrays", nested('\x91', 1'000'000), PeerDecodeError::NotEncoded },
    { "a million nested maps", nested('\x81', 1'000'000), PeerDecodeError::NotEncoded },
    { "array of 4 G elements", std::string("\xdd\xff\xff\xff\xff", 5), PeerDecodeError::NotEncoded },
    { "map of 4 G elements", std::string("\xdf\xff\xff\xff\xff", 5), PeerDecodeError::NotEncoded },
    { "string of 4 GB", std::string("\xdb\xff\xff\xff\xff", 5), PeerDecodeError::NotEncoded },
    { "binary of 4 GB", std::string("\xc6\xff\xff\xff\xff", 5), PeerDecodeError::NotEncoded },
    { "bytes after the message", pack({ { "k", "configuration-pull" } }) + "x", PeerDecodeError::NotEncoded },
    { "array in place of a map", pack({ 1, 2 }), PeerDecodeError::NotEncoded },
    { "no kind", pack({ { "h", "x" } }), PeerDecodeError::NotEncoded },
    { "kind is a number", pack({ { "k", 4 } }), PeerDecodeError::NotEncoded },
    { "unknown kind", pack({ { "k", "greeting" } }), PeerDecodeError::UnknownKind },
    { "missing field", pack({ { "k", "hand-over" }, { "s", 1 } }), PeerDecodeError::BadField },
    { "negative shard", pack({ { "k", "hand-over" }, { "s", -1 }, { "e", 1 } }), PeerDecodeError::BadField },
    { "shard past 32 bits", pack({ { "k", "hand-over" }, { "s", 1ULL << 32U }, { "e", 1 } }),
      PeerDecodeError::BadField },
    { "epoch is a fraction", pack({ { "k", "hand-over" }, { "s", 1 }, { "e", 1.5 } }), PeerDecodeError::BadField },
    { "epoch is a flag", pack({ { "k", "hand-over" }, { "s", 1 }, { "e", true } }), PeerDecodeError::BadField },
    { "reply code unknown",
      pack({ { "k", "forward-reply" }, { "t", 1 }, { "r", { { "code", "fine" }, { "body", "" } } } }),
      PeerDecodeError::BadField },
};

/** Decodes and, when that gives a message, encodes it again. */
void decodeAny(const std::string &bytes)
{
    if (const auto message = decodePeerMessage(bytes)) {
        BOOST_TEST(!encodePeerMessage(*message).empty());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Codecs)

BOOST_AUTO_TEST_CASE(replyCodesHaveNames)
{
    for (int code = 0; code <= static_cast<int>(ReplyCode::Conflict); ++code) {
        const auto reply = static_cast<ReplyCode>(code);
        BOOST_TEST((replyCodeFromName(replyCodeName(reply)) == reply));
    }
    BOOST_TEST(replyCodeName(ReplyCode::NotRun) == "not-run");
    BOOST_TEST(!replyCodeFromName("fine").has_value());
}

BOOST_AUTO_TEST_CASE(callerRequestsSurviveJson)
{
    std::size_t index = 0;
    for (const CallerRequest &request : callerRequests()) {
        const nlohmann::json json = encodeCallerRequest(request);
        const std::optional<CallerRequest> decoded = decodeCallerRequest(json);
        BOOST_TEST_REQUIRE(decoded.has_value(), json.at("kind"));
        BOOST_TEST(decoded->index() == request.index());
        BOOST_TEST(encodeCallerRequest(*decoded) == json);
        index += request.index();
    }
    BOOST_TEST(index == 50U); // Each alternative once, CallService twice.
}

BOOST_AUTO_TEST_CASE(noCallerRequests)
{
    using Json = nlohmann::json;
    const Json call = {
        { "kind", "call-service" }, { "owner", "o" }, { "service", "s" }, { "request", "r" }, { "body", "" }
    };
    BOOST_REQUIRE(decodeCallerRequest(call).has_value());
    const std::vector<std::pair<std::string, Json>> table {
        { "kind", "call" },
        { "kind", 1 },
        { "owner", nullptr },
        { "timeoutMs", -1 },
        { "timeoutMs", "soon" },
        { "timeoutMs", 1.5 },
        { "timeoutMs", std::int64_t(1) << 50U },
        { "idempotent", 1 },
        { "body", Json::array() },
    };
    for (const auto &[member, value] : table) {
        Json changed = call;
        changed[member] = value;
        BOOST_TEST(!decodeCallerRequest(changed).has_value(), member << " = " << value);
    }
    BOOST_TEST(!decodeCallerRequest(Json::array()).has_value());
    BOOST_TEST(!decodeCallerRequest(Json()).has_value());
    BOOST_TEST(!decodeCallerRequest({ { "kind", "submit-task" }, { "owner", "o" }, { "key", "k" }, { "spec", 3 } })
                    .has_value());
}

BOOST_AUTO_TEST_CASE(peerMessagesSurviveMessagePack)
{
    for (const PeerMessage &message : peerMessages()) {
        const std::string bytes = encodePeerMessage(message);
        const auto decoded = decodePeerMessage(bytes);
        BOOST_TEST_REQUIRE(decoded.has_value(), peerMessageName(message));
        BOOST_TEST(decoded->index() == message.index());
        BOOST_TEST((encodePeerMessage(*decoded) == bytes), peerMessageName(message));
    }
}

BOOST_AUTO_TEST_CASE(heartbeatKeepsEveryField)
{
    const Heartbeat sent = fullHeartbeat();
    const auto decoded = decodePeerMessage(encodePeerMessage(sent));
    BOOST_REQUIRE(decoded.has_value());
    const auto &heard = std::get<Heartbeat>(*decoded);
    BOOST_TEST(heard.host == sent.host);
    BOOST_TEST(heard.peerAddress == sent.peerAddress);
    BOOST_TEST(heard.dataCentre == sent.dataCentre);
    BOOST_TEST(heard.version == sent.version);
    BOOST_TEST(heard.leaving == sent.leaving);
    BOOST_TEST(heard.storeReachable == sent.storeReachable);
    BOOST_TEST((heard.claims == sent.claims));
    BOOST_TEST((heard.rooms == sent.rooms));
}

BOOST_AUTO_TEST_CASE(heartbeatsAreSmall)
{
    Heartbeat heartbeat = fullHeartbeat();
    heartbeat.rooms.clear();
    BOOST_TEST(encodePeerMessage(heartbeat).size() <= 150U);
}

BOOST_DATA_TEST_CASE(badBytesGiveTheirError, boost::unit_test::data::make(badBytes), row)
{
    const auto decoded = decodePeerMessage(row.bytes);
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST((decoded.error() == row.error));
}

BOOST_AUTO_TEST_CASE(randomBytesDoNoHarm)
{
    Random random(seed);
    std::size_t refused = 0;
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes(uniformBelow(random, 64), '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(random());
        }
        refused += decodePeerMessage(bytes).has_value() ? 0 : 1;
    }
    BOOST_TEST(refused == 20'000U);
}

BOOST_AUTO_TEST_CASE(truncatedMessagesAreErrors)
{
    for (const PeerMessage &message : peerMessages()) {
        const std::string bytes = encodePeerMessage(message);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            BOOST_TEST(!decodePeerMessage(bytes.substr(0, size)).has_value(),
                       peerMessageName(message) << " cut to " << size);
        }
    }
}

BOOST_AUTO_TEST_CASE(flippedBitsDoNoHarm)
{
    Random random(seed);
    for (const PeerMessage &message : peerMessages()) {
        const std::string bytes = encodePeerMessage(message);
        for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
            std::string changed = bytes;
            changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ (1U << (bit % 8)));
            decodeAny(changed);
            changed[uniformBelow(random, changed.size())] = static_cast<char>(random());
            decodeAny(changed);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
