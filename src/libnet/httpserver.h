#pragma once

#include "eventloop.h"
#include "httpmessage.h"
#include "httpserverlimits.h"
#include "ids.h"
#include "units.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace currantring::net {

/** Names one request that waits for its response. */
using RequestToken = Strong<std::uint64_t, struct RequestTokenTag>;

/** A connection that the server closed, or whose request it refused, for a limit. */
struct ClosedConnection
{
    /** Constant name: that of a RequestFault, `memory`, `connection-limit`, `request-timeout` or `write-timeout`. */
    std::string_view reason;
    /** Memory that the connection held, that all connections hold, and their budget. */
    std::size_t bytes = 0;
    std::size_t heldBytes = 0;
    std::size_t budgetBytes = 0;
    std::size_t connections = 0;
};

/**
 * Serves HTTP/1.1 on one address on the event loop's thread, one request at a time for each connection.
 *
 * Malformed and oversized requests are answered by itself. What a connection makes the server hold is bounded: parsed
 * and unparsed bytes, requests ahead of a response, a request that waits for its response, and an unread response; so
 * is the sum over all connections. A connection is closed without a response when it holds the most of an exceeded
 * budget, since a refusal would say that the job it names isn't stored, which this layer doesn't know. Thread safety:
 * the event loop's thread only.
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
        /** Tells of each connection that was closed for a limit; mustn't call the server. */
        std::function<void(const ClosedConnection &closed)> onClosed = {};
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
    /**
     * Counts the request @p token with @p bytes until its response, when the handler keeps it in a larger form. May
     * close connections before the next round.
     */
    void countRequest(RequestToken token, std::size_t bytes);
    /** Sends the response to the request @p token; does nothing when its connection is gone. */
    void respond(RequestToken token, const HttpResponse &response);
    /** From now on each response is the last on its connection, and connections are closed once idle for @p idle. */
    void wind(Milliseconds idle);
    [[nodiscard]] std::size_t connections() const;
    /** Requests that wait for their response. */
    [[nodiscard]] std::size_t waiting() const;
    /** Memory that the connections hold. */
    [[nodiscard]] std::size_t heldBytes() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace currantring::net
