#pragma once

#include "httpconnectionpool.h"
#include "platformconcepts.h"

namespace currantring {

/**
 * The key-value service and the host list over HTTP, as docs/platform-protocol.md says.
 *
 * Thread safety: all methods may be called from any thread.
 */
class HttpStoreClient
{
public:
    explicit HttpStoreClient(Address service, HttpClientOptions options = {});

    /** Blocks for the options' requestTimeout at most; a StoreWatch for its own wait on top. */
    StoreResult operator()(const StoreRequest &request);
    /** Connections closed because an answer didn't come in time. */
    [[nodiscard]] std::uint64_t connectionsReplaced() const;

private:
    const Address m_service;
    HttpConnectionPool m_pool;
};

static_assert(StoreClient<HttpStoreClient>);

} // namespace currantring
