#include "callerrequest.h"

#include "jsonfield.h"

#include <algorithm>
#include <array>

namespace currantring {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<ReplyCode, std::string_view>, 7> replyCodeNames { {
    { ReplyCode::Ok, "ok" },
    { ReplyCode::Invalid, "invalid" },
    { ReplyCode::NotFound, "not-found" },
    { ReplyCode::NotRun, "not-run" },
    { ReplyCode::OutcomeUnknown, "outcome-unknown" },
    { ReplyCode::NotYetKnown, "not-yet-known" },
    { ReplyCode::Conflict, "conflict" },
} };

/** Writes the members of each kind of request. */
struct Encoder
{
    Json operator()(const SubmitTask &request) const
    {
        return {
            { "kind", "submit-task" }, { "owner", request.owner }, { "key", request.key }, { "spec", request.spec }
        };
    }

    Json operator()(const ReadTask &request) const
    {
        return { { "kind", "read-task" }, { "task", request.task } };
    }

    Json operator()(const ReadAccount &request) const
    {
        return { { "kind", "read-account" }, { "task", request.task } };
    }

    Json operator()(const CancelTask &request) const
    {
        return { { "kind", "cancel-task" }, { "task", request.task }, { "reason", request.reason } };
    }

    Json operator()(const EvictTask &request) const
    {
        return { { "kind", "evict-task" },
                 { "task", request.task },
                 { "onBehalfOf", request.onBehalfOf },
                 { "onBehalfOfOwner", request.onBehalfOfOwner },
                 { "reason", request.reason } };
    }

    Json operator()(const CallService &request) const
    {
        Json json = { { "kind", "call-service" },
                      { "owner", request.owner },
                      { "service", request.service },
                      { "request", request.request },
                      { "body", request.body } };
        if (request.idempotent) {
            json["idempotent"] = *request.idempotent;
        }
        if (request.timeout) {
            json["timeoutMs"] = std::clamp<std::int64_t>(request.timeout->count(), 0, longestDurationMs);
        }
        return json;
    }

    Json operator()(const ApplyConfiguration &request) const
    {
        return { { "kind", "apply-configuration" },
                 { "change", request.change },
                 { "author", request.author },
                 { "madeAgainst", request.madeAgainst },
                 { "text", request.text } };
    }

    Json operator()(const ReadConfiguration & /*request*/) const
    {
        return { { "kind", "read-configuration" } };
    }

    Json operator()(const ReadStatus & /*request*/) const
    {
        return { { "kind", "read-status" } };
    }

    Json operator()(const ReadWorkers & /*request*/) const
    {
        return { { "kind", "read-workers" } };
    }
};

CallerRequest readSubmitTask(const Json &json)
{
    return SubmitTask { checkedField<OwnerId>(json, "owner"), checkedField<SubmissionKey>(json, "key"),
                        json.at("spec").get<TaskSpec>() };
}

CallerRequest readCancelTask(const Json &json)
{
    return CancelTask { checkedField<TaskId>(json, "task"),
                        optionalField<std::string>(json, "reason").value_or(std::string()) };
}

CallerRequest readEvictTask(const Json &json)
{
    return EvictTask { checkedField<TaskId>(json, "task"), optionalField<TaskId>(json, "onBehalfOf").value_or(TaskId()),
                       optionalField<std::string>(json, "reason").value_or(std::string()),
                       optionalField<OwnerId>(json, "onBehalfOfOwner").value_or(OwnerId()) };
}

CallerRequest readCallService(const Json &json)
{
    CallService request;
    request.owner = checkedField<OwnerId>(json, "owner");
    request.service = checkedField<ServiceName>(json, "service");
    request.request = checkedField<RequestId>(json, "request");
    request.idempotent = optionalField<bool>(json, "idempotent");
    request.body = checkedField<std::string>(json, "body");
    if (const auto timeout = optionalField<std::int64_t>(json, "timeoutMs")) {
        request.timeout = checkedDuration(*timeout);
    }
    return request;
}

CallerRequest readApplyConfiguration(const Json &json)
{
    return ApplyConfiguration { checkedField<ChangeId>(json, "change"), checkedField<std::string>(json, "author"),
                                checkedField<ConfigurationVersion>(json, "madeAgainst"),
                                checkedField<std::string>(json, "text") };
}

using Reader = CallerRequest (*)(const Json &);

const std::array<std::pair<std::string_view, Reader>, 10> readers { {
    { "submit-task", readSubmitTask },
    { "read-task",
      [](const Json &json) -> CallerRequest {
          return ReadTask { checkedField<TaskId>(json, "task") };
      } },
    { "read-account",
      [](const Json &json) -> CallerRequest {
          return ReadAccount { checkedField<TaskId>(json, "task") };
      } },
    { "cancel-task", readCancelTask },
    { "evict-task", readEvictTask },
    { "call-service", readCallService },
    { "apply-configuration", readApplyConfiguration },
    { "read-configuration",
      [](const Json & /*json*/) -> CallerRequest {
          return ReadConfiguration {};
      } },
    { "read-status",
      [](const Json & /*json*/) -> CallerRequest {
          return ReadStatus {};
      } },
    { "read-workers",
      [](const Json & /*json*/) -> CallerRequest {
          return ReadWorkers {};
      } },
} };

} // namespace

std::string_view replyCodeName(ReplyCode code)
{
    return std::ranges::find(replyCodeNames, code, [](const auto &pair) { return pair.first; })->second;
}

std::optional<ReplyCode> replyCodeFromName(std::string_view name)
{
    const auto *found = std::ranges::find(replyCodeNames, name, [](const auto &pair) { return pair.second; });
    return found == replyCodeNames.end() ? std::nullopt : std::optional(found->first);
}

nlohmann::json encodeCallerRequest(const CallerRequest &request)
{
    return std::visit(Encoder {}, request);
}

std::optional<CallerRequest> decodeCallerRequest(const nlohmann::json &json)
{
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        const auto kind = checkedField<std::string>(json, "kind");
        const auto *reader = std::ranges::find(readers, kind, [](const auto &pair) { return pair.first; });
        return reader == readers.end() ? std::nullopt : std::optional(reader->second(json));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

void to_json(nlohmann::json &json, const CallerReply &reply)
{
    json = { { "code", replyCodeName(reply.code) }, { "body", reply.body } };
}

void from_json(const nlohmann::json &json, CallerReply &reply)
{
    const std::optional<ReplyCode> code = replyCodeFromName(checkedField<std::string>(json, "code"));
    if (!code) {
        throw FieldError("expected a reply code");
    }
    reply.code = *code;
    reply.body = checkedField<std::string>(json, "body");
}

} // namespace currantring
