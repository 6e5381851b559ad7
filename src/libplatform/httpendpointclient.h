#pragma once

#include "httpconnectionpool.h"
#include "platformconcepts.h"

namespace currantring {

/**
 * The endpoints of workers over HTTP, as docs/platform-protocol.md says.
 *
 * Thread safety: all methods may be called from any thread.
 */
class HttpEndpointClient
{
public:
    explicit HttpEndpointClient(HttpClientOptions options = {});

    /**
     * Blocks for the request's timeout at most. The answer's request id is what the endpoint says; the caller compares
     * it. Precondition: the request's id and service hold no control characters.
     */
    EndpointResult operator()(const EndpointRequest &request);
    /** Connections closed because an answer didn't come in time. */
    [[nodiscard]] std::uint64_t connectionsReplaced() const;

private:
    HttpConnectionPool m_pool;
};

static_assert(EndpointClient<HttpEndpointClient>);

} // namespace currantring
