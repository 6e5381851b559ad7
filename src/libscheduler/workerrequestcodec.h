#pragma once

#include "workerrequest.h"

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace currantring {

// The from_json functions throw on a foreign document, as nlohmann's own do; decodeWorkerRequest() and
// decodeWorkerReply() don't.

void to_json(nlohmann::json &json, const CommandFence &fence);
void from_json(const nlohmann::json &json, CommandFence &fence);
void to_json(nlohmann::json &json, const StartAttempt &request);
void from_json(const nlohmann::json &json, StartAttempt &request);
void to_json(nlohmann::json &json, const StopAttempt &request);
void from_json(const nlohmann::json &json, StopAttempt &request);
void to_json(nlohmann::json &json, const CheckpointAttempt &request);
void from_json(const nlohmann::json &json, CheckpointAttempt &request);
void to_json(nlohmann::json &json, const ThrottleAttempt &request);
void from_json(const nlohmann::json &json, ThrottleAttempt &request);
void to_json(nlohmann::json &json, const AttemptKey &key);
void from_json(const nlohmann::json &json, AttemptKey &key);
void to_json(nlohmann::json &json, const RenewLeases &request);
void from_json(const nlohmann::json &json, RenewLeases &request);
void to_json(nlohmann::json &json, const AttemptReport &report);
void from_json(const nlohmann::json &json, AttemptReport &report);
void to_json(nlohmann::json &json, const WorkerReport &report);
void from_json(const nlohmann::json &json, WorkerReport &report);

/** Kinds of worker request by name: `start`, `stop`, `checkpoint`, `throttle`, `renew`. Thread safety: reentrant. */
std::string_view workerRequestName(const WorkerRequest &request);
/** The request's fields as a JSON object, without its kind. Thread safety: reentrant. */
std::string encodeWorkerRequest(const WorkerRequest &request);
/** Nullopt when @p text is no request of the kind @p name. Never throws on foreign bytes. Thread safety: reentrant. */
std::optional<WorkerRequest> decodeWorkerRequest(std::string_view name, std::string_view text);
/** Nullopt when @p text is no report. Never throws on foreign bytes. Thread safety: reentrant. */
std::optional<WorkerReply> decodeWorkerReply(std::string_view text);

/** `running`, `succeeded`, … Thread safety: reentrant. */
std::string_view attemptPhaseName(AttemptPhase phase);
std::optional<AttemptPhase> attemptPhaseFromName(std::string_view name);
/** `no-room`, `stale-epoch`, …; `none` for RefusalReason::None. Thread safety: reentrant. */
std::string_view refusalReasonName(RefusalReason reason);
std::optional<RefusalReason> refusalReasonFromName(std::string_view name);

} // namespace currantring
