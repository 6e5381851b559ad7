#pragma once

#include "eventloop.h"
#include "httpmessage.h"
#include "ids.h"
#include "units.h"

#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

namespace currantring::net {

/** Names one request that waits for its response. */
using RequestToken = Strong<std::uint64_t, struct RequestTokenTag>;

/** Bounds of an HttpServer; all may change while it runs. */
struct HttpServerLimits
{
    std::size_t maximumConnections = 1000;
    std::uint32_t maximumHeaderBytes = 16'384;
    std::size_t maximumBodyBytes = 262'144;
    /** From the first byte of a request, or from the connection's start, until the whole request is there. */
    Milliseconds requestTimeout { 3000 };
    /** A connection without a request under way is closed after this time. */
    Milliseconds idleTimeout { 15'000 };
    /** A response that the other end doesn't take is given up after this time. */
    Milliseconds writeTimeout { 5000 };
};

/**
 * Serves HTTP/1.1 on one address on the event loop's thread, one request at a time for each connection.
 *
 * Malformed and oversized requests are answered by itself. Thread safety: the event loop's thread only.
 */
class HttpServer
{
public:
    struct Handlers
    {
        /** A whole request; respond() must be called once for @p token, then or later. */
        std::function<void(RequestToken token, HttpRequest request)> onRequest;
        /** The connection of @p token ended before the response; respond() is still allowed. */
        std::function<void(RequestToken token)> onGone = {};
    };

    /** Precondition: @p loop outlives the object. */
    HttpServer(EventLoop &loop, Handlers handlers);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Begins to listen on @p address; the error says why not. */
    tl::expected<void, std::string> listen(const Address &address);
    /** Address with the true port. Precondition: listen() succeeded. */
    [[nodiscard]] Address listenAddress() const;
    void setLimits(const HttpServerLimits &limits);
    /** Sends the response to the request @p token; does nothing when its connection is gone. */
    void respond(RequestToken token, const HttpResponse &response);
    /** From now on each response is the last on its connection, and connections are closed once idle for @p idle. */
    void wind(Milliseconds idle);
    [[nodiscard]] std::size_t connections() const;
    /** Requests that wait for their response. */
    [[nodiscard]] std::size_t waiting() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace currantring::net
