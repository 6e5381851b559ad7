#include "taskrouter.h"

namespace currantring {

namespace {

/** How long a request about a task is tried while its shard has no reachable writer. */
constexpr Milliseconds patience(4000);
constexpr Milliseconds retryDelay(100);
/** Longest wait for a peer's reply to one try. */
constexpr Milliseconds forwardTimeout(2000);
/** Bounds the path of a request while hosts disagree on who writes a shard. */
constexpr std::uint32_t maximumHops = 4;

TaskId taskOfRequest(const CallerRequest &request)
{
    return std::visit(
        [](const auto &typed) {
            using Request = std::decay_t<decltype(typed)>;
            if constexpr (std::same_as<Request, SubmitTask>) {
                return makeTaskId(typed.owner, typed.key);
            } else if constexpr (TaskRequest<Request>) {
                return typed.task;
            } else {
                return TaskId();
            }
        },
        request);
}

} // namespace

TaskRouter::TaskRouter(HostId self, Context &context, const Membership &membership, ShardSet &shards,
                       ForwardTable &forwards)
    : m_self(std::move(self))
    , m_context(context)
    , m_membership(membership)
    , m_shards(shards)
    , m_forwards(forwards)
{
}

void TaskRouter::handle(const CallerRequest &request, std::uint32_t hops, ReplyHandler handler)
{
    const auto *evict = std::get_if<EvictTask>(&request);
    if (evict != nullptr && hops == 0 && !evict->onBehalfOf.value().empty() && evict->onBehalfOfOwner.value().empty()) {
        nameBeneficiary(*evict, std::move(handler));
        return;
    }
    const auto job = std::make_shared<Job>();
    job->request = request;
    job->task = taskOfRequest(request);
    job->hops = hops;
    job->deadline = m_context.now() + patience;
    job->handler = std::move(handler);
    job->lastReply = makeReply(ReplyCode::NotYetKnown, "no-writer");
    attempt(job);
}

void TaskRouter::nameBeneficiary(const EvictTask &evict, ReplyHandler handler)
{
    handle(ReadTask { evict.onBehalfOf }, 0, [this, evict, handler = std::move(handler)](const CallerReply &reply) {
        if (reply.code != ReplyCode::Ok) {
            const bool isUnknown = reply.code == ReplyCode::NotFound;
            handler(isUnknown ? makeReply(ReplyCode::Invalid, "the task on whose behalf has no record") : reply);
            return;
        }
        EvictTask named = evict;
        named.onBehalfOfOwner = nlohmann::json::parse(reply.body).at("owner").get<OwnerId>();
        handle(named, 0, handler);
    });
}

ShardId TaskRouter::targetShard(const TaskId &task) const
{
    const ShardId home = homeShard(task, m_shards.shardCount());
    const ShardScheduler *shard = m_shards.find(home);
    const TaskState *state = shard == nullptr ? nullptr : shard->log().ledger().find(task);
    return state != nullptr && state->movedTo ? *state->movedTo : home;
}

void TaskRouter::attempt(const JobPointer &job)
{
    if (ShardScheduler *holder = m_shards.holderOf(job->task)) {
        askShard(*holder, job);
        return;
    }
    const ShardId target = targetShard(job->task);
    if (ShardScheduler *shard = m_shards.find(target)) {
        const bool isOnItsWay = target != homeShard(job->task, m_shards.shardCount());
        if (isOnItsWay) {
            retry(job);
        } else {
            askShard(*shard, job);
        }
        return;
    }
    const std::optional<HostId> writer = m_membership.claimant(target);
    if (writer && *writer != m_self && job->hops < maximumHops) {
        forward(*writer, job);
        return;
    }
    retry(job);
}

void TaskRouter::askShard(ShardScheduler &shard, const JobPointer &job)
{
    const auto handler = [this, job](const CallerReply &reply) {
        settle(job, reply);
    };
    std::visit(
        [&](const auto &typed) {
            using Request = std::decay_t<decltype(typed)>;
            if constexpr (std::same_as<Request, SubmitTask>) {
                shard.desk().submit(typed, handler);
            } else if constexpr (std::same_as<Request, ReadTask>) {
                shard.desk().read(typed, handler);
            } else if constexpr (std::same_as<Request, ReadAccount>) {
                shard.desk().readAccount(typed, handler);
            } else if constexpr (std::same_as<Request, CancelTask>) {
                shard.desk().cancel(typed, handler);
            } else if constexpr (std::same_as<Request, EvictTask>) {
                shard.desk().evict(typed, handler);
            } else {
                handler(makeReply(ReplyCode::Invalid, "not a request about a task"));
            }
        },
        job->request);
}

void TaskRouter::forward(const HostId &peer, const JobPointer &job)
{
    m_forwards.forward(peer, job->request, job->hops + 1, forwardTimeout,
                       m_lifetime.guard([this, job](const std::optional<CallerReply> &reply) {
                           settle(job, reply.value_or(makeReply(ReplyCode::NotYetKnown, "connection-lost")));
                       }));
}

void TaskRouter::settle(const JobPointer &job, const CallerReply &reply)
{
    // A refusal tells of one try only: an earlier one without an answer may have been taken.
    const bool isDenial = reply.code == ReplyCode::NotRun && job->mayBeTaken;
    const bool mayChange = reply.code == ReplyCode::NotYetKnown || isDenial;
    if (!mayChange || job->hops > 0) {
        job->handler(reply); // A host that was asked by a peer leaves further tries to it.
        return;
    }
    job->mayBeTaken = true;
    job->lastReply = isDenial ? makeReply(ReplyCode::NotYetKnown, "an earlier try has no answer") : reply;
    retry(job);
}

void TaskRouter::retry(const JobPointer &job)
{
    if (job->hops > 0 || m_context.now() + retryDelay >= job->deadline) {
        giveUp(job);
        return;
    }
    m_context.schedule(retryDelay, m_lifetime.guard([this, job] { attempt(job); }));
}

void TaskRouter::giveUp(const JobPointer &job)
{
    // Even a submission that never left this host may have an earlier copy elsewhere, so it isn't called not run.
    job->handler(job->lastReply);
}

} // namespace currantring
