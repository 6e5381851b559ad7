#pragma once

#include "chart.h"
#include "ledgerrecord.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace currantring {

/** The life cycles that the ledger interprets. */
struct TaskCharts
{
    Chart task;
    Chart attempt;
};

/** One numbered line of a task's account. */
struct AccountEntry
{
    /** Counts the task's entries from 1, across moves between shards. */
    std::uint64_t number = 0;
    ShardId shard;
    SlotNumber slot;
    Epoch epoch;
    HostId writer;
    WallTime at;
    /** State of the task after this entry. */
    std::string state;
    /** The record as the ledger encodes it. */
    nlohmann::json record;

    bool operator==(const AccountEntry &) const = default;
};

void to_json(nlohmann::json &json, const AccountEntry &entry);
void from_json(const nlohmann::json &json, AccountEntry &entry);

/** The attempt of a task that holds resources on a worker. */
struct LiveAttempt
{
    AttemptNumber number;
    WorkerId worker;
    CheckpointId resumeFrom;
    /** State of the attempt chart. */
    std::string state;
    /** Whether the worker confirmed the start. */
    bool confirmed = false;
};

/** Everything the ledger knows of one task. */
struct TaskState
{
    TaskId id;
    OwnerId owner;
    SubmissionKey key;
    TaskSpec spec;
    /** State of the task chart. */
    std::string state;
    std::optional<LiveAttempt> attempt;
    /** Attempts placed so far. */
    std::uint32_t attempts = 0;
    /** Attempts that failed or were lost. */
    std::uint32_t failures = 0;
    /** Whether some attempt ran, or may have run. */
    bool mayHaveRun = false;
    /** Newest recorded checkpoint. */
    CheckpointId checkpoint;
    /** Worker of the last attempt that ended without success. */
    WorkerId lastWorker;
    std::optional<ShardId> movedTo;
    /** Result, or cause of the end. */
    std::string detail;
    /** Never empty; after the task has moved away only the last entry is kept. */
    std::vector<AccountEntry> account;

    /** Number of the account's last entry. */
    [[nodiscard]] std::uint64_t lastEntry() const
    {
        return account.empty() ? 0 : account.back().number;
    }
};

/** Why a record can't be applied. */
enum class LedgerError {
    /** The task isn't known, or is known already. */
    WrongTask,
    /** The chart has no such transition in the task's state. */
    WrongState,
    /** The record names another attempt than the live one. */
    WrongAttempt,
    /** The record doesn't decode. */
    Malformed,
};

/** Where a record stands. */
struct RecordOrigin
{
    ShardId shard;
    SlotNumber slot;
    Epoch epoch;
    HostId writer;
    WallTime at;
};

/**
 * The fold of one shard's records: tasks, their accounts, and the resources reserved on each worker.
 *
 * The charts of task and attempt decide which record may follow which. Thread safety: one thread at a time.
 */
class TaskLedger
{
public:
    explicit TaskLedger(TaskCharts charts);

    /** Applies @p record, or changes nothing and says why. */
    tl::expected<void, LedgerError> apply(const LedgerRecord &record, const RecordOrigin &origin);

    [[nodiscard]] const TaskState *find(const TaskId &task) const;
    [[nodiscard]] const std::map<TaskId, TaskState> &tasks() const;
    /** Ids of tasks that are neither ended nor moved away. */
    [[nodiscard]] const std::set<TaskId> &activeTasks() const;
    /** Tasks with a live attempt on @p worker. */
    [[nodiscard]] std::vector<const TaskState *> attemptsOn(const WorkerId &worker) const;
    /** Declared resources of the live attempts on @p worker. */
    [[nodiscard]] Resources reserved(const WorkerId &worker) const;
    /** Declared resources of the live attempts of @p owner in this shard. */
    [[nodiscard]] Resources reservedBy(const OwnerId &owner) const;
    [[nodiscard]] bool isFinal(const TaskState &task) const;

    /**
     * Drops tasks that ended before @p before. A task that moved away leaves its pointer, for its key must not be
     * taken for a new one. Returns the number of dropped tasks.
     */
    std::size_t trim(WallTime before);

    [[nodiscard]] nlohmann::json encodeTask(const TaskState &task) const;
    /** Nullopt when @p json is no task. */
    [[nodiscard]] static std::optional<TaskState> decodeTask(const nlohmann::json &json);
    /** Puts in a task from a snapshot. */
    void restore(TaskState task);

private:
    tl::expected<void, LedgerError> applySubmitted(const TaskSubmitted &record, const RecordOrigin &origin);
    tl::expected<void, LedgerError> applyMovedIn(const TaskMovedIn &record, const RecordOrigin &origin);
    tl::expected<void, LedgerError> checkAttempt(const TaskState &task, const LedgerRecord &record) const;
    /** State of the live attempt after @p record; nullopt when its chart has no such transition. */
    [[nodiscard]] std::optional<std::string> nextAttemptState(const TaskState &task, const LedgerRecord &record) const;
    void applyEffects(TaskState &task, const LedgerRecord &record);
    void endAttempt(TaskState &task, const AttemptEnded &record);
    void addEntry(TaskState &task, const LedgerRecord &record, const RecordOrigin &origin);
    void index(const TaskState &task);
    void unindex(const TaskState &task);

    TaskCharts m_charts;
    std::map<TaskId, TaskState> m_tasks;
    std::set<TaskId> m_active;
    std::map<WorkerId, std::set<TaskId>> m_onWorker;
    std::map<WorkerId, Resources> m_reserved;
    std::map<OwnerId, Resources> m_reservedBy;
};

} // namespace currantring
