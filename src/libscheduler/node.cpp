#include "node.h"

#include "configurationkeeper.h"
#include "forwardtable.h"
#include "lifetime.h"
#include "membership.h"
#include "requestrouter.h"
#include "shardset.h"
#include "statusreport.h"
#include "taskrouter.h"
#include "workerdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace currantring {

namespace {

/** Key that holds the number of shards since the first start of the system. */
constexpr std::string_view shardCountKey = "ledger/shard-count";
constexpr Milliseconds storeRetry(500);
/** Heartbeat intervals after which the peers act on what they were told. */
constexpr int peersHearWithin = 3;
/** Interval at which a stopping host looks whether anything is left. */
constexpr Milliseconds drainInterval(50);
/** Time beyond a request's deadline in which a peer's reply may still come. */
constexpr Milliseconds forwardMargin(250);
constexpr Milliseconds defaultServiceTimeout(2000);

} // namespace

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

Node::Private::Private(NodeOptions nodeOptions, ChartSet chartSet, Context &nodeContext)
    : options(std::move(nodeOptions))
    , charts(std::move(chartSet))
    , context(nodeContext)
    , state(charts.daemon.initial())
    , membership(options.host, options.peerAddress, context, [this] { return makeHeartbeat(); })
    , keeper(context,
             [this](const Configuration &newConfiguration, const ConfigurationRecord &) {
                 applyConfiguration(newConfiguration);
             })
    , directory(context, [this] { updateWorkers(); })
    , forwards(options.host, context)
    , requests(context, charts.endpoint, options.host,
               [this](const HostId &peer, const CallService &request, const RequestRouter::ReplyHandler &handler) {
                   const Milliseconds timeout = request.timeout.value_or(defaultServiceTimeout) + forwardMargin;
                   forwards.forward(peer, request, 1, timeout, [handler](const std::optional<CallerReply> &reply) {
                       handler(reply.value_or(makeReply(ReplyCode::OutcomeUnknown, "connection-lost")));
                   });
               })
    , shards(options.host, charts.task, context, membership,
             ShardSet::Handlers { [this](ShardScheduler &shard) { addEndpoints(shard); },
                                  [this](ShardScheduler &shard) { removeEndpoints(shard); },
                                  [this](const WorkerReport &report) { requests.handleReport(report); },
                                  [this](const TaskMove &move) {
                                      sendMove(move);
                                  } })
    , tasks(options.host, context, membership, shards, forwards)
{
}

void Node::Private::send(std::string_view event)
{
    const std::optional<std::string> next = charts.daemon.next(state, event);
    if (!next) {
        return;
    }
    context.log(LogLevel::Info, "daemon_state",
                { { "host", options.host.value() }, { "from", state }, { "to", *next } });
    state = *next;
}

Heartbeat Node::Private::makeHeartbeat() const
{
    Heartbeat heartbeat;
    heartbeat.host = options.host;
    heartbeat.peerAddress = options.peerAddress;
    heartbeat.dataCentre = options.dataCentre;
    heartbeat.version = keeper.record() ? keeper.record()->version : ConfigurationVersion(0);
    heartbeat.shardCount = shardCount.value_or(0);
    heartbeat.leaving = state == "draining" || state == "stopped";
    heartbeat.storeReachable = membership.storeReachable();
    heartbeat.claims = shards.claims();
    heartbeat.rooms = requests.rooms();
    return heartbeat;
}

void Node::Private::applyConfiguration(const Configuration &newConfiguration)
{
    configuration = newConfiguration;
    membership.setConfiguration(configuration);
    directory.setConfiguration(configuration);
    requests.setConfiguration(configuration);
    shards.setConfiguration(configuration);
    if (!shardCount) {
        readShardCount();
    }
}

void Node::Private::readShardCount()
{
    context.callStore(StoreGet { std::string(shardCountKey) },
                      lifetime.guard([this](const StoreResult &result) { handleShardCount(result); }));
}

void Node::Private::handleShardCount(const StoreResult &result)
{
    if (shardCount) {
        return;
    }
    if (result && !result->entries.empty()) {
        const nlohmann::json count = nlohmann::json::parse(result->entries.front().value, nullptr, false);
        if (count.is_number_unsigned()) {
            setShardCount(count.get<std::uint32_t>());
        } else {
            context.log(LogLevel::Error, "shard_count_unreadable", { { "value", result->entries.front().value } });
        }
        return;
    }
    if (result) {
        const std::string count = std::to_string(configuration.value(Setting::ShardCount));
        context.callStore(StorePut { std::string(shardCountKey), count, StoreVersion(0), std::nullopt },
                          lifetime.guard([this](const StoreResult &) { readShardCount(); }));
        return;
    }
    context.schedule(storeRetry, lifetime.guard([this] { readShardCount(); }));
}

