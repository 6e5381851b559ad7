#pragma once

#include "forwardtable.h"
#include "membership.h"
#include "shardset.h"

#include <functional>
#include <memory>

namespace currantring {

/** Requests about one task, which any host takes and the writer of the task's shard answers. */
template<typename Request>
concept TaskRequest = std::same_as<Request, SubmitTask> || std::same_as<Request, ReadTask> || std::same_as<
    Request, ReadAccount> || std::same_as<Request, CancelTask> || std::same_as<Request, EvictTask>;

/**
 * Brings each request about a task to the host that writes its shard, and tries again while writers change.
 *
 * All these requests are idempotent, so repeating one is safe. Thread safety: one thread at a time.
 */
class TaskRouter
{
public:
    using ReplyHandler = std::function<void(CallerReply)>;

    /** Precondition: the arguments outlive the object. */
    TaskRouter(HostId self, Context &context, const Membership &membership, ShardSet &shards, ForwardTable &forwards);

    /** Serves @p request; @p hops counts how often it was passed on. @p handler runs exactly once. */
    void handle(const CallerRequest &request, std::uint32_t hops, ReplyHandler handler);

private:
    struct Job
    {
        CallerRequest request;
        TaskId task;
        std::uint32_t hops = 0;
        TimePoint deadline {};
        ReplyHandler handler;
        /** Whether some try got no definite answer, so that a submission may have been taken by a writer. */
        bool mayBeTaken = false;
        CallerReply lastReply;
    };
    using JobPointer = std::shared_ptr<Job>;

    /** Finds out whose task an eviction is for, since its record may be in another shard, and goes on with it. */
    void nameBeneficiary(const EvictTask &evict, ReplyHandler handler);
    void attempt(const JobPointer &job);
    void askShard(ShardScheduler &shard, const JobPointer &job);
    void forward(const HostId &peer, const JobPointer &job);
    void settle(const JobPointer &job, const CallerReply &reply);
    void retry(const JobPointer &job);
    void giveUp(const JobPointer &job);
    [[nodiscard]] ShardId targetShard(const TaskId &task) const;

    HostId m_self;
    Context &m_context;
    const Membership &m_membership;
    ShardSet &m_shards;
    ForwardTable &m_forwards;
    Lifetime m_lifetime;
};

} // namespace currantring
