#pragma once

#include "ids.h"
#include "units.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

namespace currantring {

/** Bounds of one client's connections. */
struct HttpClientOptions
{
    /** Most connections to one address; a request waits for a free one within its deadline. */
    std::size_t connectionsPerAddress = 64;
    Milliseconds connectTimeout { 500 };
    /** Deadline of a request that brings none. */
    Milliseconds requestTimeout { 2000 };
    /** A connection unused for longer isn't used again; shorter than the server's own limit. */
    Milliseconds idleLimit { 3000 };
    /** A longer answer is broken off. */
    std::size_t answerBytes = 64'000'000;
};

/** One request as it is sent. */
struct HttpRequest
{
    std::string method;
    /** Path and query, already encoded. */
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** Empty for a request without a body. */
    std::string contentType;
};

/** A whole answer; its length was checked. */
struct HttpAnswer
{
    int status = 0;
    std::string body;
    /** Header Currantring-Request-Id; empty when absent. */
    std::string requestId;
};

/** Why an exchange gave no whole answer. */
enum class HttpError {
    /** No byte of the request left this process. */
    NotSent,
    /** The request may have arrived. */
    Unknown,
};

/**
 * Kept-alive connections to servers, bounded for each address.
 *
 * A request is sent once and never repeated. A connection that gave no whole answer in time is closed, and the next
 * request opens a fresh one. Thread safety: all methods may be called from any thread.
 */
class HttpConnectionPool
{
public:
    explicit HttpConnectionPool(HttpClientOptions options);
    ~HttpConnectionPool();
    HttpConnectionPool(const HttpConnectionPool &) = delete;
    HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

    /** Sends @p request to @p address and waits for the whole answer, at most for @p timeout. */
    tl::expected<HttpAnswer, HttpError> exchange(const Address &address, const HttpRequest &request,
                                                 Milliseconds timeout);
    [[nodiscard]] const HttpClientOptions &options() const;
    /** Connections closed because an answer didn't come in time. */
    [[nodiscard]] std::uint64_t connectionsReplaced() const;

private:
    struct Private;
    std::unique_ptr<Private> m_data;
};

} // namespace currantring
