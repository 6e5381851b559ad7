#pragma once

#include "node.h"

#include "configurationkeeper.h"
#include "firststart.h"
#include "forwardtable.h"
#include "lifetime.h"
#include "membership.h"
#include "requestrouter.h"
#include "shardset.h"
#include "statusreport.h"
#include "taskrouter.h"
#include "workerdirectory.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace currantring {

/** The parts of a node and the wiring between them. */
struct Node::Private
{
    Private(NodeOptions nodeOptions, ChartSet chartSet, Context &nodeContext);

    // Life cycle.
    void send(std::string_view event);
    void applyConfiguration(const Configuration &newConfiguration);
    void readShardCount();
    void handleShardCount(const StoreResult &result);
    void setShardCount(std::uint32_t count);
    void beat();
    void join();
    void checkDrained();

    // Wiring between the parts.
    [[nodiscard]] Heartbeat makeHeartbeat() const;
    void updateWorkers();
    void updatePeerRooms();
    void addEndpoints(const ShardScheduler &shard);
    void removeEndpoints(const ShardScheduler &shard);
    void sendMove(const TaskMove &move);
    void handleMove(const HostId &from, const TaskMove &move);
    void handleMoveAck(const TaskMoveAck &ack);
    void handleForward(const ForwardRequest &forward);

    // Callers.
    void serve(const CallerRequest &request, std::uint32_t hops, std::function<void(CallerReply)> handler);
    void submit(const SubmitTask &request, std::uint32_t hops, std::function<void(CallerReply)> handler);
    [[nodiscard]] NodeStatus status() const;

    NodeOptions options;
    ChartSet charts;
    Context &context;
    std::string state;
    Configuration configuration;
    std::optional<std::uint32_t> shardCount;
    std::set<CallerToken> callers;
    Membership membership;
    ConfigurationKeeper keeper;
    WorkerDirectory directory;
    ForwardTable forwards;
    RequestRouter requests;
    ShardSet shards;
    TaskRouter tasks;
    /** Peers have heard of the planned stop by then. */
    TimePoint releaseFrom {};
    bool isReleasing = false;
    bool shardsReleased = false;
    bool left = false;
    Lifetime lifetime;
};

} // namespace currantring
