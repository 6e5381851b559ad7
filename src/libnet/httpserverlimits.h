#pragma once

#include "units.h"

#include <cstddef>
#include <cstdint>

namespace currantring::net {

/** Bounds of an HttpServer; all may change while it runs. Larger requests are refused, or their connection is closed.
 */
struct HttpServerLimits
{
    std::size_t maximumConnections = 1000;
    /** Request line and header fields. */
    std::uint32_t maximumHeaderBytes = 16'384;
    /**
     * Header fields, and trailer fields, of one request. Each is held with some 100 bytes beside its text. The shortest
     * has 4 bytes, so that a header within maximumHeaderBytes doesn't reach the default.
     */
    std::size_t maximumFields = 4096;
    std::size_t maximumBodyBytes = 262'144;
    /** The size of one chunk with its extensions. */
    std::size_t maximumChunkLineBytes = 16'384;
    /**
     * Sizes, extensions and line ends of all chunks together. They aren't held, but cost processor time. The default
     * allows 16 of these bytes for each byte of a body of the default size in chunks of one byte.
     */
    std::size_t maximumFramingBytes = 4'194'304;
    /** All fields after the last chunk. */
    std::size_t maximumTrailerBytes = 16'384;
    /** Bytes of further requests that are taken in ahead of a response; the rest waits in the system's buffer. */
    std::size_t maximumAheadBytes = 16'384;
    /** Memory for all connections together; the connections that hold the most are closed beyond it. */
    std::size_t maximumHeldBytes = 33'554'432;
    /** From the first byte of a request, or from the connection's start, until the whole request is there. */
    Milliseconds requestTimeout { 3000 };
    /** A connection without a request under way is closed after this time. */
    Milliseconds idleTimeout { 15'000 };
    /** A response that the other end doesn't take is given up after this time. */
    Milliseconds writeTimeout { 5000 };
};

} // namespace currantring::net
