#pragma once

#include "virtualcluster.h"

namespace currantring {

/** One process: its node, its clocks, and what waits for it while it is paused. */
struct VirtualCluster::Host
{
    Host(HostId hostId, const ChartSet &charts, std::uint64_t seed, Milliseconds clockOffset)
        : id(std::move(hostId))
        , offset(clockOffset)
        , context(seed)
        , node({ id, Address("10.0.0.1:" + id.value()), DataCentreId("dc1") }, charts, context)
    {
    }

    HostId id;
    /** Difference of this host's monotonic clock to the virtual one. */
    Milliseconds offset;
    Milliseconds wallOffset {};
    Context context;
    Node node;
    bool dead = false;
    bool paused = false;
    bool cutFromStore = false;
    std::vector<std::function<void(Host &)>> waiting;
};

} // namespace currantring
