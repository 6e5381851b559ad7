#pragma once

#include "configuration.h"
#include "context.h"

#include <memory>
#include <optional>
#include <vector>

namespace currantring {

/** A peer as last heard. */
struct PeerView
{
    Heartbeat heartbeat;
    TimePoint heardAt;
};

/**
 * Knows the other hosts: finds them through leases in the key-value service, exchanges heartbeats, and drops the
 * silent. An outage of the store doesn't dissolve the mesh.
 *
 * Thread safety: one thread at a time.
 */
class Membership
{
public:
    /** Fills the digest of this host's next heartbeat. */
    using HeartbeatSource = std::function<Heartbeat()>;

    /** Precondition: @p context outlives the object. */
    Membership(HostId self, Address peerAddress, Context &context, HeartbeatSource source);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    void setConfiguration(const Configuration &configuration);
    /** Registers this host under a lease and starts sending heartbeats. */
    void start();
    /** Withdraws the registration and sends a last heartbeat; no further ones follow. */
    void leave();
    /** Sends a heartbeat to all peers now, for news that can't wait. */
    void announce();
    /** Takes in a peer's heartbeat; an unknown sender becomes a peer. */
    void handleHeartbeat(const Heartbeat &heartbeat);

    /** Peers heard within the silence bound, by id. */
    [[nodiscard]] std::vector<PeerView> livePeers() const;
    [[nodiscard]] bool isLive(const HostId &host) const;
    /** Whether the last registration or renewal reached the store. */
    [[nodiscard]] bool storeReachable() const;
    /** Whether this host has read the registered hosts at least once and waited one heartbeat round. */
    [[nodiscard]] bool isSettled() const;
    /** Host that should write @p shard among the live hosts that aren't leaving; by rendezvous hashing. */
    [[nodiscard]] std::optional<HostId> preferredWriter(ShardId shard) const;
    /** Live host that says it writes @p shard, with the highest epoch; may be this host, by what it last announced. */
    [[nodiscard]] std::optional<HostId> claimant(ShardId shard) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace currantring
