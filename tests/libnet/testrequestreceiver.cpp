#include "requestreceiver.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace currantring::net;

namespace {

HttpServerLimits smallLimits()
{
    HttpServerLimits limits;
    limits.maximumHeaderBytes = 1000;
    limits.maximumFields = 20;
    limits.maximumBodyBytes = 500;
    limits.maximumChunkLineBytes = 100;
    limits.maximumFramingBytes = 5000;
    limits.maximumTrailerBytes = 300;
    return limits;
}

std::string repeat(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t index = 0; index < count; ++index) {
        result += text;
    }
    return result;
}

struct Received
{
    std::optional<RequestFault> fault;
    std::optional<HttpRequest> request;
    /** Most bytes that were parsed or left over at once. */
    std::size_t mostHeld = 0;
    std::size_t used = 0;
};

/** Gives a receiver @p bytes in parts of @p size, as a server does, until it has enough. */
Received receive(const HttpServerLimits &limits, std::string_view bytes, std::size_t size)
{
    RequestReceiver receiver(limits);
    Received received;
    std::string ahead;
    while (!bytes.empty() && !receiver.isComplete() && !receiver.fault()) {
        ahead.append(bytes.substr(0, size));
        bytes.remove_prefix(std::min(size, bytes.size()));
        const std::size_t used = receiver.put(ahead);
        BOOST_REQUIRE(used <= ahead.size());
        received.used += used;
        ahead.erase(0, used);
        received.mostHeld = std::max(received.mostHeld, ahead.size() + receiver.heldBytes());
    }
    received.fault = receiver.fault();
    if (receiver.isComplete() && !received.fault) {
        received.request = receiver.take();
    }
    return received;
}

const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::vector<std::size_t> partSizes { 1, 2, 7, 8, 64, 500, 16'384 };

} // namespace

BOOST_AUTO_TEST_SUITE(RequestReceivers)

/**
 * Guards against buffers that grow with a request that never ends, however it is split, and against refusals for the
 * wrong limit.
 */
BOOST_AUTO_TEST_CASE(endlessRequestsAreRefused)
{
    struct Row
    {
        const char *name;
        std::string bytes;
        RequestFault fault;
    };
    constexpr std::size_t many = 20'000;
    const std::vector<Row> rows {
        { "trailer fields", chunked + "1\r\nx\r\n0\r\n" + repeat("a: bcd\r\n", many), RequestFault::TrailerTooLarge },
        { "trailer value", chunked + "0\r\na: " + repeat("x", many), RequestFault::TrailerTooLarge },
        { "chunk size", chunked + repeat("0", many), RequestFault::ChunkFramingTooLarge },
        { "second chunk's size", chunked + "1\r\nx\r\n" + repeat("0", many), RequestFault::ChunkFramingTooLarge },
        { "chunk extension", chunked + "1;a=" + repeat("x", many), RequestFault::ChunkFramingTooLarge },
        { "last chunk's extension", chunked + "0;a=" + repeat("x", many), RequestFault::ChunkFramingTooLarge },
        { "extensions of many chunks", chunked + repeat("1;a=" + repeat("x", 90) + "\r\nx\r\n", many / 100),
          RequestFault::ChunkFramingTooLarge },
        { "chunks", chunked + repeat("1\r\nx\r\n", many), RequestFault::BodyTooLarge },
        { "large chunk", chunked + "10000\r\n" + repeat("x", many), RequestFault::BodyTooLarge },
        { "request line", "GET /" + repeat("x", many), RequestFault::HeaderTooLarge },
        { "header value", "GET / HTTP/1.1\r\na: " + repeat("x", many), RequestFault::HeaderTooLarge },
        { "header fields", "GET / HTTP/1.1\r\n" + repeat("abcdefghij: " + repeat("x", 50) + "\r\n", many),
          RequestFault::HeaderTooLarge },
        { "length", "POST / HTTP/1.1\r\nContent-Length: 501\r\n\r\n" + repeat("x", many), RequestFault::BodyTooLarge },
    };
    for (const Row &row : rows) {
        for (const std::size_t size : partSizes) {
            const Received received = receive(smallLimits(), row.bytes, size);
            BOOST_TEST_CONTEXT(row.name << " in parts of " << size)
            {
                BOOST_REQUIRE(received.fault.has_value());
                BOOST_TEST((*received.fault == row.fault));
                BOOST_TEST(received.mostHeld < 5000U + size);
            }
        }
    }
}

