#include "statusreport.h"

namespace currantring {

nlohmann::json describeStatus(const NodeStatus &status)
{
    nlohmann::json peers = nlohmann::json::array();
    for (const PeerView &peer : status.peers) {
        peers.push_back({ { "host", peer.heartbeat.host },
                          { "dataCentre", peer.heartbeat.dataCentre },
                          { "version", peer.heartbeat.version },
                          { "leaving", peer.heartbeat.leaving },
                          { "storeReachable", peer.heartbeat.storeReachable } });
    }
    nlohmann::json shards = nlohmann::json::array();
    for (const auto &[shard, writer] : status.writers) {
        shards.push_back({ { "shard", shard }, { "writer", writer ? writer->value() : "" } });
    }
    nlohmann::json own = nlohmann::json::array();
    for (const ShardClaim &claim : status.ownClaims) {
        own.push_back({ { "shard", claim.shard }, { "epoch", claim.epoch }, { "largestRoom", claim.largestRoom } });
    }
    return { { "host", status.host },
             { "dataCentre", status.dataCentre },
             { "state", status.state },
             { "version", status.version },
             { "storeReachable", status.storeReachable },
             { "requestsInFlight", status.requestsInFlight },
             { "peers", std::move(peers) },
             { "shards", std::move(shards) },
             { "ownShards", std::move(own) } };
}

CallerReply describeConfiguration(const std::optional<ConfigurationRecord> &record)
{
    if (!record) {
        const nlohmann::json json = { { "outcome", "not-yet-known" }, { "reason", "no-configuration" } };
        return CallerReply { ReplyCode::NotYetKnown, json.dump() };
    }
    return CallerReply { ReplyCode::Ok, nlohmann::json(*record).dump() };
}

nlohmann::json describeWorkers(const std::map<WorkerId, WorkerInfo> &workers,
                               const std::vector<ShardScheduler *> &shards)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[id, info] : workers) {
        nlohmann::json worker = info;
        for (const ShardScheduler *shard : shards) {
            const auto found = shard->workers().find(id);
            if (found != shard->workers().end()) {
                worker["shard"] = shard->log().shard();
                worker["reserved"] = shard->log().ledger().reserved(id);
                worker["answers"] = found->second.knowsEpoch;
            }
        }
        list.push_back(std::move(worker));
    }
    return { { "workers", std::move(list) } };
}

} // namespace currantring
