#pragma once

#include "httpmessage.h"
#include "httpserverlimits.h"

#include <memory>
#include <optional>
#include <string_view>

namespace currantring::net {

/** Why a request isn't taken. */
enum class RequestFault {
    Malformed,
    HeaderTooLarge,
    TooManyFields,
    BodyTooLarge,
    ChunkFramingTooLarge,
    TrailerTooLarge,
};

/** Constant name for logs and counters, as `header-too-large`. */
std::string_view requestFaultName(RequestFault fault);
/** The HTTP status that tells the client of it. */
unsigned statusOf(RequestFault fault);

/**
 * Parses one request and holds no more of it than the limits allow, however it is split and however long it is.
 *
 * Trailer fields are checked and dropped. Thread safety: one thread at a time.
 */
class RequestReceiver
{
public:
    explicit RequestReceiver(const HttpServerLimits &limits);
    ~RequestReceiver();
    RequestReceiver(RequestReceiver &&) noexcept;
    RequestReceiver &operator=(RequestReceiver &&) noexcept;

    /**
     * Parses @p bytes and returns how many were used; the next call gets the rest again, with what came after it.
     *
     * The rest stays under the limits for a header, a chunk's line or the trailer section, or fault() is set.
     * Precondition: neither complete nor faulty.
     */
    std::size_t put(std::string_view bytes);
    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] std::optional<RequestFault> fault() const;
    /** Whether the client keeps the connection for further requests. Precondition: complete. */
    [[nodiscard]] bool keepsConnection() const;
    /** Precondition: complete, and called once. */
    HttpRequest take();
    /** Memory that the parsed part takes. */
    [[nodiscard]] std::size_t heldBytes() const;

private:
    class Parser;
    std::unique_ptr<Parser> m_parser;
};

} // namespace currantring::net
