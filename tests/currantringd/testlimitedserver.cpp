#include "limitedserver.h"
#include "thread.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <future>
#include <optional>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace currantring;

namespace {

/** A plain connection that shows what the server sends and when it closes. */
class Connection
{
public:
    explicit Connection(int port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
    }
    ~Connection()
    {
        close(m_socket);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void send(const std::string &text) const
    {
        BOOST_REQUIRE(::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    }
    /** Reads until @p end was read, or the server has closed. */
    [[nodiscard]] std::string readUntil(const std::string &end) const
    {
        std::string text;
        std::array<char, 4096> bytes {};
        while (end.empty() || text.find(end) == std::string::npos) {
            const ssize_t got = recv(m_socket, bytes.data(), bytes.size(), 0);
            if (got <= 0) {
                break;
            }
            text.append(bytes.data(), static_cast<std::size_t>(got));
        }
        return text;
    }
    [[nodiscard]] std::string readAll() const
    {
        return readUntil("");
    }

private:
    const int m_socket;
};

/** A server that echoes bodies, on a free port. */
class EchoServer
{
public:
    explicit EchoServer(ConnectionLimits limits)
        : m_server(limits, [this] { ++m_refused; })
    {
        m_server.Post("/echo", [](const httplib::Request &request, httplib::Response &response) {
            response.set_content("[" + request.body + "]", "application/octet-stream");
        });
        m_server.Get("/name", [](const httplib::Request & /*request*/, httplib::Response &response) {
            response.set_content("[named]", "application/octet-stream");
        });
        BOOST_REQUIRE(m_server.listenOn("127.0.0.1:0"));
        m_port = m_server.port();
        m_thread = Thread("server", [this] { m_server.serve(); });
    }
    ~EchoServer()
    {
        m_server.finish();
        m_thread.join();
    }
    EchoServer(const EchoServer &) = delete;
    EchoServer &operator=(const EchoServer &) = delete;

    [[nodiscard]] int port() const
    {
        return m_port;
    }
    /** Waits until the server holds @p bytes of requests. */
    [[nodiscard]] bool awaitHeld(std::size_t bytes) const
    {
        return await([this, bytes] { return m_server.heldBytes() >= bytes; });
    }
    /** Waits until the server holds nothing of any request. */
    [[nodiscard]] bool awaitReleased() const
    {
        return await([this] { return m_server.heldBytes() == 0; });
    }
    [[nodiscard]] int refused() const
    {
        return m_refused;
    }

private:
    template<typename Condition>
    [[nodiscard]] static bool await(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::minutes(1);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            std::this_thread::yield();
        }
        return condition();
    }

    std::atomic<int> m_refused = 0;
    LimitedServer m_server;
    Thread m_thread;
    int m_port = 0;
};

ConnectionLimits smallLimits()
{
    ConnectionLimits limits;
    limits.connections = 2;
    limits.waiting = 0;
    limits.headerBytes = 1024;
    limits.bodyBytes = 100;
    limits.idleTime = Milliseconds(60'000);
    limits.requestTime = Milliseconds(60'000);
    return limits;
}

std::string post(const std::string &body, const std::string &headers = "")
{
    return "POST /echo HTTP/1.1\r\nHost: h\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LimitedServers)

BOOST_AUTO_TEST_CASE(connectionsUpToTheLimitAreKeptAndTheNextIsTurnedAway)
{
    EchoServer server(smallLimits());
    const Connection first(server.port());
    const Connection second(server.port());
    first.send(post("one"));
    second.send(post("two"));
    BOOST_TEST(first.readUntil("[one]").find("200 OK") != std::string::npos);
    BOOST_TEST(second.readUntil("[two]").find("200 OK") != std::string::npos);
    const Connection third(server.port());
    const std::string answer = third.readAll();
    BOOST_TEST(answer.find("503 Service Unavailable") != std::string::npos);
    BOOST_TEST(answer.find("Currantring-Outcome: not-run") != std::string::npos);
    BOOST_TEST(server.refused() == 1);
    first.send(post("again"));
    BOOST_TEST(first.readUntil("[again]").find("200 OK") != std::string::npos);
}

/** Guards against clients that keep all threads with a request now and then. */
BOOST_AUTO_TEST_CASE(idleConnectionsGiveWayToOneThatWaits)
{
    ConnectionLimits limits = smallLimits();
    limits.waiting = 1;
    EchoServer server(limits);
    const Connection first(server.port());
    const Connection second(server.port());
    first.send(post("one"));
    BOOST_TEST(first.readUntil("[one]").find("200 OK") != std::string::npos);
    second.send(post("two"));
    BOOST_TEST(second.readUntil("[two]").find("200 OK") != std::string::npos);
    const Connection third(server.port());
    third.send(post("three"));
    BOOST_TEST(third.readUntil("[three]").find("200 OK") != std::string::npos);
    BOOST_TEST(first.readAll().empty());
    BOOST_TEST(server.refused() == 0);
}

BOOST_AUTO_TEST_CASE(aKeptConnectionServesMoreRequestsThanHttplibWouldByItself)
{
    EchoServer server(smallLimits());
    const Connection connection(server.port());
    for (int request = 0; request < 20; ++request) {
        const std::string body = std::to_string(request);
        connection.send(post(body));
        BOOST_TEST(connection.readUntil("[" + body + "]").find("200 OK") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(anOversizedBodyIsRefusedAndTheConnectionClosed)
{
    EchoServer server(smallLimits());
    const Connection connection(server.port());
    connection.send(post(std::string(101, 'x')));
    BOOST_TEST(connection.readUntil("\r\n").find("413") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aBodyOfTheLargestSizeIsTaken)
{
    EchoServer server(smallLimits());
    const Connection connection(server.port());
    const std::string body(100, 'x');
    connection.send(post(body));
    BOOST_TEST(connection.readUntil("[" + body + "]").find("200 OK") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(anOversizedHeaderIsRefusedAndTheConnectionClosed)
{
    EchoServer server(smallLimits());
    const Connection connection(server.port());
    std::string headers;
    for (int line = 0; line < 60; ++line) {
        headers += "Name-" + std::to_string(line) + ": some value\r\n";
    }
    connection.send(post("body", headers));
    const std::string answer = connection.readAll();
    BOOST_TEST(answer.find("200 OK") == std::string::npos);
}

/**
 * Guards against unfinished large requests on all connections that together hold that many times the largest body, and
 * against refusing small requests beside them.
 */
BOOST_AUTO_TEST_CASE(largeRequestsBeyondTheBudgetOfAllConnectionsAreRefused)
{
    ConnectionLimits limits = smallLimits();
    // All of them may be open at once: the server learns later that a connection was closed.
    limits.connections = 5;
    limits.bodyBytes = 10'000;
    limits.heldBytes = 8192;
    EchoServer server(limits);
    const std::string body(7000, 'x');
    {
        const Connection first(server.port());
        const std::string request = post(body);
        first.send(request.substr(0, request.size() - 1));
        BOOST_REQUIRE(server.awaitHeld(body.size()));
        const Connection second(server.port());
        second.send(post(body));
        BOOST_TEST(second.readAll().find("200 OK") == std::string::npos);
        const Connection small(server.port());
        small.send(post("small"));
        BOOST_TEST(small.readUntil("[small]").find("200 OK") != std::string::npos);
        first.send("x");
        BOOST_TEST(first.readUntil("[" + body + "]").find("200 OK") != std::string::npos);
        // A kept connection without a request holds nothing.
        const Connection next(server.port());
        next.send(post("next"));
        BOOST_TEST(next.readUntil("[next]").find("200 OK") != std::string::npos);
    }
    BOOST_TEST(server.awaitReleased());
    const Connection last(server.port());
    last.send(post(body));
    BOOST_TEST(last.readUntil("[" + body + "]").find("200 OK") != std::string::npos);
    BOOST_TEST(server.refused() == 0);
}

BOOST_AUTO_TEST_CASE(aRequestThatIsNeverWholeLosesItsConnection)
{
    ConnectionLimits limits = smallLimits();
    limits.requestTime = Milliseconds(50);
    EchoServer server(limits);
    const Connection connection(server.port());
    connection.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf");
    BOOST_TEST(connection.readAll().find("200 OK") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(anIdleConnectionIsClosed)
{
    ConnectionLimits limits = smallLimits();
    limits.idleTime = Milliseconds(20);
    EchoServer server(limits);
    const Connection connection(server.port());
    connection.send(post("one"));
    BOOST_TEST(connection.readAll().find("[one]") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(bodiesStayAsSentWhateverTheirType)
{
    EchoServer server(smallLimits());
    const Connection connection(server.port());
    for (const char *type : { "multipart/form-data; boundary=b", "application/x-www-form-urlencoded", "text/plain" }) {
        connection.send(post("a=1&b=2", "Content-Type: " + std::string(type) + "\r\n"));
        BOOST_TEST(connection.readUntil("[a=1&b=2]").find("200 OK") != std::string::npos);
    }
    connection.send(post("plain", "Content-Encoding: gzip\r\n"));
    BOOST_TEST(connection.readUntil("[plain]").find("200 OK") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(theBodyOfAGetIsNotTakenForTheNextRequest)
{
    EchoServer server(smallLimits());
    const Connection connection(server.port());
    connection.send("GET /name HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\nGET /name HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string answer = connection.readAll();
    const std::size_t first = answer.find("[named]");
    BOOST_TEST(first != std::string::npos);
    BOOST_TEST(answer.find("[named]", first + 1) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(aPortInUseIsNotSharedWithASecondServer)
{
    EchoServer server(smallLimits());
    LimitedServer second(smallLimits(), [] {});
    BOOST_TEST(!second.listenOn("127.0.0.1:" + std::to_string(server.port())));
}

BOOST_AUTO_TEST_CASE(finishingEndsIdleConnectionsAtOnceAndLetsARequestInFlightFinish)
{
    std::promise<void> entered;
    std::promise<void> release;
    LimitedServer server(smallLimits(), [] {});
    server.Get("/slow", [&](const httplib::Request & /*request*/, httplib::Response &response) {
        entered.set_value();
        release.get_future().wait();
        response.set_content("[slow]", "application/octet-stream");
    });
    server.Get("/name", [](const httplib::Request & /*request*/, httplib::Response &response) {
        response.set_content("[named]", "application/octet-stream");
    });
    BOOST_REQUIRE(server.listenOn("127.0.0.1:0"));
    const int port = server.port();
    Thread thread("server", [&server] { server.serve(); });
    const Connection idle(port);
    idle.send("GET /name HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(!idle.readUntil("[named]").empty());
    const Connection busy(port);
    busy.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    entered.get_future().wait();
    server.finish();
    // The limit on idle connections is a minute; finishing doesn't wait for it.
    BOOST_TEST(idle.readAll().empty());
    release.set_value();
    BOOST_TEST(busy.readAll().find("[slow]") != std::string::npos);
    thread.join();
}

BOOST_AUTO_TEST_SUITE_END()
