#pragma once

#include "httpserver.h"
#include "thread.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <future>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

namespace currantring::net::fixture {

inline constexpr Milliseconds longest { 60'000 };
inline constexpr std::size_t largeResponse = 4'000'000;
inline constexpr std::size_t largestBody = 262'144;

inline std::string post(std::string_view target, const std::string &body)
{
    return "POST " + std::string(target) + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

inline const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

/** A plain connection; calls wait for a minute at most. */
class Client
{
public:
    explicit Client(const Address &server)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const std::string &text = server.value();
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(text.find(':') + 1))));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const timeval timeout { longest.count() / 1000, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
        BOOST_REQUIRE(connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
    }
    ~Client()
    {
        close(m_socket);
    }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /** Sends all; false once the server has closed. */
    [[nodiscard]] bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    /** Reads until @p end was read, or the server has closed. */
    [[nodiscard]] std::string readUntil(std::string_view end) const
    {
        std::string text;
        std::array<char, 16'384> bytes {};
        while (end.empty() || !text.ends_with(end)) {
            const ssize_t got = recv(m_socket, bytes.data(), bytes.size(), 0);
            if (got <= 0) {
                break;
            }
            text.append(bytes.data(), static_cast<std::size_t>(got));
        }
        return text;
    }
    /** Whether the server has closed; what it sent before is skipped. */
    [[nodiscard]] bool awaitEnd() const
    {
        std::array<char, 16'384> bytes {};
        ssize_t got = 0;
        do {
            got = recv(m_socket, bytes.data(), bytes.size(), 0);
        } while (got > 0);
        return got == 0 || errno != EAGAIN;
    }

private:
    const int m_socket;
};

inline HttpServerLimits patientLimits()
{
    HttpServerLimits limits;
    limits.requestTimeout = longest;
    limits.idleTimeout = longest;
    limits.writeTimeout = longest;
    return limits;
}

/** A server on a thread of its own: it answers with the request's body, with a large one, or not at all. */
class Served
{
public:
    explicit Served(const HttpServerLimits &limits = patientLimits())
        : m_server(m_loop,
                   { [this](RequestToken token, const HttpRequest &request) { take(token, request); },
                     [this](RequestToken /*token*/) { ++m_gone; },
                     [this](const ClosedConnection &closed) {
                         m_reasons.emplace_back(closed.reason);
                     } })
    {
        BOOST_REQUIRE(m_loop.open());
        m_server.setLimits(limits);
        BOOST_REQUIRE(m_server.listen(Address("127.0.0.1:0")).has_value());
        m_loop.onRoundEnd([this] { m_mostHeld = std::max(m_mostHeld, m_server.heldBytes()); });
        m_address = m_server.listenAddress();
        m_thread = Thread("server", [this] { m_loop.run(); });
    }
    ~Served()
    {
        m_loop.quit();
        m_thread.join();
    }
    Served(const Served &) = delete;
    Served &operator=(const Served &) = delete;

    [[nodiscard]] const Address &address() const
    {
        return m_address;
    }
    /** Runs @p query on the server's thread. */
    template<typename Query>
    auto ask(Query query)
    {
        std::promise<decltype(query())> answer;
        m_loop.post([&] { answer.set_value(query()); });
        return answer.get_future().get();
    }
    template<typename Query>
    [[nodiscard]] bool awaitTrue(Query query)
    {
        const auto end = EventLoop::Clock::now() + longest;
        while (EventLoop::Clock::now() < end) {
            if (ask(query)) {
                return true;
            }
        }
        return false;
    }
    [[nodiscard]] bool awaitReason(std::string_view reason, std::ptrdiff_t count = 1)
    {
        return awaitTrue([&] { return std::ranges::count(m_reasons, reason) >= count; });
    }
    [[nodiscard]] bool awaitRequests(std::size_t count)
    {
        return awaitTrue([&] { return m_requests >= count; });
    }
    [[nodiscard]] std::size_t closedCount()
    {
        return ask([this] { return m_reasons.size(); });
    }
    [[nodiscard]] std::size_t mostHeld()
    {
        return ask([this] { return m_mostHeld; });
    }
    [[nodiscard]] std::size_t held()
    {
        return ask([this] { return m_server.heldBytes(); });
    }
    [[nodiscard]] std::size_t connections()
    {
        return ask([this] { return m_server.connections(); });
    }
    [[nodiscard]] std::size_t requests()
    {
        return ask([this] { return m_requests; });
    }
    [[nodiscard]] std::size_t gone()
    {
        return ask([this] { return m_gone; });
    }
    /** Whether an ordinary request on a fresh connection gets its answer. */
    [[nodiscard]] bool servesOrdinaryRequest()
    {
        const Client client(m_address);
        return client.send(post("/", "ordinary")) && client.readUntil("ordinary").starts_with("HTTP/1.1 200 OK");
    }

private:
    void take(RequestToken token, const HttpRequest &request)
    {
        ++m_requests;
        if (request.target == "/large") {
            m_server.respond(token, { 200, {}, std::string(largeResponse, 'x') });
        } else if (request.target == "/becomes-large") {
            m_server.countRequest(token, largestBody);
        } else if (request.target != "/kept") {
            m_server.respond(token, { 200, {}, request.body });
        }
    }

    EventLoop m_loop;
    HttpServer m_server;
    Address m_address;
    std::vector<std::string> m_reasons;
    std::size_t m_requests = 0;
    std::size_t m_gone = 0;
    std::size_t m_mostHeld = 0;
    Thread m_thread;
};

} // namespace currantring::net::fixture
