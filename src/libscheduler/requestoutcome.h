#pragma once

#include "callerrequest.h"

#include <string_view>

namespace currantring {

/** Why a request was answered without a service's answer; constants of replies, counters and logs. */
namespace requestreason {
inline constexpr std::string_view queueFull = "queue-full";
inline constexpr std::string_view deadlineTooShort = "deadline-too-short";
inline constexpr std::string_view expiredInQueue = "expired-in-queue";
inline constexpr std::string_view draining = "draining";
inline constexpr std::string_view noEndpoint = "no-endpoint";
inline constexpr std::string_view endpointRefused = "endpoint-refused";
inline constexpr std::string_view unknownService = "unknown-service";
inline constexpr std::string_view unknownOwner = "unknown-owner";
inline constexpr std::string_view noRequestId = "no-request-id";
inline constexpr std::string_view retryBudget = "retry-budget";
inline constexpr std::string_view deadlinePassed = "deadline-passed";
inline constexpr std::string_view connectionLost = "connection-lost";
/** The host that answers for the request id changed so recently that an earlier copy may have run elsewhere. */
inline constexpr std::string_view homeChanged = "home-changed";
/** The record of recent requests, which keeps them from running twice, has no room for another one. */
inline constexpr std::string_view recordFull = "record-full";
} // namespace requestreason

/** Reply whose body is the JSON object `{"outcome": …, "reason": …}`. Thread safety: reentrant. */
CallerReply makeOutcome(ReplyCode code, std::string_view reason);

} // namespace currantring
