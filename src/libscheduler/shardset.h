#pragma once

#include "membership.h"
#include "shardscheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace currantring {

/**
 * Decides which shards this host writes: takes over those that it is preferred for and nobody live claims, and hands
 * over those that another is preferred for.
 *
 * Who should write rests on heartbeats and may be judged differently by two hosts for a while; who does write is
 * settled by the log's slots. Thread safety: one thread at a time.
 */
class ShardSet
{
public:
    struct Handlers
    {
        std::function<void(ShardScheduler &)> onActive;
        /** The shard isn't written here any more; the object goes away after the call. */
        std::function<void(ShardScheduler &)> onLost;
        std::function<void(const WorkerReport &)> onReport;
        std::function<void(const TaskMove &)> onMove;
    };

    /** Precondition: @p context and @p membership outlive the object. */
    ShardSet(HostId self, TaskCharts charts, Context &context, const Membership &membership, Handlers handlers);

    /** Number of shards of the whole system; fixed once it is pinned in the store. */
    void setShardCount(std::uint32_t count);
    void setConfiguration(const Configuration &configuration);
    void setWorkers(const std::map<WorkerId, WorkerInfo> &workers, bool isKnown);
    /** Takes over and hands over as the membership asks for; to be called each heartbeat interval. */
    void balance();
    void handleHandOver(const HandOver &handOver);
    /** Hands over every shard as soon as the store answers; @p done runs when none is left. */
    void releaseAll(std::function<void()> done);

    /** The shard when this host writes it and it may be asked; null otherwise. */
    [[nodiscard]] ShardScheduler *find(ShardId shard) const;
    /** The active shard that holds @p task itself, not a pointer to another shard; null when none does. */
    [[nodiscard]] ShardScheduler *holderOf(const TaskId &task) const;
    [[nodiscard]] std::uint32_t shardCount() const;
    [[nodiscard]] std::vector<ShardClaim> claims() const;
    [[nodiscard]] std::vector<ShardScheduler *> active() const;
    [[nodiscard]] bool isEmpty() const;

private:
    void takeOver(ShardId shard);
    void release(ShardId shard);
    void drop(ShardId shard);
    void updateShard(ShardScheduler &shard);
    void updateOutageRenewals();

    HostId m_self;
    TaskCharts m_charts;
    Context &m_context;
    const Membership &m_membership;
    Handlers m_handlers;
    Lifetime m_lifetime;
    Configuration m_configuration;
    std::uint32_t m_shardCount = 0;
    std::map<WorkerId, WorkerInfo> m_workers;
    bool m_workersKnown = false;
    std::map<ShardId, std::unique_ptr<ShardScheduler>> m_shards;
    std::map<ShardId, TimePoint> m_notBefore;
    std::map<ShardId, Epoch> m_handedOver;
    std::map<ShardId, int> m_unpreferredRounds;
    std::map<ShardId, int> m_unclaimedRounds;
    bool m_hadPeers = false;
    std::function<void()> m_releaseHandler;
};

} // namespace currantring
