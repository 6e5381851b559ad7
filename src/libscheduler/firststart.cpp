#include "firststart.h"

#include <set>

namespace currantring {

std::optional<std::vector<std::uint64_t>> firstStartVotes(std::vector<ShardClaim> ownClaims,
                                                          const std::vector<PeerView> &peers, std::uint32_t shardCount)
{
    std::vector<ShardClaim> claims = std::move(ownClaims);
    std::vector<std::uint64_t> votes;
    for (const PeerView &peer : peers) {
        const Heartbeat &heartbeat = peer.heartbeat;
        claims.insert(claims.end(), heartbeat.claims.begin(), heartbeat.claims.end());
        if (!heartbeat.claims.empty()) {
            votes.push_back(heartbeat.startVote);
        }
    }
    std::set<ShardId> written;
    for (const ShardClaim &claim : claims) {
        if (claim.epoch != Epoch(1)) {
            return std::nullopt;
        }
        written.insert(claim.shard);
    }
    const bool isWhole = shardCount > 0 && written.size() == shardCount;
    return isWhole ? std::optional(std::move(votes)) : std::nullopt;
}

} // namespace currantring
