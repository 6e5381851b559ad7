#include "connectionroom.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;
using namespace currantring::net;

namespace {

const auto now = EventLoop::Clock::time_point(Milliseconds(100'000));

OpenConnection connection(std::uint64_t key, ConnectionUse use, std::int64_t ageMs, const char *peer = "10.0.0.1")
{
    return { key, PeerIp(peer), use, now - Milliseconds(ageMs) };
}

/** 0: the new connection is closed. */
std::uint64_t closed(const std::vector<OpenConnection> &open, const char *newcomer = "10.0.0.1")
{
    return connectionToClose(open, PeerIp(newcomer), now).value_or(0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionRoom)

BOOST_AUTO_TEST_CASE(decisions)
{
    using Use = ConnectionUse;
    struct Row
    {
        std::string name;
        std::vector<OpenConnection> open;
        std::uint64_t closed = 0;
    };
    const std::vector<Row> rows {
        { "no connection", {}, 0 },
        { "requests under way are spared", { connection(1, Use::UnderWay, 60'000) }, 0 },
        { "a new one has its time", { connection(1, Use::NoRequestYet, 999) }, 0 },
        { "then it goes", { connection(1, Use::NoRequestYet, 1000) }, 1 },
        { "silent ones before idle ones",
          { connection(1, Use::Idle, 9000), connection(2, Use::NoRequestYet, 1000),
            connection(3, Use::NoRequestYet, 2000) },
          3 },
        { "the one that is idle for longest",
          { connection(1, Use::Idle, 100), connection(2, Use::Idle, 300), connection(3, Use::Idle, 200) },
          2 },
        { "idle ones before parts of requests",
          { connection(1, Use::PartOfNext, 9000), connection(2, Use::Idle, 2000) },
          2 },
        { "part of a request that has had its time",
          { connection(1, Use::PartOfNext, 1000), connection(2, Use::UnderWay, 9000) },
          1 },
        { "part of a request that hasn't", { connection(1, Use::PartOfNext, 999) }, 0 },
        { "few that were idle briefly are spared, as others have their time soon",
          { connection(1, Use::Idle, 1999), connection(2, Use::NoRequestYet, 10), connection(3, Use::NoRequestYet, 5) },
          0 },
        { "the later of two that came together stays",
          { connection(2, Use::Idle, 100), connection(1, Use::Idle, 100) },
          1 },
    };
    for (const Row &row : rows) {
        BOOST_TEST(closed(row.open) == row.closed, row.name);
    }
}

BOOST_AUTO_TEST_CASE(peersWithMoreThanAnEvenShareGiveWayFirst)
{
    using Use = ConnectionUse;
    const std::vector<OpenConnection> idle { connection(1, Use::Idle, 5000, "10.0.0.2"), connection(2, Use::Idle, 100),
                                             connection(3, Use::Idle, 200), connection(4, Use::Idle, 50) };
    BOOST_TEST(closed(idle) == 3U);
    const std::vector<OpenConnection> even { connection(1, Use::Idle, 5000, "10.0.0.2"),
                                             connection(2, Use::Idle, 6000) };
    BOOST_TEST(closed(even) == 2U);
    const std::vector<OpenConnection> crowd { connection(1, Use::NoRequestYet, 10),
                                              connection(2, Use::NoRequestYet, 5) };
    BOOST_TEST(closed(crowd, "10.0.0.2") == 1U);
    BOOST_TEST(closed(crowd) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
