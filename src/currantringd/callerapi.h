#pragma once

#include "callerrequest.h"
#include "finding.h"

#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace currantring {

/** What came with a call to a service, as text; an absent header is nullopt. */
struct ServiceCallInput
{
    std::string service;
    std::optional<std::string> owner;
    std::optional<std::string> request;
    std::optional<std::string> timeoutMs;
    std::optional<std::string> idempotent;
    std::string body;
};

/** Findings name the header, or the member of the body, that is at fault; all are reported together. */
using ParsedRequest = tl::expected<CallerRequest, Findings>;

// Thread safety: all of these are reentrant.

/** Reads a call to a service. A request id that wasn't given stays empty. */
ParsedRequest parseServiceCall(const ServiceCallInput &input);
/** Reads the submission of a task; its relative deadline counts from @p now. */
ParsedRequest parseSubmission(std::string_view body, WallTime now);
ParsedRequest parseCancellation(const std::string &task, std::string_view body);
ParsedRequest parseEviction(const std::string &task, std::string_view body);
ParsedRequest parseConfigurationChange(std::string_view body);
/** A request that names just a task. */
ParsedRequest parseTaskRead(const std::string &task);
ParsedRequest parseAccountRead(const std::string &task);

/** HTTP status for the verdict. */
int httpStatus(ReplyCode code);
/** The body of an answer that the daemon gives by itself: outcome and reason. */
std::string outcomeBody(ReplyCode code, std::string_view reason);
/** The body of a refusal with its findings. */
std::string findingsBody(const Findings &findings);

} // namespace currantring
