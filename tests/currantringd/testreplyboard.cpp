#include "replyboard.h"

#include <boost/test/unit_test.hpp>

#include <array>

#include <sys/socket.h>
#include <unistd.h>

using namespace currantring;

namespace {

constexpr Milliseconds longTime { 600'000 };

struct SocketPair
{
    std::array<int, 2> ends {};

    SocketPair()
    {
        BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    }
    ~SocketPair()
    {
        close(ends[0]);
        close(ends[1]);
    }
    SocketPair(const SocketPair &) = delete;
    SocketPair &operator=(const SocketPair &) = delete;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReplyBoards)

BOOST_AUTO_TEST_CASE(aReplyReachesItsOwnCaller)
{
    ReplyBoard board;
    const auto first = board.open();
    const auto second = board.open();
    BOOST_TEST(board.complete(second->token(), { ReplyCode::Ok, "two" }));
    BOOST_TEST(board.complete(first->token(), { ReplyCode::NotRun, "one" }));
    CallerReply reply;
    BOOST_TEST((board.wait(*first, -1, longTime, reply) == ReplyBoard::End::Replied));
    BOOST_TEST(reply.body == "one");
    BOOST_TEST((reply.code == ReplyCode::NotRun));
    BOOST_TEST((board.wait(*second, -1, longTime, reply) == ReplyBoard::End::Replied));
    BOOST_TEST(reply.body == "two");
    BOOST_TEST(board.size() == 0U);
}

BOOST_AUTO_TEST_CASE(aHangUpEndsTheWaitAndALateReplyIsDropped)
{
    ReplyBoard board;
    SocketPair sockets;
    const auto caller = board.open();
    shutdown(sockets.ends[1], SHUT_RDWR);
    CallerReply reply;
    BOOST_TEST((board.wait(*caller, sockets.ends[0], longTime, reply) == ReplyBoard::End::HungUp));
    BOOST_TEST(!board.complete(caller->token(), {}));
}

BOOST_AUTO_TEST_CASE(theWaitEndsAtItsLimit)
{
    ReplyBoard board;
    SocketPair sockets;
    const auto caller = board.open();
    CallerReply reply;
    BOOST_TEST((board.wait(*caller, sockets.ends[0], Milliseconds(1), reply) == ReplyBoard::End::TimedOut));
    BOOST_TEST(board.size() == 0U);
}

BOOST_AUTO_TEST_CASE(aReplyIsCompletedOnce)
{
    ReplyBoard board;
    const auto caller = board.open();
    BOOST_TEST(board.complete(caller->token(), { ReplyCode::Ok, "kept" }));
    BOOST_TEST(!board.complete(caller->token(), { ReplyCode::Ok, "dropped" }));
    CallerReply reply;
    BOOST_TEST((board.wait(*caller, -1, longTime, reply) == ReplyBoard::End::Replied));
    BOOST_TEST(reply.body == "kept");
}

BOOST_AUTO_TEST_SUITE_END()
