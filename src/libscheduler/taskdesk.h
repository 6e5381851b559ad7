#pragma once

#include "shardcore.h"
#include "taskqueue.h"

#include <functional>

namespace currantring {

/**
 * Answers callers about the tasks of one shard. Says only what is committed, and only after asking the store whether
 * this host still writes the shard, so that no two hosts tell different stories.
 *
 * Thread safety: one thread at a time.
 */
class TaskDesk
{
public:
    using ReplyHandler = std::function<void(CallerReply)>;

    /** Precondition: @p core and @p queue outlive the object. */
    TaskDesk(ShardCore &core, const TaskQueue &queue, std::function<void(const TaskId &)> onChange);

    /** Each calls @p handler exactly once. Precondition: the shard's log is active. */
    void submit(const SubmitTask &request, ReplyHandler handler);
    void read(const ReadTask &request, ReplyHandler handler);
    void readAccount(const ReadAccount &request, ReplyHandler handler);
    void cancel(const CancelTask &request, ReplyHandler handler);
    void evict(const EvictTask &request, ReplyHandler handler);
    /** Takes in a task from another shard; @p handler gets whether its record is committed here. */
    void adopt(const TaskMove &move, std::function<void(bool committed)> handler);

private:
    void answerWhenCurrent(ReplyHandler handler, std::function<CallerReply()> answer);
    [[nodiscard]] CallerReply describe(const TaskId &id) const;
    [[nodiscard]] CallerReply describeAccount(const TaskId &id) const;
    void answerSubmitted(const TaskId &id, ReplyHandler handler);
    void appendChange(const LedgerRecord &record, const TaskId &id, const std::string &state, ReplyHandler handler);

    ShardCore &m_core;
    const TaskQueue &m_queue;
    std::function<void(const TaskId &)> m_onChange;
    Lifetime m_lifetime;
};

/** A reply whose body is `{"outcome": …, "reason": …}`. Thread safety: reentrant. */
CallerReply makeReply(ReplyCode code, const std::string &reason);

} // namespace currantring
