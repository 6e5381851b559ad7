#include "node_p.h"

#include <algorithm>
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
    , shards(options.host, { charts.task, charts.attempt }, context, membership,
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
    heartbeat.startVote = requests.startVote();
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
        m_d->requests.notePeerServices(heartbeat->host,
                                       heartbeat->leaving ? std::nullopt : std::optional(heartbeat->rooms));
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
