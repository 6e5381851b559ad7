#include "httpclient.h"
#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;
using namespace currantring::net;

namespace {

const std::string emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr Milliseconds ampleTimeout { 60'000 };

HttpCall callTo(const Address &address, Milliseconds timeout)
{
    HttpCall call;
    call.address = address;
    call.request = { "GET", "/", {}, {} };
    call.timeout = timeout;
    return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientCalls)

BOOST_AUTO_TEST_CASE(anAnswerThatCameInTimeCountsHoweverLateTheLoopIs)
{
    ScriptedServer server({ { { emptyAnswer, emptyAnswer }, true } });
    EventLoop loop;
    BOOST_REQUIRE(loop.open());
    HttpClient client(loop, {});
    std::optional<HttpResult> late;
    client.call(callTo(server.address(), ampleTimeout), [&](const HttpResult &first) {
        BOOST_TEST(first.has_value());
        const Milliseconds timeout(5);
        client.call(callTo(server.address(), timeout), [&](const HttpResult &second) {
            late = second;
            loop.quit();
        });
        // The loop is kept from its sockets until the answer is there and its time is over.
        const auto over = EventLoop::Clock::now() + timeout * 2;
        while (server.answered() < 2 || EventLoop::Clock::now() < over) { }
    });
    loop.run();
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST(late->has_value());
    BOOST_TEST(client.connectionsBegun() == 1U);
}

BOOST_AUTO_TEST_CASE(aCallWithoutAnAnswerEndsAsUnknown)
{
    ScriptedServer server({ { { emptyAnswer }, true } });
    EventLoop loop;
    BOOST_REQUIRE(loop.open());
    HttpClient client(loop, {});
    std::optional<HttpResult> silent;
    client.call(callTo(server.address(), ampleTimeout), [&](const HttpResult &first) {
        BOOST_TEST(first.has_value());
        client.call(callTo(server.address(), Milliseconds(5)), [&](const HttpResult &second) {
            silent = second;
            loop.quit();
        });
    });
    loop.run();
    BOOST_REQUIRE(silent.has_value());
    BOOST_REQUIRE(!silent->has_value());
    BOOST_TEST((silent->error().kind == HttpErrorKind::Unknown));
}

/** A start that reached a worker that had restarted unseen got the longest lease, and its task ran twice. */
BOOST_AUTO_TEST_CASE(aCallThatNeedsAnOldConnectionOpensNone)
{
    ScriptedServer server({ { { emptyAnswer, emptyAnswer }, true } });
    EventLoop loop;
    BOOST_REQUIRE(loop.open());
    HttpClient client(loop, {});
    HttpCall early = callTo(server.address(), ampleTimeout);
    early.establishedBy = ConnectionMark(0);
    std::optional<HttpResult> unsent;
    std::optional<HttpResult> second;
    client.call(early, [&](const HttpResult &result) {
        unsent = result;
        client.call(callTo(server.address(), ampleTimeout), [&](const HttpResult &first) {
            BOOST_REQUIRE(first.has_value());
            BOOST_TEST((first->establishedBefore == ConnectionMark(1)));
            HttpCall late = callTo(server.address(), ampleTimeout);
            late.establishedBy = first->establishedBefore;
            client.call(late, [&](const HttpResult &third) {
                second = third;
                loop.quit();
            });
        });
    });
    loop.run();
    BOOST_REQUIRE(unsent.has_value());
    BOOST_REQUIRE(!unsent->has_value());
    BOOST_TEST((unsent->error().kind == HttpErrorKind::NotSent));
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->has_value());
    BOOST_TEST(client.connectionsBegun() == 1U);
}

BOOST_AUTO_TEST_CASE(uselessConnectionsAreClosed)
{
    ScriptedServer server({ { { emptyAnswer }, true }, { { emptyAnswer }, true } });
    EventLoop loop;
    BOOST_REQUIRE(loop.open());
    HttpClient client(loop, {});
    std::optional<HttpResult> second;
    client.call(callTo(server.address(), ampleTimeout), [&](const HttpResult &first) {
        BOOST_REQUIRE(first.has_value());
        HttpCall call = callTo(server.address(), ampleTimeout);
        call.establishedAfter = first->establishedBefore;
        client.call(call, [&](const HttpResult &result) {
            second = result;
            loop.quit();
        });
    });
    loop.run();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->has_value());
    BOOST_TEST(client.connectionsBegun() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
