#include "callerapi.h"

#include "jsonfields.h"

#include <charconv>
#include <limits>
#include <utility>

namespace currantring {

namespace {

constexpr std::size_t longestName = 200;
constexpr std::size_t longestReason = 1000;
constexpr std::size_t longestProgram = JsonFields::longestOrdinaryText;
constexpr std::size_t longestConfiguration = 900'000;
constexpr std::int64_t longestTimeoutMs = 3'600'000;
constexpr std::int64_t longestRunMs = 31LL * 24 * 3600 * 1000;
constexpr std::int64_t mostMillicores = 10'000'000;
constexpr std::int64_t mostMebibytes = 100'000'000;
constexpr std::int64_t mostAccelerators = 10'000;

ParsedRequest finish(const JsonFields &fields, CallerRequest request)
{
    Findings findings = fields.findings();
    if (hasErrors(findings)) {
        return tl::unexpected(std::move(findings));
    }
    return request;
}

/** Checks the task id that stands in the path. */
Findings checkTask(const std::string &task)
{
    if (isName(task, longestName)) {
        return {};
    }
    return { { "path", Severity::Error, "expected a task id of 1 to 200 printable ASCII bytes" } };
}

ParsedRequest finishForTask(const std::string &task, const JsonFields &fields, CallerRequest request)
{
    Findings findings = checkTask(task);
    for (Finding &finding : fields.findings()) {
        findings.push_back(std::move(finding));
    }
    if (hasErrors(findings)) {
        return tl::unexpected(std::move(findings));
    }
    return request;
}

TaskKind parseKind(JsonFields &fields)
{
    const std::string kind = fields.name("kind", longestName);
    if (kind == "watcher") {
        return TaskKind::Watcher;
    }
    if (!kind.empty() && kind != "batch") {
        fields.addFinding("kind", R"(expected "batch" or "watcher", saw ")" + kind + '"');
    }
    return TaskKind::Batch;
}

/** What holds of batch tasks only. */
void parseEnd(JsonFields &fields, TaskSpec &spec, WallTime now)
{
    if (spec.kind == TaskKind::Batch) {
        spec.deadline = WallTime(now.value() + fields.requiredInteger("deadlineMs", 1, longestRunMs));
        spec.declaredRunTime = Milliseconds(fields.requiredInteger("runMs", 1, longestRunMs));
        return;
    }
    for (const std::string_view member : { "deadlineMs", "runMs" }) {
        if (fields.integer(member, 0, longestRunMs).value_or(0) != 0) {
            fields.addFinding(member, "a watcher runs until it is cancelled and takes none");
        }
    }
}

std::optional<Milliseconds> parseTimeout(const std::optional<std::string> &text, Findings &findings)
{
    if (!text) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const char *end = text->data() + text->size();
    const auto [rest, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc() || rest != end || value < 1 || value > longestTimeoutMs) {
        findings.push_back({ "header Currantring-Timeout-Ms", Severity::Error,
                             "expected an integer from 1 to 3600000, saw \"" + text->substr(0, 40) + '"' });
        return std::nullopt;
    }
    return Milliseconds(value);
}

std::optional<bool> parseIdempotent(const std::optional<std::string> &text, Findings &findings)
{
    if (!text) {
        return std::nullopt;
    }
    if (*text != "yes" && *text != "no") {
        findings.push_back({ "header Currantring-Idempotent", Severity::Error,
                             "expected yes or no, saw \"" + text->substr(0, 40) + '"' });
        return std::nullopt;
    }
    return *text == "yes";
}

} // namespace

ParsedRequest parseServiceCall(const ServiceCallInput &input)
{
    Findings findings;
    if (!isName(input.service, longestName)) {
        findings.push_back({ "path", Severity::Error, "expected a service name of 1 to 200 printable ASCII bytes" });
    }
    if (!input.owner || !isName(*input.owner, longestName)) {
        findings.push_back(
            { "header Currantring-Owner", Severity::Error, "expected an owner id of 1 to 200 printable ASCII bytes" });
    }
    if (input.request && !isName(*input.request, longestName)) {
        findings.push_back({ "header Currantring-Request-Id", Severity::Error,
                             "expected a request id of 1 to 200 printable ASCII bytes" });
    }
    CallService call;
    call.timeout = parseTimeout(input.timeoutMs, findings);
    call.idempotent = parseIdempotent(input.idempotent, findings);
    if (hasErrors(findings)) {
        return tl::unexpected(std::move(findings));
    }
    call.service = ServiceName(input.service);
    call.owner = OwnerId(*input.owner);
    call.request = RequestId(input.request.value_or(""));
    call.body = input.body;
    return call;
}

ParsedRequest parseSubmission(std::string_view body, WallTime now)
{
    JsonFields fields(body);
    SubmitTask submit;
    submit.owner = OwnerId(fields.name("owner", longestName));
    submit.key = SubmissionKey(fields.name("key", longestName));
    submit.spec.kind = parseKind(fields);
    submit.spec.urgent = fields.flag("urgent", false);
    submit.spec.declared.processors = Millicores(fields.requiredInteger("millicores", 1, mostMillicores));
    submit.spec.declared.memory = Mebibytes(fields.requiredInteger("mebibytes", 1, mostMebibytes));
    submit.spec.declared.accelerators =
        AcceleratorCount(fields.integer("accelerators", 0, mostAccelerators).value_or(0));
    parseEnd(fields, submit.spec, now);
    submit.spec.program = fields.requiredText("program", longestProgram);
    return finish(fields, std::move(submit));
}

ParsedRequest parseCancellation(const std::string &task, std::string_view body)
{
    JsonFields fields(body);
    CancelTask cancel { TaskId(task), fields.requiredText("reason", longestReason) };
    return finishForTask(task, fields, std::move(cancel));
}

ParsedRequest parseEviction(const std::string &task, std::string_view body)
{
    JsonFields fields(body);
    EvictTask evict;
    evict.task = TaskId(task);
    evict.reason = fields.requiredText("reason", longestReason);
    evict.onBehalfOf = TaskId(fields.text("onBehalfOf", longestName).value_or(""));
    return finishForTask(task, fields, std::move(evict));
}

ParsedRequest parseConfigurationChange(std::string_view body)
{
    JsonFields fields(body, longestConfiguration);
    ApplyConfiguration change;
    change.change = ChangeId(fields.name("change", longestName));
    change.author = fields.name("author", longestName);
    change.madeAgainst = ConfigurationVersion(
        static_cast<std::uint64_t>(fields.requiredInteger("madeAgainst", 0, std::numeric_limits<std::int64_t>::max())));
    change.text = fields.requiredText("text", longestConfiguration);
    return finish(fields, std::move(change));
}

ParsedRequest parseTaskRead(const std::string &task)
{
    return finishForTask(task, JsonFields({}), ReadTask { TaskId(task) });
}

ParsedRequest parseAccountRead(const std::string &task)
{
    return finishForTask(task, JsonFields({}), ReadAccount { TaskId(task) });
}

int httpStatus(ReplyCode code)
{
    switch (code) {
    case ReplyCode::Ok:
        return 200;
    case ReplyCode::Invalid:
        return 400;
    case ReplyCode::NotFound:
        return 404;
    case ReplyCode::Conflict:
        return 409;
    case ReplyCode::OutcomeUnknown:
        return 502;
    case ReplyCode::NotRun:
    case ReplyCode::NotYetKnown:
        return 503;
    }
    return 500;
}

std::string outcomeBody(ReplyCode code, std::string_view reason)
{
    return nlohmann::json { { "outcome", replyCodeName(code) }, { "reason", reason } }.dump();
}

std::string findingsBody(const Findings &findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Finding &finding : findings) {
        list.push_back({ { "place", finding.place }, { "message", finding.message } });
    }
    const nlohmann::json body { { "outcome", replyCodeName(ReplyCode::Invalid) }, { "findings", list } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace currantring
