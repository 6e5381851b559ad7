#include "contractsubject.h"
#include "scriptedserver.h"
#include "urlencoding.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds patience(30'000);
constexpr Milliseconds haste(100);

const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nCurrantring-Request-Id: other\r\n\r\nok";

HttpRequest getRequest()
{
    return { "GET", "/", {}, {}, {} };
}

HttpClientOptions boundedOptions(std::size_t connections, std::size_t answerBytes)
{
    HttpClientOptions options;
    options.connectionsPerAddress = connections;
    options.answerBytes = answerBytes;
    return options;
}

std::string outcomeOf(const tl::expected<HttpAnswer, HttpError> &answer)
{
    if (answer) {
        return answer->body;
    }
    return answer.error() == HttpError::NotSent ? "not sent" : "unknown";
}

struct BrokenAnswer
{
    std::string name;
    std::string answer;
    /** Whether the server then keeps the connection and says nothing more. */
    bool staysOpen;
    std::uint64_t replaced;
};

const std::vector<BrokenAnswer> &brokenAnswers()
{
    static const std::vector<BrokenAnswer> rows {
        { "closed without a byte", "", false, 0 },
        { "silent", "", true, 1 },
        { "half of the head, then silent", "HTTP/1.1 200 OK\r\nContent-", true, 1 },
        { "half of the head, then closed", "HTTP/1.1 200 OK\r\nContent-", false, 0 },
        { "half of the body, then silent", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok", true, 1 },
        { "half of the body, then closed", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok", false, 0 },
        { "no length", "HTTP/1.1 200 OK\r\n\r\nok", false, 0 },
        { "no HTTP", "hello\r\n\r\n", false, 0 },
        { "longer than allowed", "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + std::string(4000, 'x'), false, 0 },
    };
    return rows;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpConnections)

BOOST_AUTO_TEST_CASE(brokenAnswersAreUnknownAndNeverRepeated)
{
    for (const BrokenAnswer &row : brokenAnswers()) {
        BOOST_TEST_CONTEXT(row.name)
        {
            ScriptedServer server({ { { row.answer }, row.staysOpen }, { { wholeAnswer }, false } });
            HttpConnectionPool pool(boundedOptions(4, 2000));
            const Milliseconds timeout = row.staysOpen ? haste : patience;
            BOOST_TEST(outcomeOf(pool.exchange(server.address(), getRequest(), timeout)) == "unknown");
            BOOST_TEST(server.requests() == 1);
            BOOST_TEST(pool.connectionsReplaced() == row.replaced);
            BOOST_TEST(outcomeOf(pool.exchange(server.address(), getRequest(), patience)) == "ok");
        }
    }
}

BOOST_AUTO_TEST_CASE(aConnectionIsReusedAndTheIdIsGivenAsRead)
{
    ScriptedServer server({ { { wholeAnswer, wholeAnswer }, true } });
    HttpConnectionPool pool(boundedOptions(4, 2000));
    BOOST_TEST(outcomeOf(pool.exchange(server.address(), getRequest(), patience)) == "ok");
    const auto second = pool.exchange(server.address(), getRequest(), patience);
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->requestId == "other");
    BOOST_TEST(server.accepted() == 1);
}

BOOST_AUTO_TEST_CASE(aReusedConnectionThatEndsUnansweredLeavesTheOutcomeUnknown)
{
    ScriptedServer server({ { { wholeAnswer, "" }, false }, { { wholeAnswer }, false } });
    HttpConnectionPool pool(boundedOptions(4, 2000));
    BOOST_TEST(outcomeOf(pool.exchange(server.address(), getRequest(), patience)) == "ok");
    BOOST_TEST(outcomeOf(pool.exchange(server.address(), getRequest(), patience)) == "unknown");
    BOOST_TEST(server.requests() == 2);
}

BOOST_AUTO_TEST_CASE(bytesPastAnAnswerAreNotTakenForTheNext)
{
    ScriptedServer server(
        { { { wholeAnswer + wholeAnswer }, true }, { { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew" }, true } });
    HttpConnectionPool pool(boundedOptions(4, 2000));
    BOOST_TEST(outcomeOf(pool.exchange(server.address(), getRequest(), patience)) == "ok");
    BOOST_TEST(outcomeOf(pool.exchange(server.address(), getRequest(), patience)) == "new");
}

BOOST_AUTO_TEST_CASE(whatNeverReachesAServerIsNotSent)
{
    std::string closedPort;
    {
        const ScriptedServer server({});
        closedPort = server.address().value();
    }
    HttpConnectionPool pool(boundedOptions(4, 2000));
    for (const std::string &address : { closedPort, std::string(), std::string("127.0.0.1"), std::string("a:0x1"),
                                        std::string("127.0.0.1:70000"), std::string(":80") }) {
        BOOST_TEST(outcomeOf(pool.exchange(Address(address), getRequest(), patience)) == "not sent", address);
    }
}

BOOST_AUTO_TEST_CASE(aRequestPastTheBoundIsNotSent)
{
    auto server = std::make_unique<ScriptedServer>(std::vector<ScriptedConnection> { { { "" }, true } });
    const Address address = server->address();
    HttpConnectionPool pool(boundedOptions(1, 2000));
    const Thread holder("holder", [&] { static_cast<void>(pool.exchange(address, getRequest(), patience)); });
    BOOST_TEST(awaitCondition([&server] { return server->requests() == 1; }));
    BOOST_TEST(outcomeOf(pool.exchange(address, getRequest(), haste)) == "not sent");
    // Its end frees the holder.
    server.reset();
}

BOOST_AUTO_TEST_CASE(connectionsThatWentSilentAreReplaced)
{
    HttpSubject subject;
    BOOST_TEST(subject.hastyStore(StoreGet { "a" }).has_value());
    subject.throwFault({ { "fault", "silentConnections" } });
    BOOST_TEST((subject.hastyStore(StoreGet { "a" }).error() == StoreError::Unknown));
    BOOST_TEST(subject.hasReplacedConnections());
    BOOST_TEST(awaitCondition([&subject] { return subject.hastyStore(StoreGet { "a" }).has_value(); }));
}

BOOST_AUTO_TEST_CASE(aWaitingWatchWakesOnAChangeAndCountsAsOneCall)
{
    HttpSubject subject;
    StoreResult seen = tl::unexpected(StoreError::Unknown);
    {
        const Thread watcher("watcher", [&] { seen = subject.store(StoreWatch { "a", StoreRevision(0), patience }); });
        BOOST_TEST(subject.store(StorePut { "a", "1", std::nullopt, std::nullopt }).has_value());
    }
    BOOST_REQUIRE(seen.has_value());
    BOOST_TEST(seen->entries.size() == 1U);
    BOOST_TEST(subject.counts().at("watch") == 1U);
}

BOOST_AUTO_TEST_CASE(targetsAreEncoded)
{
    BOOST_TEST(encodeUrlPath("a/b c?d%\xff") == "a/b%20c%3Fd%25%FF");
    BOOST_TEST(encodeUrlParameter("a/b&=+~") == "a%2Fb%26%3D%2B~");
}

BOOST_AUTO_TEST_SUITE_END()
