#pragma once

#include "storerequest.h"
#include "workerrequest.h"

#include <concepts>

namespace currantring {

/**
 * Reaches the key-value service and the host list: a callable that blocks until the result or its deadline.
 *
 * Every model may be called from any thread, never throws, and never repeats a request by itself.
 */
template<typename Client>
concept StoreClient = requires(Client &client, const StoreRequest &request)
{
    {
        client(request)
        } -> std::same_as<StoreResult>;
};

/** Commands workers; as StoreClient otherwise. */
template<typename Client>
concept WorkerClient = requires(Client &client, const Address &address, const WorkerRequest &request)
{
    {
        client(address, request)
        } -> std::same_as<WorkerResult>;
};

/** Sends requests to workers' endpoints; as StoreClient otherwise. */
template<typename Client>
concept EndpointClient = requires(Client &client, const EndpointRequest &request)
{
    {
        client(request)
        } -> std::same_as<EndpointResult>;
};

} // namespace currantring