/**
 * Guards against a limit that counts only the unfinished field: an endless header was held when each part ended with a
 * field.
 */
BOOST_AUTO_TEST_CASE(headerIsBoundedThoughEachPartEndsWithAField)
{
    HttpServerLimits limits = smallLimits();
    limits.maximumFields = 100'000;
    const Received received = receive(limits, "GET / HTTP/1.1\r\n" + repeat("a: bcd\r\n", 20'000), 8);
    BOOST_REQUIRE(received.fault.has_value());
    BOOST_TEST((*received.fault == RequestFault::HeaderTooLarge));
    BOOST_TEST(received.used <= limits.maximumHeaderBytes + 8U);
}

/**
 * Guards against many tiny header fields, which take more memory than their bytes, and against a limit that is off by
 * one.
 */
BOOST_AUTO_TEST_CASE(headerFieldsAreCounted)
{
    const HttpServerLimits limits = smallLimits();
    for (const std::size_t size : partSizes) {
        const std::string start = "GET / HTTP/1.1\r\n";
        const Received received = receive(limits, start + repeat("a: b\r\n", limits.maximumFields + 1) + "\r\n", size);
        BOOST_TEST((received.fault == RequestFault::TooManyFields));
        const Received fits = receive(limits, start + repeat("a: b\r\n", limits.maximumFields) + "\r\n", size);
        BOOST_TEST(fits.request.has_value());
    }
}

/** Guards against a limit on the number of fields that leaves out trailers, or is off by one. */
BOOST_AUTO_TEST_CASE(trailerFieldsAreCounted)
{
    HttpServerLimits limits = smallLimits();
    limits.maximumTrailerBytes = 16'384;
    for (const std::size_t size : partSizes) {
        const Received received =
            receive(limits, chunked + "0\r\n" + repeat("a: b\r\n", limits.maximumFields + 1) + "\r\n", size);
        BOOST_TEST((received.fault == RequestFault::TooManyFields));
        const Received fits =
            receive(limits, chunked + "0\r\n" + repeat("a: b\r\n", limits.maximumFields) + "\r\n", size);
        BOOST_TEST(fits.request.has_value());
    }
}

/**
 * Guards against trailer fields that count as header fields, by which a route or a deadline could be given after the
 * body.
 */
BOOST_AUTO_TEST_CASE(trailerFieldsAreDropped)
{
    const Received received =
        receive(smallLimits(), chunked + "3;a=b\r\nabc\r\n0\r\nHost: other\r\nX-Deadline-Ms: 1\r\n\r\n", 5);
    BOOST_REQUIRE(received.request.has_value());
    BOOST_TEST(received.request->body == "abc");
    BOOST_TEST(received.request->headers.size() == 1U);
}

/** Guards against defaults that refuse a request of 16,384 bytes of header and 262,144 bytes of body. */
BOOST_AUTO_TEST_CASE(largestRequestsAreTaken)
{
    const HttpServerLimits limits;
    const std::string body(limits.maximumBodyBytes, 'x');
    const std::string start = "POST / HTTP/1.1\r\n";
    const auto headerOf = [&](const std::string &field, std::string_view shortField) {
        std::string header = start + field + "\r\n";
        while (header.size() + 2 * shortField.size() + 4 <= limits.maximumHeaderBytes) {
            header += shortField;
        }
        const std::size_t left = limits.maximumHeaderBytes - header.size() - 2;
        header += "p:" + std::string(left - 4, 'p') + "\r\n\r\n";
        BOOST_REQUIRE(header.size() == limits.maximumHeaderBytes);
        return header;
    };
    const std::string length = "Content-Length: " + std::to_string(body.size());
    const std::string coding = "Transfer-Encoding: chunked";
    std::string longSizes;
    for (std::size_t index = 0; index < body.size(); ++index) {
        longSizes += "00000001\r\nx\r\n";
    }
    const std::vector<std::pair<const char *, std::string>> rows {
        { "plain, shortest fields", headerOf(length, "a:\r\n") + body },
        { "plain, one long field", headerOf(length, std::string("a: ") + std::string(8000, 'x') + "\r\n") + body },
        { "one chunk", headerOf(coding, "a:\r\n") + "40000\r\n" + body + "\r\n0\r\n\r\n" },
        { "chunks of one byte", headerOf(coding, "a:\r\n") + repeat("1\r\nx\r\n", body.size()) + "0\r\n\r\n" },
        { "chunks of one byte, sizes of eight digits", headerOf(coding, "a:\r\n") + longSizes + "0\r\n\r\n" },
    };
    for (const auto &[name, bytes] : rows) {
        for (const std::size_t size : { std::size_t { 1000 }, std::size_t { 1024 }, std::size_t { 16'384 } }) {
            BOOST_TEST_CONTEXT(name << " in parts of " << size)
            {
                const Received received = receive(limits, bytes, size);
                BOOST_TEST(!received.fault.has_value());
                BOOST_REQUIRE(received.request.has_value());
                BOOST_TEST((received.request->body == body));
                BOOST_TEST(received.used == bytes.size());
            }
        }
    }
}

/** Guards against reserving memory for a body that is announced by its length and not sent. */
BOOST_AUTO_TEST_CASE(lengthAloneTakesLittleMemory)
{
    const HttpServerLimits limits;
    const Received received = receive(limits, "POST / HTTP/1.1\r\nContent-Length: 262144\r\n\r\nx", 16'384);
    BOOST_TEST(!received.fault.has_value());
    BOOST_TEST(received.mostHeld < 20'000U);
}

/** Guards against accepting bytes that aren't a request, a request with two lengths, or malformed chunks. */
BOOST_AUTO_TEST_CASE(malformedRequestsAreRefused)
{
    for (const std::string bytes :
         { "\r\n\r\nGET", "GET / HTTP/3.0\r\n", "G@T / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nno colon\r\n\r\n",
           "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" }) {
        BOOST_TEST((receive({}, bytes, 1000).fault == RequestFault::Malformed), bytes);
    }
    for (const std::string rest : { "x\r\n", "1\r\nxxxxx\r\n", "1;=\r\nx\r\n", "ffffffffffffffffff\r\n" }) {
        BOOST_TEST((receive({}, chunked + rest, 1000).fault == RequestFault::Malformed), rest);
    }
}

/**
 * Guards against unbounded memory, and a result that depends on how the input is split, with random bytes and changed
 * requests.
 */
BOOST_AUTO_TEST_CASE(randomInputIsBounded)
{
    const std::vector<std::string> requests {
        "GET /a?b=c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789",
        chunked + "3;a=\"b\"\r\nabc\r\nA\r\n0123456789\r\n0;c\r\nd: e\r\n f\r\n\r\n",
        chunked + repeat("1\r\nx\r\n", 20) + "0\r\n" + repeat("a: b\r\n", 10) + "\r\n",
    };
    const std::string alphabet = std::string("\r\n\r\n:; \t=0123456789abcdefxX,\"\\") + '\0' + '\x80' + '\xff';
    for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
        std::mt19937 random(seed);
        const auto below = [&random](std::size_t bound) {
            return static_cast<std::size_t>(random() % bound);
        };
        std::string bytes = requests[below(requests.size())];
        if (below(8) == 0) {
            bytes.clear();
        }
        for (std::size_t change = below(6); change > 0 || bytes.empty(); change -= change > 0 ? 1 : 0) {
            const std::size_t place = below(bytes.size() + 1);
            const std::string inserted = repeat(std::string(1, alphabet[below(alphabet.size())]), 1 + below(400));
            switch (below(4)) {
            case 0:
                bytes.insert(place, inserted);
                break;
            case 1:
                bytes.erase(place, 1 + below(5));
                break;
            case 2:
                bytes.insert(place, bytes.substr(below(bytes.size() + 1), below(400)));
                break;
            default:
                bytes.replace(place, 1, 1, static_cast<char>(random()));
            }
        }
        BOOST_TEST_CONTEXT("seed " << seed << " " << bytes)
        {
            const Received whole = receive(smallLimits(), bytes, bytes.size());
            const Received split = receive(smallLimits(), bytes, 1 + below(20));
            BOOST_TEST(split.mostHeld < 10'000U);
            // Unfinished parts are measured with their blanks, so that a size near a limit may depend on the parts.
            const auto isOversized = [](const Received &received) {
                return received.fault && *received.fault != RequestFault::Malformed;
            };
            BOOST_TEST(
                (isOversized(whole) || isOversized(split) || whole.request.has_value() == split.request.has_value()));
            if (whole.request && split.request) {
                BOOST_TEST(whole.request->body == split.request->body);
                BOOST_TEST(whole.used == split.used);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
