#include "commands.h"
#include "configuration.h"
#include "linediff.h"
#include "printing.h"

#include <algorithm>
#include <iostream>
#include <random>

namespace currantring {

namespace {

constexpr std::string_view configurationPath = "/v1/configuration";

HostClient operatorsHost(const Settings &settings)
{
    return { settings.text("server"), settings.duration("timeout-ms") };
}

/** A checked document from a file. */
tl::expected<Configuration, Findings> readDocument(const std::string &path)
{
    const tl::expected<std::string, Finding> text = readFile(path);
    if (!text) {
        return tl::unexpected(Findings { text.error() });
    }
    return Configuration::parse(*text, path);
}

tl::expected<nlohmann::json, ExitCode> readInForce(const HostClient &client)
{
    const HostResult result = client.get(std::string(configurationPath));
    if (!result || result->outcome != "ok") {
        return tl::unexpected(report(result, client, false));
    }
    nlohmann::json record = nlohmann::json::parse(result->body, nullptr, false);
    if (!record.is_object() || !record.contains("text") || !record["text"].is_string()) {
        std::cerr << client.address() << ": gave an answer that is no configuration\n";
        return tl::unexpected(ExitCode::NotKnown);
    }
    return record;
}

std::string makeChangeId()
{
    std::random_device device;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id = "change-";
    for (int index = 0; index < 16; ++index) {
        id += digits[device() % digits.size()];
    }
    return id;
}

ExitCode sayNotKnown(const std::string &change)
{
    std::cout << "not known yet: run again with --change " << change << '\n';
    return ExitCode::NotKnown;
}

/** After a lost answer: what is in force may tell whether the change was accepted. */
ExitCode settleLostAnswer(const HostClient &client, const std::string &change)
{
    const HostResult result = client.get(std::string(configurationPath));
    const nlohmann::json record = result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
    if (record.is_object() && record.value("change", std::string()) == change) {
        std::cout << "accepted as version " << record.value("version", nlohmann::json()).dump() << '\n';
        return ExitCode::Ok;
    }
    return sayNotKnown(change);
}

/** A conflict carries the change that came first. */
std::string describeRefusal(const HostAnswer &answer)
{
    const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.outcome == "conflict" && body.is_object() && body.contains("version")) {
        return "version " + body["version"].dump() + " by " + body.value("author", std::string("?")) + " came first";
    }
    return messageOf(answer);
}

ExitCode sayOutcome(const HostResult &result, const HostClient &client, const std::string &change)
{
    if (!result) {
        if (result.error() == NoAnswer::NotSent) {
            std::cout << "not accepted: " << client.address() << " can't be reached\n";
            return ExitCode::NotKnown;
        }
        return settleLostAnswer(client, change);
    }
    const ExitCode code = exitCodeFor(result->outcome);
    if (code == ExitCode::Ok) {
        const nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
        std::cout << "accepted as version " << (body.is_object() ? body.value("version", nlohmann::json()).dump() : "?")
                  << '\n';
    } else if (code == ExitCode::NotKnown) {
        return sayNotKnown(change);
    } else {
        std::cout << "not accepted: " << describeRefusal(*result) << '\n';
    }
    return code;
}

tl::expected<Scope, Finding> parseScope(const std::string &text)
{
    Scope scope;
    const std::size_t colon = text.find(':');
    const std::string kind = text.substr(0, colon);
    const std::string id = colon == std::string::npos ? "" : text.substr(colon + 1);
    if (kind == "owner" && !id.empty()) {
        scope.owner = OwnerId(id);
    } else if (kind == "service" && !id.empty()) {
        scope.service = ServiceName(id);
    } else if (kind == "worker" && !id.empty()) {
        scope.worker = WorkerId(id);
    } else if (kind == "dataCentre" && !id.empty()) {
        scope.dataCentre = DataCentreId(id);
    } else if (!text.empty()) {
        return tl::unexpected(Finding { "--scope", Severity::Error,
                                        "expected owner:ID, service:NAME, worker:ID or dataCentre:ID, saw " + text });
    }
    return scope;
}

void printEffective(const Configuration &configuration, const SettingSpec &spec, const Scope &scope)
{
    const EffectiveValue value = configuration.effective(spec.setting, scope);
    std::cout << spec.name << " = " << value.value;
    if (!spec.unit.empty()) {
        std::cout << ' ' << spec.unit;
    }
    std::cout << " (" << value.source << (value.reason.empty() ? "" : ": " + value.reason) << ")\n";
}

ExitCode showEffective(const Settings &settings, const std::string &text)
{
    const tl::expected<Configuration, Findings> configuration = Configuration::parse(text, "in force");
    if (!configuration) {
        return reportFindings(configuration.error());
    }
    const tl::expected<Scope, Finding> scope = parseScope(settings.text("scope"));
    const std::string wanted = settings.text("effective");
    bool found = wanted.empty();
    Findings findings;
    if (!scope) {
        findings.push_back(scope.error());
    }
    for (const SettingSpec &spec : fleetSettings()) {
        if (scope && (wanted.empty() || spec.name == wanted)) {
            printEffective(*configuration, spec, *scope);
        }
        found = found || spec.name == wanted;
    }
    if (!found) {
        findings.push_back({ "--effective", Severity::Error, "expected the name of a setting, saw " + wanted });
    }
    return findings.empty() ? ExitCode::Ok : reportFindings(findings);
}

/** The document in @p path, or the findings of the command line, or else those of the document. */
tl::expected<Configuration, Findings> readDocument(const Needs &needs, const std::string &path)
{
    if (!needs.findings().empty()) {
        return tl::unexpected(needs.findings());
    }
    return readDocument(path);
}

} // namespace

