#pragma once

#include "placement.h"
#include "shardcore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace currantring {

/** Another shard and the room on its emptiest worker. */
struct ShardRoom
{
    ShardId shard;
    Resources largestRoom;
};

/** What a shard knows of the workers of the whole fleet. */
struct FleetView
{
    /** Whether the platform's list has been read. */
    bool isKnown = false;
    /** Capacity of every listed worker. */
    std::vector<Resources> capacities;
    /** Rooms in other shards, this host's and the peers'. */
    std::vector<ShardRoom> otherShards;
};

/**
 * Decides which queued task goes where: onto a worker of the shard, to another shard, or out as expired, exhausted
 * or unplaceable. Every decision is a record; nothing is sent before it is committed.
 *
 * Thread safety: one thread at a time.
 */
class TaskQueue
{
public:
    struct Handlers
    {
        /** A placement is committed. */
        std::function<void(const AttemptKey &)> onPlaced;
        /** A move to another shard is committed. */
        std::function<void(const TaskId &)> onMovedOut;
    };

    /** Precondition: @p core outlives the object. */
    TaskQueue(ShardCore &core, Handlers handlers);

    /** Decides on all queued tasks, the most urgent first. */
    void pump();
    void setFleet(FleetView fleet);
    /** Why @p task was left in the queue by the last decision; empty when it isn't queued. */
    [[nodiscard]] std::string waitingReason(const TaskId &task) const;
    /** Room on the emptiest usable worker. */
    [[nodiscard]] Resources largestRoom() const;

private:
    [[nodiscard]] std::vector<const TaskState *> queuedTasks() const;
    void decide(const TaskState &task);
    bool endIfHopeless(const TaskState &task);
    void end(const TaskState &task, TaskEnd how, std::string detail);
    [[nodiscard]] std::vector<PlacementCandidate> candidates(const TaskState &task) const;
    void place(const TaskState &task, const WorkerId &worker);
    bool moveElsewhere(const TaskState &task);
    bool returnToFormer(const TaskState &task);
    bool endIfUnplaceable(const TaskState &task);

    ShardCore &m_core;
    Handlers m_handlers;
    Lifetime m_lifetime;
    BalancedFit m_policy;
    FleetView m_fleet;
    std::map<TaskId, std::string> m_reasons;
    std::map<TaskId, TimePoint> m_tooLargeSince;
    std::map<TaskId, TimePoint> m_arrivedAt;
};

} // namespace currantring
