#include "requestreceiver.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace currantring::net {

namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;
using ErrorCode = boost::beast::error_code;

constexpr std::string_view lineEnd = "\r\n";
/** Each chunked body ends with at least these bytes. */
constexpr std::string_view shortestEnd = "0\r\n\r\n";
/** Blanks, version and line end of a request line. */
constexpr std::size_t requestLineExtra = 12;
/** Colon and line end of a field. */
constexpr std::size_t fieldExtra = 3;
/** Two allocations of the strings of a field. */
constexpr std::size_t fieldOverhead = 32;
/** A body is given room as it comes beyond this size, since the length alone doesn't say that it will come. */
constexpr std::size_t largestReservedBody = 16'384;

std::string toString(string_view text)
{
    return { text.data(), text.size() };
}

RequestFault faultOf(const ErrorCode &error)
{
    if (error == http::error::body_limit) {
        return RequestFault::BodyTooLarge;
    }
    return error == http::error::header_limit ? RequestFault::HeaderTooLarge : RequestFault::Malformed;
}

} // namespace

std::string_view requestFaultName(RequestFault fault)
{
    switch (fault) {
    case RequestFault::Malformed:
        return "malformed";
    case RequestFault::HeaderTooLarge:
        return "header-too-large";
    case RequestFault::TooManyFields:
        return "too-many-fields";
    case RequestFault::BodyTooLarge:
        return "body-too-large";
    case RequestFault::ChunkFramingTooLarge:
        return "chunk-framing-too-large";
    case RequestFault::TrailerTooLarge:
        break;
    }
    return "trailer-too-large";
}

unsigned statusOf(RequestFault fault)
{
    constexpr unsigned badRequest = 400;
    constexpr unsigned payloadTooLarge = 413;
    constexpr unsigned headerTooLarge = 431;
    switch (fault) {
    case RequestFault::BodyTooLarge:
        return payloadTooLarge;
    case RequestFault::HeaderTooLarge:
    case RequestFault::TooManyFields:
    case RequestFault::TrailerTooLarge:
        return headerTooLarge;
    case RequestFault::Malformed:
    case RequestFault::ChunkFramingTooLarge:
        break;
    }
    return badRequest;
}

/**
 * Beast's parser with storage of its own. Beast bounds the header by its unparsed part only, and doesn't bound the
 * line of a chunk and the trailer section.
 */
class RequestReceiver::Parser : public http::basic_parser<true>
{
public:
    explicit Parser(const HttpServerLimits &limits)
        : m_limits(limits)
    {
        eager(true);
        header_limit(limits.maximumHeaderBytes);
        body_limit(limits.maximumBodyBytes);
    }

    std::size_t putBytes(std::string_view bytes)
    {
        // Beast expects the line of the last chunk and the blank line in one piece once it has seen the former.
        if (is_header_done() && chunked() && bytes.size() < shortestEnd.size()) {
            return 0;
        }
        ErrorCode error;
        const std::size_t used = put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        m_usedBytes += used;
        if (error && error != http::error::need_more) {
            m_fault = m_fault.value_or(faultOf(error));
        } else if (!is_done()) {
            checkRest(bytes.substr(used));
        }
        return used;
    }

    [[nodiscard]] std::optional<RequestFault> fault() const
    {
        return m_fault;
    }

    HttpRequest takeRequest()
    {
        return std::move(m_request);
    }

    [[nodiscard]] std::size_t heldBytes() const
    {
        return sizeof(Parser) + m_fieldBytes + m_request.headers.size() * fieldOverhead
            + m_request.headers.capacity() * sizeof(HttpHeader) + m_request.body.capacity();
    }

private:
    /** Checks what waits for more bytes: a part of the header, of a chunk's line or of the trailer section. */
    void checkRest(std::string_view rest)
    {
        if (!is_header_done()) {
            if (m_usedBytes + rest.size() > m_limits.maximumHeaderBytes) {
                m_fault = RequestFault::HeaderTooLarge;
            }
            return;
        }
        if (m_usedBytes - m_request.body.size()
            > std::size_t { m_limits.maximumHeaderBytes } + m_limits.maximumFramingBytes) {
            m_fault = RequestFault::ChunkFramingTooLarge;
            return;
        }
        if (rest.size() <= std::min(m_limits.maximumChunkLineBytes, m_limits.maximumTrailerBytes)) {
            return;
        }
        // Beast takes the line of a chunk once it is whole, and that of the last chunk with the trailer section. The
        // end of the chunk before may stand in front.
        const std::size_t begin = rest.starts_with(lineEnd) ? lineEnd.size() : 0;
        const std::size_t end = rest.find(lineEnd, begin);
        if (end == std::string_view::npos) {
            if (rest.size() > m_limits.maximumChunkLineBytes) {
                m_fault = RequestFault::ChunkFramingTooLarge;
            }
        } else if (rest.size() - end - lineEnd.size() > m_limits.maximumTrailerBytes) {
            m_fault = RequestFault::TrailerTooLarge;
        }
    }

