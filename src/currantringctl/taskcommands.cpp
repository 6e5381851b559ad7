#include "commands.h"
#include "printing.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <thread>

namespace currantring {

namespace {

constexpr Milliseconds pollInterval { 200 };

HostClient callersHost(const Settings &settings)
{
    return { settings.text("callers"), settings.duration("timeout-ms") };
}

HostClient operatorsHost(const Settings &settings)
{
    return { settings.text("server"), settings.duration("timeout-ms") };
}

ExitCode readTask(const Settings &settings, const std::string &suffix)
{
    Needs needs(settings);
    const std::string task = needs.word("TASK");
    if (!needs.findings().empty()) {
        return reportFindings(needs.findings());
    }
    const HostClient client = callersHost(settings);
    return report(client.get("/v1/tasks/" + pathSegment(task) + suffix), client, settings.flag("json"));
}

/** Text from the flag @p flag, or from the file that @p fileFlag names. */
std::string textOrFile(const Settings &settings, Needs &needs, std::string_view flag, std::string_view fileFlag)
{
    const std::string path = settings.text(fileFlag);
    if (path.empty()) {
        return settings.text(flag);
    }
    const tl::expected<std::string, Finding> content = readFile(path);
    if (!content) {
        needs.add(content.error());
        return {};
    }
    return *content;
}

/** The host checks the values; here only what can't be sent is found. */
nlohmann::json makeSubmission(const Settings &settings, Needs &needs)
{
    nlohmann::json body { { "owner", needs.text("owner") },
                          { "key", needs.text("key") },
                          { "kind", settings.text("kind") },
                          { "urgent", settings.flag("urgent") },
                          { "millicores", settings.integer("millicores") },
                          { "mebibytes", settings.integer("mebibytes") },
                          { "accelerators", settings.integer("accelerators") },
                          { "program", textOrFile(settings, needs, "program", "program-file") } };
    for (const auto &[flag, member] : { std::pair("deadline-ms", "deadlineMs"), std::pair("run-ms", "runMs") }) {
        if (settings.isGiven(flag)) {
            body[member] = settings.integer(flag);
        }
    }
    if (body["program"].get_ref<const std::string &>().empty()) {
        needs.add({ "--program", Severity::Error, "expected it or --program-file, saw none" });
    }
    return body;
}

/** The final states of charts/task.scxml that a caller can see. */
bool hasEnded(const nlohmann::json &task)
{
    constexpr std::array<std::string_view, 5> endStates { "succeeded", "failed", "cancelled", "expired",
                                                          "unplaceable" };
    return std::ranges::find(endStates, task.value("state", std::string())) != endStates.end();
}

} // namespace

ExitCode runSubmit(const Settings &settings)
{
    Needs needs(settings);
    const nlohmann::json body = makeSubmission(settings, needs);
    if (!needs.findings().empty()) {
        return reportFindings(needs.findings());
    }
    const HostClient client = callersHost(settings);
    const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return report(client.post("/v1/tasks", text), client, settings.flag("json"));
}

ExitCode runStatus(const Settings &settings)
{
    if (settings.positional().size() > 1) {
        return readTask(settings, "");
    }
    const HostClient client = operatorsHost(settings);
    return report(client.get("/v1/status"), client, settings.flag("json"));
}

ExitCode runAccount(const Settings &settings)
{
    return readTask(settings, "/account");
}

ExitCode runCancel(const Settings &settings)
{
    Needs needs(settings);
    const std::string task = needs.word("TASK");
    const nlohmann::json body { { "reason", needs.text("reason") } };
    if (!needs.findings().empty()) {
        return reportFindings(needs.findings());
    }
    const HostClient client = callersHost(settings);
    return report(client.post("/v1/tasks/" + pathSegment(task) + "/cancel", body.dump()), client,
                  settings.flag("json"));
}

ExitCode runEvict(const Settings &settings)
{
    Needs needs(settings);
    const std::string task = needs.word("TASK");
    nlohmann::json body { { "reason", needs.text("reason") } };
    if (!needs.findings().empty()) {
        return reportFindings(needs.findings());
    }
    if (const std::string other = settings.text("on-behalf-of"); !other.empty()) {
        body["onBehalfOf"] = other;
    }
    const HostClient client = operatorsHost(settings);
    return report(client.post("/v1/tasks/" + pathSegment(task) + "/evict", body.dump()), client, settings.flag("json"));
}

ExitCode runWait(const Settings &settings)
{
    Needs needs(settings);
    const std::string task = needs.word("TASK");
    if (!needs.findings().empty()) {
        return reportFindings(needs.findings());
    }
    const HostClient client = callersHost(settings);
    const auto until = std::chrono::steady_clock::now() + settings.duration("timeout-ms");
    HostResult result = client.get("/v1/tasks/" + pathSegment(task));
    while (std::chrono::steady_clock::now() < until) {
        const bool mayChange = !result || exitCodeFor(result->outcome) == ExitCode::NotKnown;
        if (!mayChange && result->outcome != "ok") {
            break;
        }
        const nlohmann::json body = result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
        if (body.is_object() && result->outcome == "ok" && hasEnded(body)) {
            const ExitCode code = report(result, client, settings.flag("json"));
            return body.value("state", std::string()) == "succeeded" ? code : ExitCode::Refused;
        }
        std::this_thread::sleep_for(pollInterval);
        result = client.get("/v1/tasks/" + pathSegment(task));
    }
    const ExitCode code = report(result, client, settings.flag("json"));
    return code == ExitCode::Ok ? ExitCode::NotKnown : code;
}

ExitCode runCall(const Settings &settings)
{
    Needs needs(settings);
    const std::string service = needs.word("SERVICE");
    HostClient::Headers headers { { "Currantring-Owner", needs.text("owner") } };
    const std::string body = textOrFile(settings, needs, "body", "body-file");
    if (!needs.findings().empty()) {
        return reportFindings(needs.findings());
    }
    if (settings.isGiven("timeout-ms")) {
        headers["Currantring-Timeout-Ms"] = std::to_string(settings.integer("timeout-ms"));
    }
    if (const std::string request = settings.text("request-id"); !request.empty()) {
        headers["Currantring-Request-Id"] = request;
    }
    if (const std::string idempotent = settings.text("idempotent"); !idempotent.empty()) {
        headers["Currantring-Idempotent"] = idempotent;
    }
    // The host answers with a verdict when the time is up; it needs a moment more to do so.
    constexpr Milliseconds verdictTime { 1000 };
    const HostClient client(settings.text("callers"), settings.duration("timeout-ms") + verdictTime);
    const HostResult result = client.post("/v1/services/" + pathSegment(service), body, headers);
    if (result && result->outcome == "ok") {
        // The answer is opaque and printed as it is.
        std::cout << result->body;
        return ExitCode::Ok;
    }
    return report(result, client, settings.flag("json"));
}

ExitCode runWorkers(const Settings &settings)
{
    const HostClient client = operatorsHost(settings);
    return report(client.get("/v1/workers"), client, settings.flag("json"));
}

} // namespace currantring
