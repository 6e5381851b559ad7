#include "shardset.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** Rest before a host tries again for a shard that it lost to another writer. */
constexpr Milliseconds claimRest(1500);
/** Rounds for which a preference must hold before a shard changes its writer for it. */
constexpr int stableRounds = 2;

} // namespace

ShardSet::ShardSet(HostId self, TaskCharts charts, Context &context, const Membership &membership, Handlers handlers)
    : m_self(std::move(self))
    , m_charts(std::move(charts))
    , m_context(context)
    , m_membership(membership)
    , m_handlers(std::move(handlers))
{
}

void ShardSet::setShardCount(std::uint32_t count)
{
    m_shardCount = count;
}

void ShardSet::setConfiguration(const Configuration &configuration)
{
    m_configuration = configuration;
    for (const auto &[id, shard] : m_shards) {
        shard->setConfiguration(configuration);
    }
}

void ShardSet::setWorkers(const std::map<WorkerId, WorkerInfo> &workers, bool isKnown)
{
    m_workers = workers;
    m_workersKnown = isKnown;
    for (const auto &[id, shard] : m_shards) {
        updateShard(*shard);
    }
}

void ShardSet::updateShard(ShardScheduler &shard)
{
    std::map<WorkerId, WorkerInfo> own;
    FleetView fleet;
    fleet.isKnown = m_workersKnown;
    for (const auto &[id, worker] : m_workers) {
        fleet.capacities.push_back(worker.capacity);
        if (workerShard(id, m_shardCount) == shard.log().shard()) {
            own.emplace(id, worker);
        }
    }
    for (const auto &[id, other] : m_shards) {
        if (other.get() != &shard && other->isActive()) {
            fleet.otherShards.push_back(ShardRoom { id, other->largestRoom() });
        }
    }
    for (const PeerView &peer : m_membership.livePeers()) {
        for (const ShardClaim &claim : peer.heartbeat.claims) {
            fleet.otherShards.push_back(ShardRoom { claim.shard, claim.largestRoom });
        }
    }
    std::erase_if(fleet.otherShards, [&](const ShardRoom &room) { return room.shard == shard.log().shard(); });
    shard.setWorkers(own);
    shard.setFleet(std::move(fleet));
}

void ShardSet::updateOutageRenewals()
{
    const std::vector<PeerView> peers = m_membership.livePeers();
    m_hadPeers = m_hadPeers || !peers.empty();
    const bool someoneReachesStore =
        std::ranges::any_of(peers, [](const PeerView &peer) { return peer.heartbeat.storeReachable; });
    // A host that alone is cut off must let its leases run out, for the others may take its shards over.
    const bool isOutageForAll = !someoneReachesStore && (!peers.empty() || !m_hadPeers);
    for (const auto &[id, shard] : m_shards) {
        shard->setOutageRenewals(isOutageForAll);
    }
}

void ShardSet::balance()
{
    updateOutageRenewals();
    for (std::uint32_t index = 0; index < m_shardCount; ++index) {
        const ShardId id(index);
        const std::optional<HostId> preferred = m_membership.preferredWriter(id);
        const auto found = m_shards.find(id);
        if (found == m_shards.end()) {
            const std::optional<HostId> claimant = m_membership.claimant(id);
            const bool isFree = !claimant || *claimant == m_self;
            int &rounds = m_unclaimedRounds[id];
            rounds = preferred == m_self && isFree ? rounds + 1 : 0;
            if (rounds >= stableRounds && !m_releaseHandler) {
                takeOver(id);
            }
            continue;
        }
        updateShard(*found->second);
        int &rounds = m_unpreferredRounds[id];
        const bool isForOther = preferred ? *preferred != m_self : static_cast<bool>(m_releaseHandler);
        rounds = isForOther ? rounds + 1 : 0;
        if (rounds >= stableRounds && found->second->isActive() && m_membership.storeReachable()) {
            release(id);
        }
    }
}

