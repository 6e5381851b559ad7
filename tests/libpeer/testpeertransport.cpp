#include "transports.h"

#include "random.h"

#include <chrono>
#include <set>
#include <thread>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr std::uint64_t seed = 20260712;

std::string randomBytes(std::size_t size)
{
    Random random(seed);
    std::string bytes(size, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

struct GarbageRow
{
    std::string name;
    std::string bytes;
};

std::ostream &operator<<(std::ostream &stream, const GarbageRow &row)
{
    return stream << row.name;
}

const std::string magic = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

const std::vector<GarbageRow> garbageRows {
    { "HTTP/1.1", "GET / HTTP/1.1\r\nHost: peer\r\n\r\n" },
    { "random bytes", randomBytes(4096) },
    { "a frame of 16 MB", magic + std::string("\xff\xff\xff\x04\x00\x00\x00\x00\x00", 9) },
    { "data before settings",
      magic
          + std::string("\x00\x00\x04\x00\x00\x00\x00\x00\x01"
                        "abcd",
                        13) },
    { "settings on a stream", magic + std::string("\x00\x00\x00\x04\x00\x00\x00\x00\x01", 9) },
    { "broken header compression",
      magic + std::string("\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x00\x02\x01\x05\x00\x00\x00\x01\xff\xff", 20) },
};

} // namespace

BOOST_AUTO_TEST_SUITE(PeerTransportContract)

BOOST_AUTO_TEST_CASE(messagesArriveInBothDirections)
{
    TestTransport left(testOptions("left"));
    TestTransport right(testOptions("right"));
    BOOST_REQUIRE(connectTo(left, right));
    BOOST_REQUIRE(connectTo(right, left));
    BOOST_TEST(left.transport.send(right.id, "to the right"));
    BOOST_TEST(right.transport.send(left.id, "to the left"));
    BOOST_REQUIRE(right.arrivals.waitForMessages(1));
    BOOST_REQUIRE(left.arrivals.waitForMessages(1));
    BOOST_TEST((right.arrivals.messages().front() == std::pair(left.id, std::string("to the right"))));
    BOOST_TEST((left.arrivals.messages().front() == std::pair(right.id, std::string("to the left"))));
    BOOST_TEST(left.transport.counts().bytesOut > 0U);
    BOOST_TEST(left.transport.counts().bytesIn > 0U);
}

BOOST_DATA_TEST_CASE(messagesArriveWhole, boost::unit_test::data::make({ 0, 1, 16'384, 300'000, 1'500'000 }), size)
{
    TestTransport left(testOptions("left"));
    TestTransport right(testOptions("right"));
    BOOST_REQUIRE(connectTo(left, right));
    const std::string bytes = randomBytes(static_cast<std::size_t>(size));
    BOOST_REQUIRE(left.transport.send(right.id, bytes));
    BOOST_REQUIRE(right.arrivals.waitForMessages(1));
    BOOST_TEST((right.arrivals.messages().front().second == bytes));
}

BOOST_AUTO_TEST_CASE(manyMessagesArriveOnceEach)
{
    constexpr std::size_t messages = 1000;
    TestTransport left(testOptions("left"));
    TestTransport right(testOptions("right"));
    BOOST_REQUIRE(connectTo(left, right));
    for (std::size_t index = 0; index < messages; ++index) {
        BOOST_REQUIRE(left.transport.send(right.id, std::to_string(index)));
    }
    BOOST_REQUIRE(right.arrivals.waitForMessages(messages));
    left.transport.stop();
    right.transport.stop();
    std::set<std::string> distinct;
    for (const auto &[from, bytes] : right.arrivals.messages()) {
        distinct.insert(bytes);
    }
    BOOST_TEST(distinct.size() == messages);
    BOOST_TEST(right.arrivals.messages().size() == messages);
    BOOST_TEST(left.transport.counts().dropped == 0U);
}

BOOST_AUTO_TEST_CASE(stoppingSendsWhatIsQueued)
{
    TestTransport left(testOptions("left"));
    TestTransport right(testOptions("right"));
    BOOST_REQUIRE(connectTo(left, right));
    BOOST_REQUIRE(left.transport.send(right.id, "goodbye"));
    left.transport.stop();
    BOOST_TEST(right.arrivals.waitForMessages(1));
}

BOOST_AUTO_TEST_CASE(aRestartedPeerIsReachedAgainOnItsPort)
{
    TestTransport left(testOptions("left"));
    auto right = std::make_unique<TestTransport>(testOptions("right"));
    BOOST_REQUIRE(connectTo(left, *right));
    PeerTransportOptions options = testOptions("right");
    options.listen = right->transport.listenAddress();
    right.reset();
    BOOST_REQUIRE(left.arrivals.waitForLosses(1));
    BOOST_TEST(!left.transport.send(HostId("right"), "to nobody"));
    TestTransport restarted(std::move(options));
    BOOST_REQUIRE(left.arrivals.waitForConnections(2));
    BOOST_TEST(left.transport.send(restarted.id, "again"));
    BOOST_REQUIRE(restarted.arrivals.waitForMessages(1));
    BOOST_TEST(restarted.arrivals.messages().front().second == "again");
    BOOST_TEST(left.transport.counts().dropped == 1U);
    BOOST_TEST(left.transport.counts().lost == 1U);
}

BOOST_AUTO_TEST_CASE(aSilentConnectionIsReplaced)
{
    const PlainSocket listener = PlainSocket::listening();
    PeerTransportOptions options = testOptions("left");
    options.silenceBound = Milliseconds(200);
    options.pingInterval = Milliseconds(50);
    TestTransport left(std::move(options));
    left.transport.connect(HostId("mute"), listener.address());
    const PlainSocket first = listener.accept();
    const PlainSocket second = listener.accept();
    BOOST_TEST(first.readToEnd());
    BOOST_TEST(left.transport.counts().silent >= 1U);
    BOOST_TEST(!left.transport.send(HostId("mute"), "to nobody"));
}

BOOST_AUTO_TEST_CASE(aPeerThatFallsSilentIsLost)
{
    const PlainSocket listener = PlainSocket::listening();
    PeerTransportOptions options = testOptions("left");
    options.silenceBound = Milliseconds(200);
    options.pingInterval = Milliseconds(50);
    TestTransport left(std::move(options));
    left.transport.connect(HostId("mute"), listener.address());
    const PlainSocket connection = listener.accept();
    // An empty SETTINGS frame shows HTTP/2; no PING is answered afterwards.
    connection.write(std::string_view("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 9));
    BOOST_REQUIRE(left.arrivals.waitForConnections(1));
    BOOST_REQUIRE(left.arrivals.waitForLosses(1));
    BOOST_TEST(connection.readToEnd());
    BOOST_TEST(left.transport.counts().silent >= 1U);
    const PlainSocket replacement = listener.accept();
}

BOOST_AUTO_TEST_CASE(aMuteClientIsClosed)
{
    PeerTransportOptions options = testOptions("right");
    options.silenceBound = Milliseconds(200);
    TestTransport right(std::move(options));
    const PlainSocket client = PlainSocket::connectedTo(right.transport.listenAddress());
    BOOST_TEST(client.readToEnd());
    BOOST_TEST(right.transport.counts().silent == 1U);
}

BOOST_DATA_TEST_CASE(garbageClosesOnlyItsConnection, boost::unit_test::data::make(garbageRows), row)
{
    TestTransport left(testOptions("left"));
    TestTransport right(testOptions("right"));
    BOOST_REQUIRE(connectTo(left, right));
    const PlainSocket client = PlainSocket::connectedTo(right.transport.listenAddress());
    client.write(row.bytes);
    BOOST_REQUIRE(client.readToEnd());
    BOOST_TEST(right.transport.counts().garbage == 1U);
    BOOST_REQUIRE(left.transport.send(right.id, "still here"));
    BOOST_TEST(right.arrivals.waitForMessages(1));
    BOOST_TEST(left.transport.counts().lost == 0U);
}

BOOST_AUTO_TEST_CASE(garbageIsCountedAlsoWhenItsSenderHasGone)
{
    constexpr std::uint64_t senders = 40;
    TestTransport right(testOptions("right"));
    for (std::uint64_t sender = 0; sender < senders; ++sender) {
        const PlainSocket client = PlainSocket::connectedTo(right.transport.listenAddress());
        client.write(garbageRows.front().bytes);
    }
    const auto until = std::chrono::steady_clock::now() + patience;
    while (right.transport.counts().garbage < senders && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
    BOOST_TEST(right.transport.counts().garbage == senders);
}

BOOST_AUTO_TEST_CASE(anUndecodableMessageResetsOnlyItsStream)
{
    TestTransport left(testOptions("left"));
    TestTransport right(testOptions("right"));
    BOOST_REQUIRE(connectTo(left, right));
    BOOST_REQUIRE(left.transport.send(right.id, std::string(Arrivals::undecodable)));
    BOOST_REQUIRE(left.transport.send(right.id, "still here"));
    BOOST_REQUIRE(right.arrivals.waitForMessages(1));
    BOOST_TEST(right.transport.counts().garbage == 1U);
    BOOST_TEST(left.transport.counts().lost == 0U);
}

BOOST_AUTO_TEST_CASE(oversizeIsRefusedAtBothEnds)
{
    PeerTransportOptions options = testOptions("right");
    options.maximumMessageBytes = 10'000;
    TestTransport left(testOptions("left"));
    TestTransport right(std::move(options));
    BOOST_REQUIRE(connectTo(left, right));
    BOOST_TEST(!left.transport.send(right.id, std::string(1'500'001, 'x')));
    BOOST_TEST(left.transport.counts().oversize == 1U);
    // The first frame of the large one is over the bound already, and goes out before the small one.
    BOOST_REQUIRE(left.transport.send(right.id, std::string(10'001, 'x')));
    BOOST_REQUIRE(left.transport.send(right.id, std::string(10'000, 'x')));
    BOOST_REQUIRE(right.arrivals.waitForMessages(1));
    BOOST_TEST(right.arrivals.messages().front().second.size() == 10'000U);
    BOOST_TEST(right.transport.counts().oversize == 1U);
    BOOST_TEST(left.transport.counts().lost == 0U);
}

BOOST_AUTO_TEST_CASE(theQueueIsBounded)
{
    const PlainSocket listener = PlainSocket::listening();
    PeerTransportOptions options = testOptions("left");
    options.queueMessages = 3;
    TestTransport left(std::move(options));
    left.transport.connect(HostId("slow"), listener.address());
    const PlainSocket connection = listener.accept();
    connection.write(std::string_view("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 9));
    BOOST_REQUIRE(left.arrivals.waitForConnections(1));
    for (int index = 0; index < 3; ++index) {
        BOOST_TEST(left.transport.send(HostId("slow"), "waits for an answer"));
    }
    BOOST_TEST(!left.transport.send(HostId("slow"), "one too many"));
    BOOST_TEST(left.transport.counts().dropped == 1U);
}

BOOST_AUTO_TEST_CASE(connectionsAreBounded)
{
    PeerTransportOptions options = testOptions("right");
    options.maximumConnections = 1;
    TestTransport left(testOptions("left"));
    TestTransport right(std::move(options));
    BOOST_REQUIRE(connectTo(left, right));
    const PlainSocket further = PlainSocket::connectedTo(right.transport.listenAddress());
    BOOST_TEST(further.readToEnd());
    BOOST_TEST(right.transport.counts().refused == 1U);
    BOOST_REQUIRE(left.transport.send(right.id, "still here"));
    BOOST_TEST(right.arrivals.waitForMessages(1));
}

BOOST_AUTO_TEST_CASE(aDisconnectedPeerGetsNothing)
{
    TestTransport left(testOptions("left"));
    TestTransport right(testOptions("right"));
    BOOST_TEST(!left.transport.send(right.id, "too early"));
    BOOST_REQUIRE(connectTo(left, right));
    left.transport.disconnect(right.id);
    // Work is done in order, so that the peer is gone once another link is there.
    left.transport.connect(HostId("other"), right.transport.listenAddress());
    BOOST_REQUIRE(left.arrivals.waitForConnections(2));
    BOOST_TEST(!left.transport.send(right.id, "too late"));
    BOOST_TEST(left.transport.counts().lost == 0U);
}

BOOST_AUTO_TEST_CASE(startSaysWhyItCannot)
{
    const TestTransport right(testOptions("right"));
    const std::vector<std::pair<Address, PeerTransportErrorKind>> table {
        { right.transport.listenAddress(), PeerTransportErrorKind::AddressInUse },
        { Address("localhost"), PeerTransportErrorKind::BadAddress },
        { Address("127.0.0.1:70000"), PeerTransportErrorKind::BadAddress },
        { Address(""), PeerTransportErrorKind::BadAddress },
    };
    for (const auto &[address, kind] : table) {
        PeerTransportOptions options = testOptions("left");
        options.listen = address;
        PeerTransport transport(std::move(options), {});
        const auto started = transport.start();
        BOOST_REQUIRE(!started.has_value());
        BOOST_TEST((started.error().kind == kind));
        BOOST_TEST(started.error().message.find(address.value()) != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
