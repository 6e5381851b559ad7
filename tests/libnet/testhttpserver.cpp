#include "httpserverfixture.h"

#include <memory>
#include <random>

using namespace currantring;
using namespace currantring::net;
using namespace currantring::net::fixture;

BOOST_AUTO_TEST_SUITE(HttpServers)

/**
 * Guards against buffers without a limit: four clients with endless trailer fields took a process from 3 MB to 1,279
 * MB.
 */
BOOST_AUTO_TEST_CASE(endlessRequestsAreClosedAndCounted)
{
    struct Row
    {
        std::string beginning;
        std::string block;
        std::string reason;
    };
    const std::string block(1024, 'x');
    const std::string fields = "a: bcdefghijklm\r\n";
    const std::vector<Row> rows {
        { chunked + "1\r\nx\r\n0\r\n", fields, "trailer-too-large" },
        { chunked + "0\r\na: ", block, "trailer-too-large" },
        { chunked, std::string(1024, '0'), "chunk-framing-too-large" },
        { chunked + "1;a=", block, "chunk-framing-too-large" },
        { "GET /", block, "header-too-large" },
        { "GET / HTTP/1.1\r\n", fields, "header-too-large" },
        { chunked, "400\r\n" + block + "\r\n", "body-too-large" },
        { "no request\r\n", block, "malformed" },
    };
    for (const Row &row : rows) {
        Served served;
        const Client client(served.address());
        bool isOpen = client.send(row.beginning);
        for (int count = 0; isOpen && count < 1'000'000; ++count) {
            isOpen = client.send(row.block);
        }
        BOOST_TEST(!isOpen, row.reason);
        BOOST_TEST(served.awaitReason(row.reason), row.reason);
        BOOST_TEST(served.mostHeld() < 700'000U, row.reason);
        BOOST_TEST(served.servesOrdinaryRequest(), row.reason);
        BOOST_TEST(served.closedCount() == 1U, row.reason);
    }
}

/** Guards against refusals that don't tell what was too large, and against handing over a part of a refused request. */
BOOST_AUTO_TEST_CASE(refusalsAreAnsweredByStatus)
{
    Served served;
    const std::vector<std::pair<std::string, std::string>> rows {
        { "GET /" + std::string(20'000, 'x'), "431" },
        { "POST / HTTP/1.1\r\nContent-Length: 262145\r\n\r\n", "413" },
        { "nonsense\r\n\r\n", "400" },
    };
    for (const auto &[bytes, status] : rows) {
        const Client client(served.address());
        BOOST_TEST(client.send(bytes.substr(0, 16'385)));
        BOOST_TEST(client.readUntil("").starts_with("HTTP/1.1 " + status));
    }
    BOOST_TEST(served.requests() == 0U);
}

/** Guards against limits that refuse a request of the largest allowed size because of how it is framed. */
BOOST_AUTO_TEST_CASE(largestRequestsAreServedPlainAndInChunksOfOneByte)
{
    Served served;
    const std::string body(largestBody, 'x');
    std::string chunks = chunked;
    for (std::size_t index = 0; index < body.size(); ++index) {
        chunks += "1\r\nx\r\n";
    }
    for (const std::string &bytes : { post("/", body), chunks + "0\r\n\r\n" }) {
        const Client client(served.address());
        BOOST_TEST(client.send(bytes));
        BOOST_TEST(client.readUntil("\r\n\r\n" + body).size() > body.size());
    }
    BOOST_TEST(served.closedCount() == 0U);
}

/**
 * Guards against bodies without their last byte on many connections, which exceeded the memory of the smallest hosts.
 */
BOOST_AUTO_TEST_CASE(unfinishedRequestsStayWithinTheBudget)
{
    HttpServerLimits limits = patientLimits();
    limits.maximumHeldBytes = 2'000'000;
    Served served(limits);
    const std::string request = post("/", std::string(largestBody, 'x'));
    std::vector<std::unique_ptr<Client>> clients;
    for (int count = 0; count < 30; ++count) {
        clients.push_back(std::make_unique<Client>(served.address()));
        // The server may close it while it sends.
        static_cast<void>(clients.back()->send(std::string_view(request).substr(0, request.size() - 1)));
        BOOST_TEST(served.servesOrdinaryRequest());
    }
    BOOST_TEST(served.awaitReason("memory", 10));
    BOOST_TEST(served.mostHeld() <= limits.maximumHeldBytes);
    BOOST_TEST(served.requests() == 30U);
}

/** Guards against a budget that leaves out requests that are whole and wait for their response. */
BOOST_AUTO_TEST_CASE(requestsThatWaitForAResponseStayWithinTheBudget)
{
    HttpServerLimits limits = patientLimits();
    limits.maximumHeldBytes = 2'000'000;
    Served served(limits);
    std::vector<std::unique_ptr<Client>> clients;
    for (int count = 0; count < 30; ++count) {
        clients.push_back(std::make_unique<Client>(served.address()));
        BOOST_TEST(clients.back()->send(post("/kept", std::string(largestBody, 'x'))));
        BOOST_TEST(served.awaitRequests(static_cast<std::size_t>(count) + 1));
    }
    BOOST_TEST(served.awaitReason("memory", 20));
    BOOST_TEST(served.gone() == served.closedCount());
    BOOST_TEST(served.servesOrdinaryRequest());
    BOOST_TEST(served.mostHeld() <= limits.maximumHeldBytes);
}

/** Guards against a budget that leaves out responses that clients don't read. */
/** Guards against requests that are kept in a form of many times their bytes, which no budget counts. */
BOOST_AUTO_TEST_CASE(requestsCountAsWhatTheyBecame)
{
    HttpServerLimits limits = patientLimits();
    limits.maximumHeldBytes = 2'000'000;
    Served served(limits);
    std::vector<std::unique_ptr<Client>> clients;
    for (int count = 0; count < 30; ++count) {
        clients.push_back(std::make_unique<Client>(served.address()));
        BOOST_TEST(clients.back()->send(post("/becomes-large", "small")));
        BOOST_TEST(served.awaitRequests(static_cast<std::size_t>(count) + 1));
    }
    BOOST_TEST(served.awaitReason("memory", 20));
    BOOST_TEST(served.servesOrdinaryRequest());
    BOOST_TEST(served.held() <= limits.maximumHeldBytes);
}

BOOST_AUTO_TEST_CASE(unreadResponsesStayWithinTheBudgetAndEnd)
{
    HttpServerLimits limits = patientLimits();
    limits.maximumHeldBytes = 3 * largeResponse;
    Served served(limits);
    std::vector<std::unique_ptr<Client>> clients;
    for (int count = 0; count < 8; ++count) {
        clients.push_back(std::make_unique<Client>(served.address()));
        BOOST_TEST(clients.back()->send("GET /large HTTP/1.1\r\n\r\n"));
    }
    BOOST_TEST(served.awaitReason("memory", 5));
    BOOST_TEST(served.servesOrdinaryRequest());
    // Closed at the end of the round in which the responses were written.
    BOOST_TEST(served.held() <= limits.maximumHeldBytes);
}

/** Guards against a response that is held for as long as its client doesn't read it. */
BOOST_AUTO_TEST_CASE(anUnreadResponseIsGivenUp)
{
    HttpServerLimits limits = patientLimits();
    limits.writeTimeout = Milliseconds(20);
    Served served(limits);
    const Client client(served.address());
    BOOST_TEST(client.send("GET /large HTTP/1.1\r\n\r\n"));
    BOOST_TEST(served.awaitReason("write-timeout"));
    BOOST_TEST(client.awaitEnd());
    BOOST_TEST(served.held() == 0U);
}

/** Guards against connections that are held by a request whose rest never comes. */
BOOST_AUTO_TEST_CASE(aHalfRequestIsGivenUp)
{
    HttpServerLimits limits = patientLimits();
    limits.requestTimeout = Milliseconds(20);
    Served served(limits);
    const Client client(served.address());
    BOOST_TEST(client.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf"));
    BOOST_TEST(served.awaitReason("request-timeout"));
    BOOST_TEST(client.awaitEnd());
}

/** Guards against holding more pipelined requests than the limit, and against losing or reordering those that wait. */
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreHeldWithinTheLimitAndServedInTurn)
{
    Served served;
    const Client client(served.address());
    constexpr std::size_t count = 20'000;
    std::string bytes;
    for (std::size_t index = 0; index < count; ++index) {
        bytes += post("/", std::to_string(index));
    }
    Thread sender("sender", [&] { static_cast<void>(client.send(bytes + post("/", "last"))); });
    const std::string answers = client.readUntil("last");
    sender.join();
    BOOST_TEST(served.requests() == count + 1);
    std::size_t place = 0;
    for (std::size_t index = 0; index < count && place != std::string::npos; ++index) {
        place = answers.find("\r\n\r\n" + std::to_string(index) + "HTTP/1.1", place);
    }
    BOOST_TEST(place != std::string::npos);
    BOOST_TEST(served.mostHeld() < 100'000U);
    const Client unread(served.address());
    BOOST_TEST(unread.send(post("/kept", "") + bytes.substr(0, 100'000)));
    BOOST_TEST(served.held() < 100'000U);
    BOOST_TEST(served.closedCount() == 0U);
}

/**
 * Guards against connections that never send a whole request and keep all others out, and against closing those that
 * have been served.
 */
BOOST_AUTO_TEST_CASE(connectionsWithoutARequestMakeRoom)
{
    HttpServerLimits limits = patientLimits();
    limits.maximumConnections = 4;
    Served served(limits);
    const Client known(served.address());
    BOOST_TEST(known.send(post("/", "first")));
    BOOST_TEST(known.readUntil("first").starts_with("HTTP/1.1 200"));
    std::vector<std::unique_ptr<Client>> silent;
    for (int count = 0; count < 3; ++count) {
        silent.push_back(std::make_unique<Client>(served.address()));
        BOOST_TEST(silent.back()->send("GET /"));
    }
    // A fresh connection is closed until the silent ones have had their time.
    const auto end = EventLoop::Clock::now() + longest;
    bool isServed = false;
    while (!isServed && EventLoop::Clock::now() < end) {
        isServed = served.servesOrdinaryRequest();
    }
    BOOST_TEST(isServed);
    BOOST_TEST(silent.front()->awaitEnd());
    BOOST_TEST(served.awaitReason("connection-limit"));
    BOOST_TEST(known.send(post("/", "second")));
    BOOST_TEST(known.readUntil("second").starts_with("HTTP/1.1 200"));
}

/** Guards against connections that are spared for good once they have sent a request, and so keep all others away. */
BOOST_AUTO_TEST_CASE(idleConnectionsMakeRoomAndRequestsUnderWayDont)
{
    HttpServerLimits limits = patientLimits();
    limits.maximumConnections = 4;
    Served served(limits);
    const Client waiting(served.address());
    BOOST_TEST(waiting.send(post("/kept", "")));
    BOOST_TEST(served.awaitRequests(1));
    std::vector<std::unique_ptr<Client>> idle;
    for (int count = 0; count < 3; ++count) {
        idle.push_back(std::make_unique<Client>(served.address()));
        BOOST_TEST(idle.back()->send(post("/", "first")));
        BOOST_TEST(idle.back()->readUntil("first").starts_with("HTTP/1.1 200"));
    }
    for (int count = 0; count < 20; ++count) {
        BOOST_TEST(served.servesOrdinaryRequest());
    }
    BOOST_TEST(idle.front()->awaitEnd());
    BOOST_TEST(served.awaitReason("connection-limit"));
    BOOST_TEST(served.gone() == 0U);
}

/**
 * Guards against a server that stops, or holds much, after random bytes and changed requests, several on a connection.
 */
BOOST_AUTO_TEST_CASE(randomClientsAreSurvived)
{
    Served served;
    const std::vector<std::string> requests {
        post("/", "body"), "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        chunked + "3;a=\"b\"\r\nabc\r\nA\r\n0123456789\r\n0;c\r\nd: e\r\n f\r\n\r\n"
    };
    for (std::uint32_t seed = 1; seed <= 400; ++seed) {
        std::mt19937 random(seed);
        const auto below = [&random](std::size_t bound) {
            return static_cast<std::size_t>(random() % bound);
        };
        const Client client(served.address());
        for (std::size_t count = 1 + below(4); count > 0; --count) {
            std::string bytes = requests[below(requests.size())];
            for (std::size_t change = below(4); change > 0; --change) {
                const std::size_t place = below(bytes.size());
                if (below(3) == 0) {
                    bytes.insert(place, std::string(1 + below(3000), static_cast<char>(random())));
                } else {
                    bytes[place] = static_cast<char>(random());
                }
            }
            const std::size_t cut = below(bytes.size() + 1);
            if (!client.send(std::string_view(bytes).substr(0, cut))
                || !client.send(std::string_view(bytes).substr(cut))) {
                break;
            }
        }
    }
    BOOST_TEST(served.servesOrdinaryRequest());
    BOOST_TEST(served.mostHeld() < 10'000'000U);
}

BOOST_AUTO_TEST_SUITE_END()
