#include "node_p.h"

#include <utility>

// How a node wires its parts together and serves requests; its life cycle stands in node.cpp.

namespace currantring {

void Node::Private::updateWorkers()
{
    if (!shardCount) {
        return;
    }
    shards.setWorkers(directory.workers(), directory.isKnown());
    for (const ShardScheduler *shard : shards.active()) {
        for (const auto &[id, view] : shard->workers()) {
            if (view.listed) {
                requests.addEndpoint(view.info, shard->fence(), false);
                requests.updateEndpoint(view.info);
            } else {
                requests.removeEndpoint(id);
            }
        }
    }
}

void Node::Private::updatePeerRooms()
{
    std::vector<PeerRoom> rooms;
    for (const PeerView &peer : membership.livePeers()) {
        if (!peer.heartbeat.leaving) {
            rooms.push_back(PeerRoom { peer.heartbeat.host, peer.heartbeat.rooms });
        }
    }
    requests.setPeerRooms(std::move(rooms));
    requests.followFirstStart(firstStartVotes(shards.claims(), membership.livePeers(), shardCount.value_or(0)));
}

void Node::Private::addEndpoints(const ShardScheduler &shard)
{
    // The first writer of a shard has no predecessor whose requests could still be on the endpoints.
    const bool isFirstWriter = shard.log().epoch() == Epoch(1);
    for (const auto &[id, view] : shard.workers()) {
        if (view.listed) {
            requests.addEndpoint(view.info, shard.fence(), isFirstWriter);
        }
    }
    membership.announce();
}

void Node::Private::removeEndpoints(const ShardScheduler &shard)
{
    for (const auto &[id, view] : shard.workers()) {
        requests.removeEndpoint(id);
    }
    membership.announce();
}

void Node::Private::sendMove(const TaskMove &move)
{
    if (ShardScheduler *target = shards.find(move.to)) {
        target->desk().adopt(move, lifetime.guard([this, move](bool committed) {
            if (committed) {
                handleMoveAck(TaskMoveAck { move.from, move.to, move.task, move.lastEntry });
            }
        }));
        return;
    }
    if (const std::optional<HostId> writer = membership.claimant(move.to); writer && *writer != options.host) {
        context.sendPeer(*writer, move);
    }
}

void Node::Private::handleMove(const HostId &from, const TaskMove &move)
{
    ShardScheduler *target = shards.find(move.to);
    if (target == nullptr) {
        return; // The sender repeats it to whoever writes the shard then.
    }
    target->desk().adopt(move, lifetime.guard([this, from, move](bool committed) {
        if (committed) {
            context.sendPeer(from, TaskMoveAck { move.from, move.to, move.task, move.lastEntry });
        }
    }));
}

void Node::Private::handleMoveAck(const TaskMoveAck &ack)
{
    ShardScheduler *shard = shards.find(ack.from);
    const TaskState *task = shard == nullptr ? nullptr : shard->log().ledger().find(ack.task);
    if (task != nullptr && task->state == "moving" && task->lastEntry() == ack.lastEntry) {
        shard->confirmMove(ack.task);
    }
}

void Node::Private::handleForward(const ForwardRequest &forward)
{
    const auto reply =
        lifetime.guard([this, origin = forward.origin, token = forward.token](const CallerReply &answer) {
            context.sendPeer(origin, ForwardReply { token, answer });
        });
    if (const auto *call = std::get_if<CallService>(&forward.request)) {
        requests.handleForwarded(*call, reply);
        return;
    }
    serve(forward.request, forward.hops, reply);
}

void Node::Private::serve(const CallerRequest &request, std::uint32_t hops, std::function<void(CallerReply)> handler)
{
    if (std::holds_alternative<ReadStatus>(request)) {
        handler(CallerReply { ReplyCode::Ok, describeStatus(status()).dump() });
    } else if (std::holds_alternative<ReadConfiguration>(request)) {
        handler(describeConfiguration(keeper.record()));
    } else if (std::holds_alternative<ReadWorkers>(request)) {
        handler(CallerReply { ReplyCode::Ok, describeWorkers(directory.workers(), shards.active()).dump() });
    } else if (const auto *apply = std::get_if<ApplyConfiguration>(&request)) {
        keeper.apply(*apply, std::move(handler));
    } else if (const auto *call = std::get_if<CallService>(&request)) {
        if (state == "serving" || state == "draining") {
            requests.handleCall(*call, std::move(handler));
        } else {
            handler(makeReply(ReplyCode::NotRun, "not-serving"));
        }
    } else if (const auto *submitted = std::get_if<SubmitTask>(&request)) {
        submit(*submitted, hops, std::move(handler));
    } else if (shardCount) {
        tasks.handle(request, hops, std::move(handler));
    } else {
        handler(makeReply(ReplyCode::NotYetKnown, "not-serving"));
    }
}

void Node::Private::submit(const SubmitTask &request, std::uint32_t hops, std::function<void(CallerReply)> handler)
{
    if (!shardCount) {
        handler(makeReply(ReplyCode::NotYetKnown, "not-serving"));
        return;
    }
    if (configuration.owner(request.owner) == nullptr) {
        handler(makeReply(ReplyCode::Invalid, "unknown-owner"));
        return;
    }
    tasks.handle(request, hops, std::move(handler));
}

NodeStatus Node::Private::status() const
{
    NodeStatus result;
    result.host = options.host;
    result.dataCentre = options.dataCentre;
    result.state = state;
    result.version = keeper.record() ? keeper.record()->version : ConfigurationVersion(0);
    result.storeReachable = membership.storeReachable();
    result.peers = membership.livePeers();
    for (std::uint32_t index = 0; index < shards.shardCount(); ++index) {
        result.writers.emplace_back(ShardId(index), membership.claimant(ShardId(index)));
    }
    result.ownClaims = shards.claims();
    result.requestsInFlight = requests.inFlight();
    return result;
}

} // namespace currantring
