#pragma once

#include "virtualsite.h"

namespace currantring {

inline const std::string virtualConfigurationKey = "site/configuration";
inline const std::string virtualWorkerPrefix = "site/workers/";
inline const std::string virtualEvacuationPrefix = "site/evacuations/";

/** A host and its current process. */
struct VirtualSite::Host
{
    HostId id;
    Address address;
    Millicores processors;
    Mebibytes memory;
    std::uint64_t process = 0;
    bool isAlive = false;
    bool isPaused = false;
    /** Interval at which a throttled process runs; zero when it isn't throttled. */
    Milliseconds throttlePeriod {};
    Milliseconds wallOffset {};

    [[nodiscard]] bool isResponsive() const
    {
        return isAlive && !isPaused && throttlePeriod.count() == 0;
    }
    /** Whether the process runs and the store answers its calls; a store without replies to watches does. */
    [[nodiscard]] bool isInTouch() const
    {
        return isResponsive() && (storeFault == StoreFault::None || storeFault == StoreFault::WatchesSilent);
    }
    StoreFault storeFault = StoreFault::None;
    /** Calls that a holding store will carry out. */
    std::vector<std::function<void()>> heldCalls;
    std::optional<std::pair<PlacementFault, std::function<void(const WorkerId &)>>> placementFault;
    TimePoint startedAt {};
    /** When a disturbance of the host last ended. */
    TimePoint disturbedAt {};
    std::unique_ptr<JobContext> context;
    std::unique_ptr<JobNode> node;
    std::set<HostId> links;
    std::vector<std::function<void()>> inbox;
};

/** A worker and the state of its connections. */
struct VirtualSite::WorkerNode
{
    std::unique_ptr<VirtualWorker> worker;
    bool isDown = false;
    bool isSilent = false;
    /** Number of the connection from each host; incremented when the connection is lost. */
    std::map<HostId, std::uint64_t> channels;
    /** The connection for orders from each process of a host. */
    std::map<std::pair<HostId, std::uint64_t>, OrderChannel> orderChannels;
};

} // namespace currantring