void ShardSet::takeOver(ShardId id)
{
    if (m_shards.contains(id) || m_notBefore[id] > m_context.now()) {
        return;
    }
    auto shard = std::make_unique<ShardScheduler>(
        id, m_self, m_charts, m_context,
        ShardScheduler::Handlers { [this, id] { m_handlers.onActive(*m_shards.at(id)); },
                                   [this, id] {
                                       m_context.log(LogLevel::Warning, "shard_lost",
                                                     { { "shard", std::to_string(id.value()) },
                                                       { "cause", "another writer took it" } });
                                       m_context.count("shards_lost");
                                       m_notBefore[id] = m_context.now() + claimRest;
                                       drop(id);
                                   },
                                   m_handlers.onReport, m_handlers.onMove });
    shard->setConfiguration(m_configuration);
    const auto handedOver = m_handedOver.find(id);
    const std::optional<Epoch> epoch =
        handedOver == m_handedOver.end() ? std::nullopt : std::optional(handedOver->second);
    ShardScheduler &claimed = *m_shards.emplace(id, std::move(shard)).first->second;
    updateShard(claimed);
    claimed.claim(epoch);
}

void ShardSet::drop(ShardId id)
{
    // The shard's own code may be on the stack, so that the object goes away only afterwards.
    auto shard = m_shards.extract(id);
    if (shard.empty()) {
        return;
    }
    m_unpreferredRounds.erase(id);
    m_unclaimedRounds.erase(id);
    m_handlers.onLost(*shard.mapped());
    m_context.schedule(Milliseconds(0), [kept = std::shared_ptr<ShardScheduler>(std::move(shard.mapped()))] {});
    if (m_releaseHandler && m_shards.empty()) {
        m_context.schedule(Milliseconds(0), std::exchange(m_releaseHandler, {}));
    }
}

void ShardSet::release(ShardId id)
{
    ShardScheduler &shard = *m_shards.at(id);
    const Epoch epoch = shard.log().epoch();
    // A worker that hasn't answered this writer may still serve one before it, for which this one can't speak.
    const Epoch vouched = shard.allWorkersKnowEpoch() ? epoch : Epoch(0);
    shard.stop([this, id, epoch, vouched](bool committed) {
        if (!committed) {
            return; // It was taken by another; drop() follows from the loss.
        }
        const std::optional<HostId> successor = m_membership.preferredWriter(id);
        m_context.log(LogLevel::Info, "shard_handed_over",
                      { { "shard", std::to_string(id.value()) },
                        { "epoch", std::to_string(epoch.value()) },
                        { "to", successor ? successor->value() : "" } });
        if (successor) {
            m_context.sendPeer(*successor, HandOver { id, vouched });
        }
        drop(id);
    });
}

void ShardSet::handleHandOver(const HandOver &handOver)
{
    m_handedOver[handOver.shard] = handOver.epoch;
    if (m_membership.preferredWriter(handOver.shard) == m_self && !m_releaseHandler && m_shardCount > 0) {
        takeOver(handOver.shard);
    }
}

void ShardSet::releaseAll(std::function<void()> done)
{
    m_releaseHandler = std::move(done);
    if (m_shards.empty()) {
        m_context.schedule(Milliseconds(0), std::exchange(m_releaseHandler, {}));
        return;
    }
    std::vector<ShardId> idle;
    for (const auto &[id, shard] : m_shards) {
        if (shard->log().state() != ShardLog::State::Active) {
            idle.push_back(id);
        }
    }
    for (const ShardId id : idle) {
        drop(id);
    }
    balance(); // Hands the active ones over once the others are preferred, round by round.
}

ShardScheduler *ShardSet::find(ShardId shard) const
{
    const auto found = m_shards.find(shard);
    return found != m_shards.end() && found->second->isActive() ? found->second.get() : nullptr;
}

ShardScheduler *ShardSet::holderOf(const TaskId &task) const
{
    for (const auto &[id, shard] : m_shards) {
        const TaskState *state = shard->isActive() ? shard->log().ledger().find(task) : nullptr;
        if (state != nullptr && !state->movedTo) {
            return shard.get();
        }
    }
    return nullptr;
}

std::uint32_t ShardSet::shardCount() const
{
    return m_shardCount;
}

std::vector<ShardClaim> ShardSet::claims() const
{
    std::vector<ShardClaim> claims;
    for (const auto &[id, shard] : m_shards) {
        if (shard->isActive()) {
            claims.push_back(ShardClaim { id, shard->log().epoch(), shard->largestRoom() });
        }
    }
    return claims;
}

std::vector<ShardScheduler *> ShardSet::active() const
{
    std::vector<ShardScheduler *> active;
    for (const auto &[id, shard] : m_shards) {
        if (shard->isActive()) {
            active.push_back(shard.get());
        }
    }
    return active;
}

bool ShardSet::isEmpty() const
{
    return m_shards.empty();
}

} // namespace currantring