ExitCode runCheck(const Settings &settings)
{
    Needs needs(settings);
    const std::string path = needs.word("FILE");
    const tl::expected<Configuration, Findings> document = readDocument(needs, path);
    if (!document) {
        return reportFindings(document.error());
    }
    std::cout << path << ": ok, " << document->owners().size() << " owners, " << document->services().size()
              << " services, " << document->exceptions().size() << " exceptions\n";
    return ExitCode::Ok;
}

ExitCode runDiff(const Settings &settings)
{
    Needs needs(settings);
    const std::string path = needs.word("FILE");
    const tl::expected<Configuration, Findings> document = readDocument(needs, path);
    if (!document) {
        return reportFindings(document.error());
    }
    const tl::expected<nlohmann::json, ExitCode> record = readInForce(operatorsHost(settings));
    if (!record) {
        return record.error();
    }
    const std::string lines = diffLines(record->at("text").get<std::string>(), document->text());
    std::cout << "version " << record->value("version", nlohmann::json()).dump() << " against " << path << '\n'
              << (lines.empty() ? "no difference\n" : lines);
    return ExitCode::Ok;
}

ExitCode runApply(const Settings &settings)
{
    Needs needs(settings);
    const std::string path = needs.word("FILE");
    const std::string author = needs.text("author");
    const std::int64_t against = needs.integer("against");
    Findings findings = needs.findings();
    tl::expected<Configuration, Findings> document;
    if (!path.empty()) {
        document = readDocument(path);
        if (!document) {
            findings.insert(findings.end(), document.error().begin(), document.error().end());
        }
    }
    if (!findings.empty()) {
        return reportFindings(findings);
    }
    const std::string given = settings.text("change");
    const std::string change = given.empty() ? makeChangeId() : given;
    const HostClient client = operatorsHost(settings);
    const nlohmann::json body {
        { "change", change }, { "author", author }, { "madeAgainst", against }, { "text", document->text() }
    };
    const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return sayOutcome(client.post(std::string(configurationPath), text), client, change);
}

ExitCode runShow(const Settings &settings)
{
    const HostClient client = operatorsHost(settings);
    if (settings.flag("json")) {
        return report(client.get(std::string(configurationPath)), client, true);
    }
    const tl::expected<nlohmann::json, ExitCode> record = readInForce(client);
    if (!record) {
        return record.error();
    }
    if (!settings.text("effective").empty() || !settings.text("scope").empty()) {
        return showEffective(settings, record->at("text").get<std::string>());
    }
    for (const char *member : { "version", "change", "author" }) {
        const nlohmann::json value = record->value(member, nlohmann::json());
        std::cout << member << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << '\n';
    }
    std::cout << "document:\n" << record->at("text").get<std::string>();
    return ExitCode::Ok;
}

} // namespace currantring
