#pragma once

#include "callpool.h"
#include "context.h"
#include "metrics.h"

#include <functional>

namespace currantring {

/** The blocking calls to the platform; all may be called from many threads at once. */
struct OutsideCalls
{
    std::function<StoreResult(const StoreRequest &)> store;
    std::function<WorkerResult(const Address &, const WorkerRequest &)> worker;
    std::function<EndpointResult(const EndpointRequest &)> endpoint;
};

/** The transport between the hosts; all may be called from any thread. */
struct PeerLinks
{
    std::function<void(const HostId &, const Address &)> connect;
    std::function<void(const HostId &)> disconnect;
    /** False when the message surely isn't sent. */
    std::function<bool(const HostId &, std::string)> send;
    /** Sets what the transport counts. */
    std::function<void(Metrics &)> gauges;
};

/** One bounded pool for each kind of outside call, so that none waits behind another kind. */
struct CallPools
{
    CallPool store;
    /** Watches wait for changes and so hold their threads. */
    CallPool watch;
    CallPool worker;
    CallPool endpoint;
};

} // namespace currantring
