#include "ledgerrecord.h"

#include <array>
#include <utility>

namespace currantring {

namespace {

constexpr std::array<std::pair<AttemptEnd, std::string_view>, 6> attemptEndNames {
    { { AttemptEnd::Succeeded, "succeeded" },
      { AttemptEnd::Failed, "failed" },
      { AttemptEnd::NotRun, "notRun" },
      { AttemptEnd::Lost, "lost" },
      { AttemptEnd::Stopped, "cancelled" },
      { AttemptEnd::Checkpointed, "checkpointed" } }
};

constexpr std::array<std::pair<TaskEnd, std::string_view>, 4> taskEndNames { { { TaskEnd::Cancelled, "cancelled" },
                                                                               { TaskEnd::Expired, "expired" },
                                                                               { TaskEnd::Unplaceable, "unplaceable" },
                                                                               { TaskEnd::Exhausted, "exhausted" } } };

template<typename Table, typename Value>
std::string_view nameIn(const Table &table, Value value)
{
    for (const auto &[entry, name] : table) {
        if (entry == value) {
            return name;
        }
    }
    return "unknown";
}

template<typename Table>
auto valueIn(const Table &table, std::string_view name)
{
    for (const auto &[entry, entryName] : table) {
        if (entryName == name) {
            return entry;
        }
    }
    throw nlohmann::json::other_error::create(501, "unknown name", nullptr);
}

nlohmann::json encodeAttempt(const AttemptKey &key)
{
    return { { "task", key.task }, { "attempt", key.attempt } };
}

AttemptKey decodeAttempt(const nlohmann::json &json)
{
    return { json.at("task").get<TaskId>(), json.at("attempt").get<AttemptNumber>() };
}

struct Encoder
{
    nlohmann::json operator()(const TaskSubmitted &record) const
    {
        return { { "task", record.task }, { "owner", record.owner }, { "key", record.key }, { "spec", record.spec } };
    }
    nlohmann::json operator()(const AttemptPlaced &record) const
    {
        nlohmann::json json = encodeAttempt(record.attempt);
        json["worker"] = record.worker;
        json["resumeFrom"] = record.resumeFrom;
        return json;
    }
    nlohmann::json operator()(const AttemptStarted &record) const
    {
        return encodeAttempt(record.attempt);
    }
    nlohmann::json operator()(const AttemptEnded &record) const
    {
        nlohmann::json json = encodeAttempt(record.attempt);
        json["end"] = attemptEndName(record.end);
        json["checkpoint"] = record.checkpoint;
        json["detail"] = record.detail;
        return json;
    }
    nlohmann::json operator()(const EvictionRequested &record) const
    {
        nlohmann::json json = encodeAttempt(record.attempt);
        json["worker"] = record.worker;
        json["cause"] = record.cause;
        json["onBehalfOf"] = record.onBehalfOf;
        json["onBehalfOfOwner"] = record.onBehalfOfOwner;
        return json;
    }
    nlohmann::json operator()(const CancelRequested &record) const
    {
        return { { "task", record.task }, { "reason", record.reason } };
    }
    nlohmann::json operator()(const TaskEnded &record) const
    {
        return { { "task", record.task }, { "end", taskEndName(record.end) }, { "detail", record.detail } };
    }
    nlohmann::json operator()(const TaskMovedOut &record) const
    {
        return { { "task", record.task }, { "to", record.to } };
    }
    nlohmann::json operator()(const TaskMoveConfirmed &record) const
    {
        return { { "task", record.task } };
    }
    nlohmann::json operator()(const TaskMovedIn &record) const
    {
        return { { "task", record.task }, { "from", record.from }, { "record", record.record } };
    }
};

LedgerRecord decodeTaskRecord(std::string_view kind, const nlohmann::json &json)
{
    const auto task = json.at("task").get<TaskId>();
    if (kind == "submitted") {
        return TaskSubmitted { task, json.at("owner").get<OwnerId>(), json.at("key").get<SubmissionKey>(),
                               json.at("spec").get<TaskSpec>() };
    }
    if (kind == "cancel-requested") {
        return CancelRequested { task, json.at("reason").get<std::string>() };
    }
    if (kind == "ended") {
        return TaskEnded { task, valueIn(taskEndNames, json.at("end").get<std::string>()),
                           json.at("detail").get<std::string>() };
    }
    if (kind == "moved-out") {
        return TaskMovedOut { task, json.at("to").get<ShardId>() };
    }
    if (kind == "move-confirmed") {
        return TaskMoveConfirmed { task };
    }
    if (kind == "moved-in") {
        return TaskMovedIn { task, json.at("from").get<ShardId>(), json.at("record") };
    }
    throw nlohmann::json::other_error::create(501, "unknown record kind", nullptr);
}

LedgerRecord decodeAnyRecord(const nlohmann::json &json)
{
    const auto kind = json.at("kind").get<std::string>();
    if (kind == "attempt-placed") {
        return AttemptPlaced { decodeAttempt(json), json.at("worker").get<WorkerId>(),
                               json.at("resumeFrom").get<CheckpointId>() };
    }
    if (kind == "attempt-started") {
        return AttemptStarted { decodeAttempt(json) };
    }
    if (kind == "attempt-ended") {
        return AttemptEnded { decodeAttempt(json), valueIn(attemptEndNames, json.at("end").get<std::string>()),
                              json.at("checkpoint").get<CheckpointId>(), json.at("detail").get<std::string>() };
    }
    if (kind == "eviction-requested") {
        return EvictionRequested { decodeAttempt(json), json.at("worker").get<WorkerId>(),
                                   json.at("cause").get<std::string>(), json.at("onBehalfOf").get<TaskId>(),
                                   json.at("onBehalfOfOwner").get<OwnerId>() };
    }
    return decodeTaskRecord(kind, json);
}

} // namespace

std::string_view attemptEndName(AttemptEnd end)
{
    return nameIn(attemptEndNames, end);
}

std::string_view taskEndName(TaskEnd end)
{
    return nameIn(taskEndNames, end);
}

const TaskId &taskOf(const LedgerRecord &record)
{
    return std::visit(
        [](const auto &typed) -> const TaskId & {
            if constexpr (requires { typed.attempt.task; }) {
                return typed.attempt.task;
            } else {
                return typed.task;
            }
        },
        record);
}

std::string_view recordName(const LedgerRecord &record)
{
    static constexpr std::array<std::string_view, std::variant_size_v<LedgerRecord>> names {
        "submitted",        "attempt-placed", "attempt-started", "attempt-ended",  "eviction-requested",
        "cancel-requested", "ended",          "moved-out",       "move-confirmed", "moved-in"
    };
    return names.at(record.index());
}

std::string_view chartEvent(const LedgerRecord &record)
{
    if (const auto *ended = std::get_if<AttemptEnded>(&record)) {
        return attemptEndName(ended->end);
    }
    if (const auto *ended = std::get_if<TaskEnded>(&record)) {
        return taskEndName(ended->end);
    }
    static constexpr std::array<std::string_view, std::variant_size_v<LedgerRecord>> events {
        "", "place", "started", "", "evict", "cancel", "", "move", "moved", ""
    };
    return events.at(record.index());
}

std::string_view attemptChartEvent(const LedgerRecord &record)
{
    if (const auto *ended = std::get_if<AttemptEnded>(&record)) {
        return ended->end == AttemptEnd::Stopped ? "stopped" : attemptEndName(ended->end);
    }
    if (std::holds_alternative<CancelRequested>(record)) {
        return "stop";
    }
    const bool isStepOfAttempt =
        std::holds_alternative<AttemptStarted>(record) || std::holds_alternative<EvictionRequested>(record);
    return isStepOfAttempt ? chartEvent(record) : std::string_view();
}

nlohmann::json encodeRecord(const LedgerRecord &record)
{
    nlohmann::json json = std::visit(Encoder {}, record);
    json["kind"] = recordName(record);
    return json;
}

std::optional<LedgerRecord> decodeRecord(const nlohmann::json &json)
{
    try {
        return decodeAnyRecord(json);
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string encodeSlot(const LedgerSlot &slot)
{
    nlohmann::json records = nlohmann::json::array();
    for (const TimedRecord &timed : slot.records) {
        nlohmann::json record = encodeRecord(timed.record);
        record["at"] = timed.at;
        records.push_back(std::move(record));
    }
    const nlohmann::json json = { { "slot", slot.number },
                                  { "epoch", slot.epoch },
                                  { "writer", slot.writer },
                                  { "nonce", slot.nonce },
                                  { "records", std::move(records) } };
    return json.dump();
}

std::optional<LedgerSlot> decodeSlot(std::string_view text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        LedgerSlot slot { json.at("slot").get<SlotNumber>(),
                          json.at("epoch").get<Epoch>(),
                          json.at("writer").get<HostId>(),
                          json.at("nonce").get<std::uint64_t>(),
                          {} };
        for (const nlohmann::json &record : json.at("records")) {
            slot.records.push_back(TimedRecord { record.at("at").get<WallTime>(), decodeAnyRecord(record) });
        }
        return slot;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace currantring
