#pragma once

#include "eventloop.h"
#include "httpmessage.h"
#include "ids.h"
#include "units.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace currantring::net {

/** Names one connection of an HttpClient; never used again for another one. */
using ConnectionId = Strong<std::uint64_t, struct ConnectionIdTag>;

/** Counts the connections that an HttpClient has established; a connection is established as the count's next value. */
using ConnectionMark = Strong<std::uint64_t, struct ConnectionMarkTag>;

/** Separates the calls to one address, so that those that wait long don't hold up the others. */
enum class HttpLane { Orders, Waits };

/** One call to an address. */
struct HttpCall
{
    Address address;
    HttpLane lane = HttpLane::Orders;
    HttpRequest request;
    /** From the call until the whole response, connecting and waiting for a free connection included. */
    Milliseconds timeout {};
    /** When given, the call goes over this connection or not at all. */
    std::optional<ConnectionId> onlyOver;
    /** Connections to the address that were established by then are of no use any more, and are closed. */
    ConnectionMark establishedAfter {};
    /** When given, the call goes over a connection that was established by then, or not at all. */
    std::optional<ConnectionMark> establishedBy {};
};

/** A response and the connection that it came on. */
struct HttpAnswer
{
    HttpResponse response;
    ConnectionId connection;
    /** The connections that were established when the request was sent, this one included. */
    ConnectionMark establishedBefore {};
};

/** Whether a call without a response may have had an effect. */
enum class HttpErrorKind {
    /** The request surely didn't reach the other end. */
    NotSent,
    /** It was sent, wholly or in part, and no whole response came. */
    Unknown,
};

struct HttpError
{
    HttpErrorKind kind = HttpErrorKind::Unknown;
    /** For people. */
    std::string detail;
};

using HttpResult = tl::expected<HttpAnswer, HttpError>;

/** Bounds of an HttpClient. */
struct HttpClientOptions
{
    /** Most connections for one address and lane. */
    std::size_t connectionsPerLane = 2;
    std::size_t maximumResponseBytes = 8'000'000;
    /** Most calls that wait for a connection for one address and lane; further ones fail as NotSent. */
    std::size_t queuedCalls = 10'000;
};

/**
 * Makes HTTP/1.1 calls to many addresses on one thread, over connections that are kept.
 *
 * A connection carries one call at a time. One whose call timed out is closed, since its response could be taken for
 * the next call's. Thread safety: the event loop's thread only.
 */
class HttpClient
{
public:
    using Handler = std::function<void(HttpResult result)>;

    /** Precondition: @p loop outlives the object. */
    HttpClient(EventLoop &loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Makes @p call; @p then runs once, never inside this method. */
    void call(HttpCall call, Handler then);
    /** Closes the connections to @p address that carry no call, and the others after their call. */
    void forget(const Address &address);
    /** Connections that were begun since the start. */
    [[nodiscard]] std::uint64_t connectionsBegun() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace currantring::net
