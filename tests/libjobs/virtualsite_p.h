#pragma once

#include "virtualsite.h"

namespace currantring {

inline const std::string virtualConfigurationKey = "site/configuration";
inline const std::string virtualWorkerPrefix = "site/workers/";

/** One host over all its processes. */
struct VirtualSite::Host
{
    HostId id;
    Address address;
    Millicores processors;
    std::uint64_t process = 0;
    bool isAlive = false;
    bool isPaused = false;
    /** Not zero when the process is short of processor time. */
    Milliseconds round {};
    Milliseconds wallOffset {};

    [[nodiscard]] bool isInTime() const
    {
        return isAlive && !isPaused && round.count() == 0;
    }
    StoreTrouble storeTrouble = StoreTrouble::None;
    TimePoint startedAt {};
    std::unique_ptr<JobContext> context;
    std::unique_ptr<JobNode> node;
    std::set<HostId> links;
    std::vector<std::function<void()>> inbox;
};

/** One worker and how it can be reached. */
struct VirtualSite::Place
{
    std::unique_ptr<VirtualWorker> worker;
    bool isDown = false;
    bool isSilent = false;
    /** By host: changes when a connection is lost. */
    std::map<HostId, std::uint64_t> channels;
};

} // namespace currantring