    void refuse(RequestFault fault, ErrorCode &error)
    {
        m_fault = fault;
        error = http::error::header_limit;
    }

    void on_request_impl(http::verb /*method*/, string_view method, string_view target, int /*version*/,
                         ErrorCode &error) override
    {
        m_fieldBytes = method.size() + target.size() + requestLineExtra;
        if (m_fieldBytes > m_limits.maximumHeaderBytes) {
            refuse(RequestFault::HeaderTooLarge, error);
            return;
        }
        m_request.method = toString(method);
        m_request.target = toString(target);
    }

    void on_response_impl(int /*code*/, string_view /*reason*/, int /*version*/, ErrorCode & /*error*/) override
    {
    }

    void on_field_impl(http::field /*field*/, string_view name, string_view value, ErrorCode &error) override
    {
        std::size_t &bytes = m_isTrailer ? m_trailerBytes : m_fieldBytes;
        bytes += name.size() + value.size() + fieldExtra;
        if (bytes > (m_isTrailer ? m_limits.maximumTrailerBytes : m_limits.maximumHeaderBytes)) {
            refuse(m_isTrailer ? RequestFault::TrailerTooLarge : RequestFault::HeaderTooLarge, error);
        } else if (++m_fields > m_limits.maximumFields) {
            refuse(RequestFault::TooManyFields, error);
        } else if (!m_isTrailer) {
            m_request.headers.push_back({ toString(name), toString(value) });
        }
    }

    void on_header_impl(ErrorCode & /*error*/) override
    {
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode & /*error*/) override
    {
        if (length) {
            m_request.body.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*length, largestReservedBody)));
        }
    }

    std::size_t on_body_impl(string_view body, ErrorCode & /*error*/) override
    {
        m_request.body.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t size, string_view extensions, ErrorCode &error) override
    {
        if (extensions.size() > m_limits.maximumChunkLineBytes) {
            refuse(RequestFault::ChunkFramingTooLarge, error);
        } else if (size == 0) {
            m_isTrailer = true;
            m_fields = 0;
        }
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view body, ErrorCode & /*error*/) override
    {
        m_request.body.append(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(ErrorCode & /*error*/) override
    {
    }

    const HttpServerLimits m_limits;
    HttpRequest m_request;
    std::optional<RequestFault> m_fault;
    std::size_t m_usedBytes = 0;
    /** Bytes of the request line and the header fields that are held. */
    std::size_t m_fieldBytes = 0;
    std::size_t m_trailerBytes = 0;
    std::size_t m_fields = 0;
    bool m_isTrailer = false;
};

RequestReceiver::RequestReceiver(const HttpServerLimits &limits)
    : m_parser(std::make_unique<Parser>(limits))
{
}

RequestReceiver::~RequestReceiver() = default;
RequestReceiver::RequestReceiver(RequestReceiver &&) noexcept = default;
RequestReceiver &RequestReceiver::operator=(RequestReceiver &&) noexcept = default;

std::size_t RequestReceiver::put(std::string_view bytes)
{
    return m_parser->putBytes(bytes);
}

bool RequestReceiver::isComplete() const
{
    return m_parser->is_done();
}

std::optional<RequestFault> RequestReceiver::fault() const
{
    return m_parser->fault();
}

bool RequestReceiver::keepsConnection() const
{
    return m_parser->keep_alive();
}

HttpRequest RequestReceiver::take()
{
    return m_parser->takeRequest();
}

std::size_t RequestReceiver::heldBytes() const
{
    return m_parser->heldBytes();
}

} // namespace currantring::net
