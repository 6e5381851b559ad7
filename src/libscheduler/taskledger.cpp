#include "taskledger.h"

namespace currantring {

namespace {

/** The encoded record for an account; a moved record carries its account already, so only the origin is kept. */
nlohmann::json accountRecord(const LedgerRecord &record)
{
    nlohmann::json json = encodeRecord(record);
    json.erase("record");
    json.erase("spec");
    return json;
}

} // namespace

void to_json(nlohmann::json &json, const AccountEntry &entry)
{
    json = {
        { "number", entry.number }, { "shard", entry.shard }, { "slot", entry.slot },   { "epoch", entry.epoch },
        { "writer", entry.writer }, { "at", entry.at },       { "state", entry.state }, { "record", entry.record }
    };
}

void from_json(const nlohmann::json &json, AccountEntry &entry)
{
    json.at("number").get_to(entry.number);
    json.at("shard").get_to(entry.shard);
    json.at("slot").get_to(entry.slot);
    json.at("epoch").get_to(entry.epoch);
    json.at("writer").get_to(entry.writer);
    json.at("at").get_to(entry.at);
    json.at("state").get_to(entry.state);
    entry.record = json.at("record");
}

TaskLedger::TaskLedger(TaskCharts charts)
    : m_charts(std::move(charts))
{
}

tl::expected<void, LedgerError> TaskLedger::apply(const LedgerRecord &record, const RecordOrigin &origin)
{
    if (const auto *submitted = std::get_if<TaskSubmitted>(&record)) {
        return applySubmitted(*submitted, origin);
    }
    if (const auto *movedIn = std::get_if<TaskMovedIn>(&record)) {
        return applyMovedIn(*movedIn, origin);
    }
    const auto found = m_tasks.find(taskOf(record));
    if (found == m_tasks.end()) {
        return tl::unexpected(LedgerError::WrongTask);
    }
    TaskState &task = found->second;
    const std::optional<std::string> next = m_charts.task.next(task.state, chartEvent(record));
    if (!next) {
        return tl::unexpected(LedgerError::WrongState);
    }
    if (const auto checked = checkAttempt(task, record); !checked) {
        return checked;
    }
    const std::optional<std::string> nextOfAttempt = nextAttemptState(task, record);
    if (!nextOfAttempt) {
        return tl::unexpected(LedgerError::WrongState);
    }
    unindex(task);
    task.state = *next;
    if (task.attempt) {
        task.attempt->state = *nextOfAttempt;
    }
    applyEffects(task, record);
    // The account goes on in the other shard; a last entry here would take a number that is used there.
    if (!std::holds_alternative<TaskMoveConfirmed>(record)) {
        addEntry(task, record, origin);
    }
    index(task);
    return {};
}

tl::expected<void, LedgerError> TaskLedger::applySubmitted(const TaskSubmitted &record, const RecordOrigin &origin)
{
    if (m_tasks.contains(record.task)) {
        return tl::unexpected(LedgerError::WrongTask);
    }
    TaskState &task = m_tasks[record.task];
    task.id = record.task;
    task.owner = record.owner;
    task.key = record.key;
    task.spec = record.spec;
    task.state = m_charts.task.initial();
    addEntry(task, record, origin);
    index(task);
    return {};
}

tl::expected<void, LedgerError> TaskLedger::applyMovedIn(const TaskMovedIn &record, const RecordOrigin &origin)
{
    std::optional<TaskState> moved = decodeTask(record.record);
    if (!moved || moved->id != record.task) {
        return tl::unexpected(LedgerError::Malformed);
    }
    const auto found = m_tasks.find(record.task);
    // A task that left this shard may come back with a longer account; anything else is a repetition.
    if (found != m_tasks.end() && found->second.lastEntry() >= moved->lastEntry()) {
        return tl::unexpected(LedgerError::WrongTask);
    }
    if (found != m_tasks.end()) {
        unindex(found->second);
    }
    TaskState &task = m_tasks[record.task];
    task = std::move(*moved);
    task.state = m_charts.task.initial();
    task.movedTo.reset();
    addEntry(task, record, origin);
    index(task);
    return {};
}

tl::expected<void, LedgerError> TaskLedger::checkAttempt(const TaskState &task, const LedgerRecord &record) const
{
    if (const auto *placed = std::get_if<AttemptPlaced>(&record)) {
        const bool isNext = !task.attempt && placed->attempt.attempt.value() == task.attempts + 1;
        const bool resumesRight = placed->resumeFrom == task.checkpoint;
        return isNext && resumesRight ? tl::expected<void, LedgerError> {} : tl::unexpected(LedgerError::WrongAttempt);
    }
    const AttemptKey *key = nullptr;
    if (const auto *started = std::get_if<AttemptStarted>(&record)) {
        key = &started->attempt;
    } else if (const auto *ended = std::get_if<AttemptEnded>(&record)) {
        key = &ended->attempt;
    } else if (const auto *evicted = std::get_if<EvictionRequested>(&record)) {
        key = &evicted->attempt;
    }
    if (key != nullptr && (!task.attempt || task.attempt->number != key->attempt)) {
        return tl::unexpected(LedgerError::WrongAttempt);
    }
    return {};
}

std::optional<std::string> TaskLedger::nextAttemptState(const TaskState &task, const LedgerRecord &record) const
{
    const std::string_view event = attemptChartEvent(record);
    if (!task.attempt || event.empty()) {
        return task.attempt ? task.attempt->state : std::string();
    }
    return m_charts.attempt.next(task.attempt->state, event);
}

void TaskLedger::applyEffects(TaskState &task, const LedgerRecord &record)
{
    if (const auto *placed = std::get_if<AttemptPlaced>(&record)) {
        task.attempts = placed->attempt.attempt.value();
        task.attempt = LiveAttempt { placed->attempt.attempt, placed->worker, placed->resumeFrom,
                                     m_charts.attempt.initial(), false };
    } else if (std::holds_alternative<AttemptStarted>(record)) {
        task.attempt->confirmed = true;
        task.mayHaveRun = true;
    } else if (const auto *ended = std::get_if<AttemptEnded>(&record)) {
        endAttempt(task, *ended);
    } else if (const auto *taskEnded = std::get_if<TaskEnded>(&record)) {
        task.detail = taskEnded->detail;
    } else if (const auto *cancelled = std::get_if<CancelRequested>(&record)) {
        task.detail = cancelled->reason;
    } else if (const auto *movedOut = std::get_if<TaskMovedOut>(&record)) {
        task.movedTo = movedOut->to;
    } else if (std::holds_alternative<TaskMoveConfirmed>(record)) {
        task.account.erase(task.account.begin(), task.account.end() - 1);
        task.spec.program.clear();
    }
}

void TaskLedger::endAttempt(TaskState &task, const AttemptEnded &record)
{
    if (record.end != AttemptEnd::NotRun) {
        task.mayHaveRun = true;
    }
    if (record.end == AttemptEnd::Failed || record.end == AttemptEnd::Lost) {
        ++task.failures;
    }
    if (record.end == AttemptEnd::Checkpointed) {
        task.checkpoint = record.checkpoint;
    }
    if (!record.detail.empty()) {
        task.detail = record.detail;
    }
    task.lastWorker = task.attempt->worker;
    task.attempt.reset();
}

void TaskLedger::addEntry(TaskState &task, const LedgerRecord &record, const RecordOrigin &origin)
{
    task.account.push_back(AccountEntry { task.lastEntry() + 1, origin.shard, origin.slot, origin.epoch, origin.writer,
                                          origin.at, task.state, accountRecord(record) });
}

void TaskLedger::index(const TaskState &task)
{
    if (!isFinal(task)) {
        m_active.insert(task.id);
    }
    if (task.attempt) {
        m_onWorker[task.attempt->worker].insert(task.id);
        m_reserved[task.attempt->worker] += task.spec.declared;
        m_reservedBy[task.owner] += task.spec.declared;
    }
}

void TaskLedger::unindex(const TaskState &task)
{
    m_active.erase(task.id);
    if (task.attempt) {
        m_onWorker[task.attempt->worker].erase(task.id);
        m_reserved[task.attempt->worker] -= task.spec.declared;
        m_reservedBy[task.owner] -= task.spec.declared;
    }
}

const TaskState *TaskLedger::find(const TaskId &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? nullptr : &found->second;
}

const std::map<TaskId, TaskState> &TaskLedger::tasks() const
{
    return m_tasks;
}

const std::set<TaskId> &TaskLedger::activeTasks() const
{
    return m_active;
}

std::vector<const TaskState *> TaskLedger::attemptsOn(const WorkerId &worker) const
{
    std::vector<const TaskState *> result;
    const auto found = m_onWorker.find(worker);
    if (found == m_onWorker.end()) {
        return result;
    }
    for (const TaskId &task : found->second) {
        result.push_back(&m_tasks.at(task));
    }
    return result;
}

Resources TaskLedger::reserved(const WorkerId &worker) const
{
    const auto found = m_reserved.find(worker);
    return found == m_reserved.end() ? Resources {} : found->second;
}

Resources TaskLedger::reservedBy(const OwnerId &owner) const
{
    const auto found = m_reservedBy.find(owner);
    return found == m_reservedBy.end() ? Resources {} : found->second;
}

bool TaskLedger::isFinal(const TaskState &task) const
{
    return m_charts.task.isFinal(task.state);
}

std::size_t TaskLedger::trim(WallTime before)
{
    return std::erase_if(m_tasks, [&](const auto &entry) {
        const TaskState &task = entry.second;
        return isFinal(task) && !task.movedTo && task.account.back().at < before;
    });
}

nlohmann::json TaskLedger::encodeTask(const TaskState &task) const
{
    nlohmann::json json = { { "id", task.id },
                            { "owner", task.owner },
                            { "key", task.key },
                            { "spec", task.spec },
                            { "state", task.state },
                            { "attempts", task.attempts },
                            { "failures", task.failures },
                            { "mayHaveRun", task.mayHaveRun },
                            { "checkpoint", task.checkpoint },
                            { "lastWorker", task.lastWorker },
                            { "detail", task.detail },
                            { "account", task.account } };
    if (task.attempt) {
        json["attempt"] = { { "number", task.attempt->number },
                            { "worker", task.attempt->worker },
                            { "resumeFrom", task.attempt->resumeFrom },
                            { "state", task.attempt->state },
                            { "confirmed", task.attempt->confirmed } };
    }
    if (task.movedTo) {
        json["movedTo"] = *task.movedTo;
    }
    return json;
}

std::optional<TaskState> TaskLedger::decodeTask(const nlohmann::json &json)
{
    try {
        TaskState task;
        json.at("id").get_to(task.id);
        json.at("owner").get_to(task.owner);
        json.at("key").get_to(task.key);
        json.at("spec").get_to(task.spec);
        json.at("state").get_to(task.state);
        json.at("attempts").get_to(task.attempts);
        json.at("failures").get_to(task.failures);
        json.at("mayHaveRun").get_to(task.mayHaveRun);
        json.at("checkpoint").get_to(task.checkpoint);
        json.at("lastWorker").get_to(task.lastWorker);
        json.at("detail").get_to(task.detail);
        json.at("account").get_to(task.account);
        if (json.contains("attempt")) {
            const nlohmann::json &attempt = json.at("attempt");
            task.attempt =
                LiveAttempt { attempt.at("number").get<AttemptNumber>(), attempt.at("worker").get<WorkerId>(),
                              attempt.at("resumeFrom").get<CheckpointId>(), attempt.at("state").get<std::string>(),
                              attempt.at("confirmed").get<bool>() };
        }
        if (json.contains("movedTo")) {
            task.movedTo = json.at("movedTo").get<ShardId>();
        }
        return task;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

void TaskLedger::restore(TaskState task)
{
    const TaskId id = task.id;
    const auto [position, inserted] = m_tasks.insert_or_assign(id, std::move(task));
    index(position->second);
}

} // namespace currantring
