#pragma once

#include "httpconnectionpool.h"
#include "platformconcepts.h"

namespace currantring {

/**
 * The agents of workers over HTTP, as docs/platform-protocol.md says.
 *
 * Thread safety: all methods may be called from any thread.
 */
class HttpWorkerClient
{
public:
    explicit HttpWorkerClient(HttpClientOptions options = {});

    /** Blocks for the options' requestTimeout at most. */
    WorkerResult operator()(const Address &worker, const WorkerRequest &request);
    /** Connections closed because an answer didn't come in time. */
    [[nodiscard]] std::uint64_t connectionsReplaced() const;

private:
    HttpConnectionPool m_pool;
};

static_assert(WorkerClient<HttpWorkerClient>);

} // namespace currantring
