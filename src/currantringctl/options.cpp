#include "options.h"

#include <utility>

namespace currantring {

namespace {

OptionSpec text(std::string_view name, std::string_view help)
{
    return { name, OptionKind::Text, "", 0, 0, "", false, help };
}

OptionSpec integer(std::string_view name, std::string_view unit, std::int64_t maximum, std::string_view builtIn,
                   std::string_view help)
{
    return { name, OptionKind::Integer, unit, 0, maximum, builtIn, false, help };
}

OptionSpec flag(std::string_view name, std::string_view help)
{
    return { name, OptionKind::Flag, "", 0, 0, "", false, help };
}

constexpr std::int64_t longestTime = 3'600'000;
constexpr std::int64_t longestRun = 31LL * 24 * 3600 * 1000;

std::vector<OptionSpec> makeOptions()
{
    return {
        { "server", OptionKind::AddressAndPort, "", 0, 0, "127.0.0.1:7401", false,
          "operators' address of any entry host" },
        { "callers", OptionKind::AddressAndPort, "", 0, 0, "127.0.0.1:7400", false,
          "callers' address of any entry host" },
        flag("json", "print answers as the host gave them"),
        integer("timeout-ms", "ms", longestTime, "10000", "longest wait for the answer; of wait: for the end"),
        text("author", "apply: who makes the change"),
        integer("against", "", 1'000'000'000, "0", "apply: version that the change was made against, 0 for the first"),
        text("change", "apply: id of the change; repeat it to learn the fate of an earlier try"),
        text("effective", "show: only this setting"),
        text("scope", "show: value for owner:ID, service:NAME, worker:ID or dataCentre:ID"),
        text("owner", "submit, call: on whose behalf"),
        text("key", "submit: the same key again gives the same task"),
        { "kind", OptionKind::Text, "", 0, 0, "batch", false, "submit: batch or watcher" },
        flag("urgent", "submit: the work can't wait for a group commit"),
        integer("millicores", "", 10'000'000, "1000", "submit: declared processors"),
        integer("mebibytes", "", 100'000'000, "128", "submit: declared memory"),
        integer("accelerators", "", 10'000, "0", "submit: declared accelerators"),
        integer("deadline-ms", "ms", longestRun, "0", "submit: a batch task must have ended by then, from now"),
        integer("run-ms", "ms", longestRun, "0", "submit: declared run time of a batch task"),
        text("program", "submit: what the worker runs"),
        text("program-file", "submit: file with what the worker runs"),
        text("reason", "cancel, evict: why, for the task's account"),
        text("on-behalf-of", "evict: task for which the other is moved"),
        text("body", "call: body of the request"),
        text("body-file", "call: file with the body of the request"),
        text("request-id", "call: id of the request"),
        text("idempotent", "call: yes or no; the service's setting when it isn't given"),
    };
}

} // namespace

const std::vector<OptionSpec> &toolOptions()
{
    static const std::vector<OptionSpec> options = makeOptions();
    return options;
}

std::string_view toolSummary()
{
    return R"(Declares configuration, and submits and follows work.

Commands:
  check FILE       checks a configuration document without any host
  diff FILE        compares the document with the one in force
  apply FILE       puts the document in force: --author, --against, --change
  show             prints the configuration in force: --effective, --scope
  submit           submits a task: --owner, --key, --kind, --program, ...
  status [TASK]    prints the state of a task, or of the hosts
  account TASK     prints the numbered entries of a task
  cancel TASK      cancels a task: --reason
  evict TASK       moves a task to another worker: --reason, --on-behalf-of
  wait TASK        waits for the end of a task: --timeout-ms
  call SERVICE     calls a service: --owner, --body, --idempotent
  workers          prints the workers

Exit codes:
  0  done
  1  the host answered with a refusal; of wait: the task didn't succeed
  2  the command line or the file has findings
  3  the host can't be reached, or the outcome isn't known yet
)";
}

Needs::Needs(const Settings &settings)
    : m_settings(settings)
{
}

std::string Needs::text(std::string_view flag)
{
    std::string value = m_settings.text(flag);
    if (value.empty()) {
        m_findings.push_back({ "--" + std::string(flag), Severity::Error, "expected a value, saw none" });
    }
    return value;
}

std::int64_t Needs::integer(std::string_view flag)
{
    if (!m_settings.isGiven(flag)) {
        m_findings.push_back({ "--" + std::string(flag), Severity::Error, "expected a value, saw none" });
    }
    return m_settings.integer(flag);
}

std::string Needs::word(std::string_view what)
{
    const std::vector<std::string> &words = m_settings.positional();
    if (words.size() < 2 || words[1].empty()) {
        m_findings.push_back({ std::string(what), Severity::Error, "expected after the command, saw none" });
        return {};
    }
    return words[1];
}

void Needs::add(Finding finding)
{
    m_findings.push_back(std::move(finding));
}

const Findings &Needs::findings() const
{
    return m_findings;
}

} // namespace currantring
