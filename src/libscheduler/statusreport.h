#pragma once

#include "callerrequest.h"
#include "membership.h"
#include "shardscheduler.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace currantring {

/** What an operator sees of one host. */
struct NodeStatus
{
    HostId host;
    DataCentreId dataCentre;
    std::string state;
    ConfigurationVersion version;
    bool storeReachable = false;
    std::vector<PeerView> peers;
    std::vector<std::pair<ShardId, std::optional<HostId>>> writers;
    std::vector<ShardClaim> ownClaims;
    std::size_t requestsInFlight = 0;
};

/** Thread safety of all: reentrant. */
nlohmann::json describeStatus(const NodeStatus &status);
/** NotYetKnown when there is no configuration. */
CallerReply describeConfiguration(const std::optional<ConfigurationRecord> &record);
/** All listed workers; those of @p shards with what is free on them. */
nlohmann::json describeWorkers(const std::map<WorkerId, WorkerInfo> &workers,
                               const std::vector<ShardScheduler *> &shards);

} // namespace currantring
