#pragma once

#include "jobmessage.h"
#include "units.h"

#include <map>
#include <optional>
#include <vector>

namespace currantring {

/**
 * The other entry hosts, as a writer knows them from the store and from their heartbeats.
 *
 * Thread safety: one thread at a time.
 */
class EntryHosts
{
public:
    /** A host without a heartbeat for this time is removed; see LeaseSuccession::wasHeardBy(). */
    static constexpr Milliseconds removalDelay { 10'000 };

    /** Adds a host that has sent no heartbeat yet; false when it is known. */
    bool add(const HostId &host, const Address &address);
    /** Records a heartbeat; true when the host's address is new or has changed. */
    bool recordHeartbeat(const HostId &host, const HostHeartbeat &beat, TimePoint now);
    /** Whether to send the configuration to a host that lags behind now; a text on its way is awaited. */
    bool beginOffer(const HostId &host, TimePoint now);
    /** Whether the host has sent a heartbeat. */
    [[nodiscard]] bool hasHeartbeat(const HostId &host) const;
    /** Removes the hosts that have long been silent, and returns them. */
    std::vector<HostId> removeSilent(TimePoint now);
    /** Removes all hosts, and returns them. */
    std::vector<HostId> removeAll();

    [[nodiscard]] std::vector<HostId> hosts() const;
    /** The last heartbeat of the host, if it is reachable. */
    [[nodiscard]] std::optional<HeardHeartbeat> heardFrom(const HostId &host, TimePoint now) const;
    /**
     * When the writer with @p token sent the last heartbeat that each host that it hears has heard, as they say;
     * nullopt when it hears none.
     */
    [[nodiscard]] std::optional<HeartbeatTime> heardByAll(WriterToken token) const;
    /** Whether at least half of the hosts that have sent heartbeats still do; with no heartbeat, whether none is known.
     */
    [[nodiscard]] bool reachesMost(TimePoint now) const;
    /** Processor capacity of the largest host that sends heartbeats and isn't shutting down. */
    [[nodiscard]] Millicores largestProcessors(TimePoint now) const;
    /** The least memory that one of the hosts says it has, as it may become the writer; nullopt when none does. */
    [[nodiscard]] std::optional<Mebibytes> leastMemory() const;
    /** The host that can best take the shard over now; nullopt when none can. */
    [[nodiscard]] std::optional<HostId> successor(TimePoint now) const;
    /** The successor, if it has considerably more processors than @p processors and has been reachable for some time.
     */
    [[nodiscard]] std::optional<HostId> largerSuccessor(Millicores processors, TimePoint now) const;

private:
    struct EntryHost
    {
        Address address;
        std::optional<TimePoint> lastHeartbeatAt;
        /** Beginning of the heartbeats without a gap longer than the host timeout. */
        TimePoint reachableSince {};
        HostHeartbeat beat;
        /** When the configuration was last sent to the host. */
        std::optional<TimePoint> offeredAt;
    };

    [[nodiscard]] static bool isReachable(const EntryHost &host, TimePoint now);
    [[nodiscard]] static bool canSucceed(const EntryHost &host, TimePoint now);

    std::map<HostId, EntryHost> m_hosts;
};

} // namespace currantring
