#pragma once

#include "attemptdriver.h"
#include "shardcore.h"
#include "taskdesk.h"
#include "taskqueue.h"

#include <functional>
#include <memory>

namespace currantring {

/**
 * Everything that the writer of one shard does: its log, its queue, its workers, its callers.
 *
 * Thread safety: one thread at a time.
 */
class ShardScheduler
{
public:
    struct Handlers
    {
        /** The shard is taken over and may be asked. */
        std::function<void()> onActive;
        /** Another writer has the shard; the object is of no more use. */
        std::function<void()> onFenced;
        std::function<void(const WorkerReport &)> onReport;
        /** A moved task's record is to be sent to another shard; repeated until confirmMove(). */
        std::function<void(const TaskMove &)> onMove;
    };

    /** Precondition: @p context outlives the object. */
    ShardScheduler(ShardId shard, HostId self, TaskCharts charts, Context &context, Handlers handlers);

    void setConfiguration(const Configuration &configuration);
    /** The workers of this shard that the platform lists. */
    void setWorkers(const std::map<WorkerId, WorkerInfo> &workers);
    void setFleet(FleetView fleet);
    /** Whether leases may be extended while the store can't confirm the writer. */
    void setOutageRenewals(bool allowed);
    /** Takes the shard over; @p handedOver is the epoch whose writer said that it has stopped, if one did. */
    void claim(std::optional<Epoch> handedOver);
    /**
     * Commits what is pending and gives the shard up; @p done gets whether all of it was committed. When the store
     * gives no answer nothing is done, and the call may be repeated; while one is under way another does nothing.
     */
    void stop(std::function<void(bool committed)> done);

    /** Callers' requests and moves. Precondition: isActive(). */
    TaskDesk &desk();
    /** The other shard has committed a task that moved there. */
    void confirmMove(const TaskId &task);

    [[nodiscard]] bool isActive() const;
    [[nodiscard]] const ShardLog &log() const;
    /** Whether every worker with an attempt of this shard refuses all earlier writers by now. */
    [[nodiscard]] bool allWorkersKnowEpoch() const;
    [[nodiscard]] CommandFence fence() const;
    [[nodiscard]] const std::map<WorkerId, WorkerView> &workers() const;
    [[nodiscard]] Resources largestRoom() const;

private:
    void activate();
    void tick();
    void confirmWriter();
    void evictFromLeaving();
    void sendMoves();
    void pumpSoon();

    Context &m_context;
    Handlers m_handlers;
    ShardLog m_log;
    ShardCore m_core;
    TaskQueue m_queue;
    AttemptDriver m_driver;
    TaskDesk m_desk;
    Lifetime m_lifetime;
    std::map<TaskId, TimePoint> m_nextMoveSend;
    std::optional<Epoch> m_handedOver;
    bool m_pumpScheduled = false;
    bool m_stopAsked = false;
    bool m_stopping = false;
};

} // namespace currantring