void Node::Private::setShardCount(std::uint32_t count)
{
    if (shardCount || count == 0) {
        return;
    }
    shardCount = count;
    shards.setShardCount(count);
    updateWorkers();
    send("configured");
}

void Node::Private::beat()
{
    for (const PeerView &peer : membership.livePeers()) {
        keeper.noteVersion(peer.heartbeat.host, peer.heartbeat.version);
        if (keeper.record()) {
            setShardCount(peer.heartbeat.shardCount); // A host that starts with the store down learns it here.
        }
    }
    updatePeerRooms();
    if (state == "joining") {
        join();
    }
    if (state == "serving" || isReleasing) {
        shards.balance();
    }
    context.schedule(configuration.duration(Setting::HeartbeatInterval), lifetime.guard([this] { beat(); }));
}

void Node::Private::join()
{
    const std::vector<PeerView> peers = membership.livePeers();
    const bool isBehind = std::ranges::any_of(
        peers, [&](const PeerView &peer) { return peer.heartbeat.version > keeper.record()->version; });
    // A host that knows an older configuration than some peer would serve by rules that no longer hold.
    if (membership.isSettled() && !isBehind) {
        send("settled");
        membership.announce();
    }
}

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

void Node::Private::checkDrained()
{
    // The endpoints go with the shards, so the requests in flight come first, with those that peers still pass on.
    if (!isReleasing && context.now() >= releaseFrom && requests.inFlight() == 0) {
        isReleasing = true;
        shards.releaseAll(lifetime.guard([this] { shardsReleased = true; }));
    }
    const bool isIdle = callers.empty() && requests.inFlight() == 0 && forwards.size() == 0;
    if (!isIdle || !shardsReleased) {
        context.schedule(drainInterval, lifetime.guard([this] { checkDrained(); }));
        return;
    }
    if (!left) {
        left = true;
        send("drained");
        membership.leave();
        keeper.stop();
        directory.stop();
        // One more turn lets the last messages out.
        context.schedule(drainInterval, lifetime.guard([this] { context.exit(); }));
    }
}

Node::Node(NodeOptions options, ChartSet charts, Context &context)
    : m_d(std::make_unique<Private>(std::move(options), std::move(charts), context))
{
}

Node::~Node() = default;

void Node::start()
{
    m_d->keeper.start();
    m_d->membership.start();
    m_d->directory.start();
    m_d->beat();
}

void Node::stop()
{
    if (m_d->state == "draining" || m_d->state == "stopped") {
        return;
    }
    m_d->send("stop");
    m_d->requests.beginDrain();
    m_d->membership.announce();
    m_d->releaseFrom = m_d->context.now() + peersHearWithin * m_d->configuration.duration(Setting::HeartbeatInterval);
    m_d->checkDrained();
}

void Node::handleCaller(CallerToken caller, const CallerRequest &request)
{
    m_d->callers.insert(caller);
    m_d->serve(request, 0, m_d->lifetime.guard([this, caller](CallerReply reply) {
        if (m_d->callers.erase(caller) > 0) {
            m_d->context.replyCaller(caller, std::move(reply));
        }
    }));
}

void Node::forgetCaller(CallerToken caller)
{
    m_d->callers.erase(caller);
}

void Node::handlePeer(const HostId &from, const PeerMessage &message)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        m_d->membership.handleHeartbeat(*heartbeat);
        m_d->keeper.noteVersion(heartbeat->host, heartbeat->version);
    } else if (const auto *forward = std::get_if<ForwardRequest>(&message)) {
        m_d->handleForward(*forward);
    } else if (const auto *reply = std::get_if<ForwardReply>(&message)) {
        m_d->forwards.handleReply(*reply);
    } else if (const auto *handOver = std::get_if<HandOver>(&message)) {
        m_d->shards.handleHandOver(*handOver);
    } else if (std::holds_alternative<ConfigurationPull>(message)) {
        m_d->keeper.handlePull(from);
    } else if (const auto *push = std::get_if<ConfigurationPush>(&message)) {
        m_d->keeper.handlePush(*push);
    } else if (const auto *move = std::get_if<TaskMove>(&message)) {
        m_d->handleMove(from, *move);
    } else if (const auto *ack = std::get_if<TaskMoveAck>(&message)) {
        m_d->handleMoveAck(*ack);
    }
}

void Node::handleLinkLost(const HostId &peer)
{
    m_d->forwards.handleLinkLost(peer);
}

bool Node::isHealthy() const
{
    return m_d->state == "serving";
}

std::string Node::state() const
{
    return m_d->state;
}

} // namespace currantring
