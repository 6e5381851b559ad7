#include "workerrequestcodec.h"

#include "enumnames.h"

#include <exception>

namespace currantring {

namespace {

constexpr EnumNames<AttemptPhase, 7> attemptPhaseNames { {
    { AttemptPhase::Running, "running" },
    { AttemptPhase::Succeeded, "succeeded" },
    { AttemptPhase::Failed, "failed" },
    { AttemptPhase::Stopped, "stopped" },
    { AttemptPhase::Checkpointed, "checkpointed" },
    { AttemptPhase::LeaseLapsed, "lease-lapsed" },
    { AttemptPhase::NeverStarted, "never-started" },
} };

constexpr EnumNames<RefusalReason, 8> refusalReasonNames { {
    { RefusalReason::None, "none" },
    { RefusalReason::StaleEpoch, "stale-epoch" },
    { RefusalReason::AlreadyStarted, "already-started" },
    { RefusalReason::TooLate, "too-late" },
    { RefusalReason::NoRoom, "no-room" },
    { RefusalReason::Leaving, "leaving" },
    { RefusalReason::UnknownAttempt, "unknown-attempt" },
    { RefusalReason::Failing, "failing" },
} };

/** Index in the variant gives the name. */
constexpr std::array<std::string_view, std::variant_size_v<WorkerRequest>> requestNames {
    "start", "stop", "checkpoint", "throttle", "renew",
};

template<typename Request>
void readTarget(const nlohmann::json &json, Request &request)
{
    json.at("fence").get_to(request.fence);
    json.at("task").get_to(request.task);
    json.at("attempt").get_to(request.attempt);
}

template<typename Request>
nlohmann::json writeTarget(const Request &request)
{
    return { { "fence", request.fence }, { "task", request.task }, { "attempt", request.attempt } };
}

WorkerRequest parseRequest(std::string_view name, const nlohmann::json &json)
{
    if (name == "start") {
        return json.get<StartAttempt>();
    }
    if (name == "stop") {
        return json.get<StopAttempt>();
    }
    if (name == "checkpoint") {
        return json.get<CheckpointAttempt>();
    }
    if (name == "throttle") {
        return json.get<ThrottleAttempt>();
    }
    if (name == "renew") {
        return json.get<RenewLeases>();
    }
    throw std::invalid_argument("unknown kind of worker request");
}

} // namespace

void to_json(nlohmann::json &json, const CommandFence &fence)
{
    json = { { "shard", fence.shard }, { "epoch", fence.epoch } };
}

void from_json(const nlohmann::json &json, CommandFence &fence)
{
    json.at("shard").get_to(fence.shard);
    json.at("epoch").get_to(fence.epoch);
}

void to_json(nlohmann::json &json, const StartAttempt &request)
{
    json = writeTarget(request);
    json["owner"] = request.owner;
    json["spec"] = request.spec;
    json["resumeFrom"] = request.resumeFrom;
    json["startBy"] = request.startBy;
    json["leaseUntil"] = request.leaseUntil;
}

void from_json(const nlohmann::json &json, StartAttempt &request)
{
    readTarget(json, request);
    json.at("owner").get_to(request.owner);
    json.at("spec").get_to(request.spec);
    json.at("resumeFrom").get_to(request.resumeFrom);
    json.at("startBy").get_to(request.startBy);
    json.at("leaseUntil").get_to(request.leaseUntil);
}

void to_json(nlohmann::json &json, const StopAttempt &request)
{
    json = writeTarget(request);
}

void from_json(const nlohmann::json &json, StopAttempt &request)
{
    readTarget(json, request);
}

void to_json(nlohmann::json &json, const CheckpointAttempt &request)
{
    json = writeTarget(request);
}

void from_json(const nlohmann::json &json, CheckpointAttempt &request)
{
    readTarget(json, request);
}

void to_json(nlohmann::json &json, const ThrottleAttempt &request)
{
    json = writeTarget(request);
    json["percent"] = request.percent;
}

void from_json(const nlohmann::json &json, ThrottleAttempt &request)
{
    readTarget(json, request);
    json.at("percent").get_to(request.percent);
    if (request.percent < 1 || request.percent > 100) {
        throw std::invalid_argument("percent is outside 1 to 100");
    }
}

void to_json(nlohmann::json &json, const AttemptKey &key)
{
    json = { { "task", key.task }, { "attempt", key.attempt } };
}

void from_json(const nlohmann::json &json, AttemptKey &key)
{
    json.at("task").get_to(key.task);
    json.at("attempt").get_to(key.attempt);
}

void to_json(nlohmann::json &json, const RenewLeases &request)
{
    json = { { "fence", request.fence }, { "leaseUntil", request.leaseUntil }, { "recorded", request.recorded } };
}

void from_json(const nlohmann::json &json, RenewLeases &request)
{
    json.at("fence").get_to(request.fence);
    json.at("leaseUntil").get_to(request.leaseUntil);
    json.at("recorded").get_to(request.recorded);
}

void to_json(nlohmann::json &json, const AttemptReport &report)
{
    json = { { "key", report.key },   { "owner", report.owner },           { "phase", attemptPhaseName(report.phase) },
             { "used", report.used }, { "checkpoint", report.checkpoint }, { "detail", report.detail } };
}

void from_json(const nlohmann::json &json, AttemptReport &report)
{
    json.at("key").get_to(report.key);
    json.at("owner").get_to(report.owner);
    report.phase = requireEnumValue(attemptPhaseNames, json.at("phase").get<std::string>());
    json.at("used").get_to(report.used);
    json.at("checkpoint").get_to(report.checkpoint);
    json.at("detail").get_to(report.detail);
}

void to_json(nlohmann::json &json, const WorkerReport &report)
{
    json = { { "worker", report.worker },   { "clock", report.clock },
             { "leaving", report.leaving }, { "activeRequests", report.activeRequests },
             { "used", report.used },       { "attempts", report.attempts } };
}

void from_json(const nlohmann::json &json, WorkerReport &report)
{
    json.at("worker").get_to(report.worker);
    json.at("clock").get_to(report.clock);
    json.at("leaving").get_to(report.leaving);
    json.at("activeRequests").get_to(report.activeRequests);
    json.at("used").get_to(report.used);
    json.at("attempts").get_to(report.attempts);
}

std::string_view workerRequestName(const WorkerRequest &request)
{
    return requestNames.at(request.index());
}

std::string encodeWorkerRequest(const WorkerRequest &request)
{
    const nlohmann::json json = std::visit([](const auto &kind) { return nlohmann::json(kind); }, request);
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<WorkerRequest> decodeWorkerRequest(std::string_view name, std::string_view text)
{
    try {
        return parseRequest(name, nlohmann::json::parse(text));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::optional<WorkerReply> decodeWorkerReply(std::string_view text)
{
    try {
        return WorkerReply { nlohmann::json::parse(text).get<WorkerReport>() };
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string_view attemptPhaseName(AttemptPhase phase)
{
    return enumName(attemptPhaseNames, phase);
}

std::optional<AttemptPhase> attemptPhaseFromName(std::string_view name)
{
    return enumValue(attemptPhaseNames, name);
}

std::string_view refusalReasonName(RefusalReason reason)
{
    return enumName(refusalReasonNames, reason);
}

std::optional<RefusalReason> refusalReasonFromName(std::string_view name)
{
    return enumValue(refusalReasonNames, name);
}

} // namespace currantring
