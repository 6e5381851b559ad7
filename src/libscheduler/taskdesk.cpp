#include "taskdesk.h"

namespace currantring {

namespace {

/** Bytes of program text that a task may carry; a ledger slot holds many tasks. */
constexpr std::size_t maximumProgramBytes = 16'384;

CallerReply makeJsonReply(const nlohmann::json &json)
{
    return CallerReply { ReplyCode::Ok, json.dump() };
}

} // namespace

CallerReply makeReply(ReplyCode code, const std::string &reason)
{
    const nlohmann::json json = { { "outcome", std::string(replyCodeName(code)) }, { "reason", reason } };
    return CallerReply { code, json.dump() };
}

TaskDesk::TaskDesk(ShardCore &core, const TaskQueue &queue, std::function<void(const TaskId &)> onChange)
    : m_core(core)
    , m_queue(queue)
    , m_onChange(std::move(onChange))
{
}

void TaskDesk::submit(const SubmitTask &request, ReplyHandler handler)
{
    const TaskId id = makeTaskId(request.owner, request.key);
    if (const TaskState *known = m_core.log.ledger().find(id)) {
        if (known->spec.program != request.spec.program || known->spec.declared != request.spec.declared) {
            handler(makeReply(ReplyCode::Conflict, "the key is taken by a task with other contents"));
            return;
        }
        answerSubmitted(id, std::move(handler));
        return;
    }
    if (request.spec.program.size() > maximumProgramBytes) {
        handler(makeReply(ReplyCode::Invalid, "program text is longer than 16384 bytes"));
        return;
    }
    if (m_core.log.isBlocked() || !m_core.log.storeAnswers()) {
        // Not accepted here; but an earlier copy under the key may stand with a writer that this host can't know of.
        handler(makeReply(ReplyCode::NotYetKnown, "store-unavailable"));
        return;
    }
    const auto limit = static_cast<std::size_t>(m_core.configuration.value(Setting::TaskQueueLimit));
    if (m_core.log.ledger().activeTasks().size() >= limit || m_core.log.isGroupFull()) {
        answerWhenCurrent(std::move(handler), [] { return makeReply(ReplyCode::NotRun, "task-queue-full"); });
        return;
    }
    const TaskSubmitted record { id, request.owner, request.key, request.spec };
    static_cast<void>(m_core.log.append(record, request.spec.urgent,
                                        m_lifetime.guard([this, id, handler = std::move(handler)](bool committed) {
                                            if (!committed) {
                                                handler(makeReply(ReplyCode::NotYetKnown, "shard-moved"));
                                                return;
                                            }
                                            handler(makeJsonReply({ { "task", id }, { "state", "queued" } }));
                                            m_onChange(id);
                                        })));
}

void TaskDesk::answerSubmitted(const TaskId &id, ReplyHandler handler)
{
    answerWhenCurrent(std::move(handler), [this, id] {
        const TaskState *task = m_core.log.ledger().find(id);
        if (task == nullptr || !m_core.log.isCommitted(task->account.front())) {
            return makeReply(ReplyCode::NotYetKnown, "not-committed");
        }
        return makeJsonReply({ { "task", id }, { "state", task->account.back().state } });
    });
}

void TaskDesk::answerWhenCurrent(ReplyHandler handler, std::function<CallerReply()> answer)
{
    m_core.log.checkWriter(
        m_lifetime.guard([handler = std::move(handler), answer = std::move(answer)](WriterCheck verdict) {
            if (verdict == WriterCheck::StillWriter) {
                handler(answer());
                return;
            }
            const bool moved = verdict == WriterCheck::Superseded;
            handler(makeReply(ReplyCode::NotYetKnown, moved ? "shard-moved" : "store-unavailable"));
        }));
}

void TaskDesk::read(const ReadTask &request, ReplyHandler handler)
{
    answerWhenCurrent(std::move(handler), [this, id = request.task] { return describe(id); });
}

void TaskDesk::readAccount(const ReadAccount &request, ReplyHandler handler)
{
    answerWhenCurrent(std::move(handler), [this, id = request.task] { return describeAccount(id); });
}

CallerReply TaskDesk::describe(const TaskId &id) const
{
    const TaskState *task = m_core.log.ledger().find(id);
    if (task == nullptr || !m_core.log.isCommitted(task->account.front())) {
        return makeReply(task == nullptr ? ReplyCode::NotFound : ReplyCode::NotYetKnown, "no-record");
    }
    if (!m_core.log.isCommitted(task->account.back())) {
        return makeReply(ReplyCode::NotYetKnown, "change-in-progress");
    }
    nlohmann::json json = { { "task", id },
                            { "owner", task->owner },
                            { "kind", task->spec.kind == TaskKind::Batch ? "batch" : "watcher" },
                            { "state", task->state },
                            { "detail", task->detail },
                            { "attempts", task->attempts },
                            { "mayHaveRun", task->mayHaveRun },
                            { "checkpoint", task->checkpoint },
                            { "shard", m_core.log.shard() },
                            { "entries", task->lastEntry() } };
    if (task->attempt) {
        json["worker"] = task->attempt->worker;
    }
    if (const std::string reason = m_queue.waitingReason(id); !reason.empty()) {
        json["waitingFor"] = reason;
    }
    return makeJsonReply(json);
}

CallerReply TaskDesk::describeAccount(const TaskId &id) const
{
    const TaskState *task = m_core.log.ledger().find(id);
    if (task == nullptr) {
        return makeReply(ReplyCode::NotFound, "no-record");
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const AccountEntry &entry : task->account) {
        if (m_core.log.isCommitted(entry)) {
            entries.push_back(entry);
        }
    }
    return makeJsonReply({ { "task", id }, { "owner", task->owner }, { "entries", std::move(entries) } });
}

void TaskDesk::cancel(const CancelTask &request, ReplyHandler handler)
{
    const TaskState *task = m_core.log.ledger().find(request.task);
    if (task == nullptr) {
        read(ReadTask { request.task }, std::move(handler)); // Says so once the store confirms the writer.
        return;
    }
    if (m_core.log.ledger().isFinal(*task) || task->state == "cancelling") {
        read(ReadTask { request.task }, std::move(handler)); // Repeating a cancellation changes nothing.
        return;
    }
    if (m_core.log.isBlocked()) {
        handler(makeReply(ReplyCode::NotYetKnown, "store-unavailable"));
        return;
    }
    if (task->state == "queued") {
        appendChange(TaskEnded { task->id, TaskEnd::Cancelled, request.reason }, task->id, "cancelled",
                     std::move(handler));
        return;
    }
    appendChange(CancelRequested { task->id, request.reason }, task->id, "cancelling", std::move(handler));
}

void TaskDesk::evict(const EvictTask &request, ReplyHandler handler)
{
    const TaskState *task = m_core.log.ledger().find(request.task);
    if (task == nullptr) {
        read(ReadTask { request.task }, std::move(handler));
        return;
    }
    if (m_core.log.isBlocked()) {
        handler(makeReply(ReplyCode::NotYetKnown, "store-unavailable"));
        return;
    }
    if (!task->attempt) {
        handler(makeReply(ReplyCode::Invalid, "the task isn't running"));
        return;
    }
    const EvictionRequested record { AttemptKey { task->id, task->attempt->number }, task->attempt->worker,
                                     request.reason, request.onBehalfOf, request.onBehalfOfOwner };
    appendChange(record, task->id, "checkpointing", std::move(handler));
}

void TaskDesk::appendChange(const LedgerRecord &record, const TaskId &id, const std::string &state,
                            ReplyHandler handler)
{
    // The handler is shared because it is needed when the ledger refuses the record, too.
    const auto shared = std::make_shared<ReplyHandler>(std::move(handler));
    const auto appended = m_core.log.append(record, true, m_lifetime.guard([this, id, state, shared](bool committed) {
        if (!committed) {
            (*shared)(makeReply(ReplyCode::NotYetKnown, "shard-moved"));
            return;
        }
        (*shared)(makeJsonReply({ { "task", id }, { "state", state } }));
        m_onChange(id);
    }));
    if (!appended) {
        (*shared)(makeReply(ReplyCode::Conflict, "the task's state doesn't allow it now"));
    }
}

void TaskDesk::adopt(const TaskMove &move, std::function<void(bool)> handler)
{
    const TaskState *known = m_core.log.ledger().find(move.task);
    if (known != nullptr && known->lastEntry() > move.lastEntry) {
        handler(m_core.log.isCommitted(known->account.back()));
        return;
    }
    if (m_core.log.isGroupFull()) {
        handler(false); // The sender repeats the move.
        return;
    }
    const auto shared = std::make_shared<std::function<void(bool)>>(std::move(handler));
    const TaskMovedIn record { move.task, move.from, move.record };
    const auto appended = m_core.log.append(record, true, m_lifetime.guard([this, shared, id = move.task](bool ok) {
        (*shared)(ok);
        if (ok) {
            m_onChange(id);
        }
    }));
    if (!appended) {
        (*shared)(false);
    }
}

} // namespace currantring
