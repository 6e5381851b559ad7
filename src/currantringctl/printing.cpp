#include "printing.h"

#include <iostream>

namespace currantring {

namespace {

std::string scalar(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printEntry(const nlohmann::json &entry)
{
    if (!entry.is_object()) {
        std::cout << "  " << scalar(entry) << '\n';
        return;
    }
    std::string line = " ";
    for (const auto &[name, value] : entry.items()) {
        line += ' ' + name + '=' + scalar(value);
    }
    std::cout << line << '\n';
}

} // namespace

void printAsText(const nlohmann::json &value)
{
    if (value.is_array()) {
        for (const nlohmann::json &entry : value) {
            printEntry(entry);
        }
        return;
    }
    if (!value.is_object()) {
        std::cout << scalar(value) << '\n';
        return;
    }
    for (const auto &[name, member] : value.items()) {
        if (member.is_array()) {
            std::cout << name << ":\n";
            printAsText(member);
        } else {
            std::cout << name << ": " << scalar(member) << '\n';
        }
    }
}

ExitCode exitCodeFor(std::string_view outcome)
{
    if (outcome == "ok") {
        return ExitCode::Ok;
    }
    if (outcome == "invalid") {
        return ExitCode::BadInput;
    }
    if (outcome == "not-found" || outcome == "not-run" || outcome == "conflict") {
        return ExitCode::Refused;
    }
    return ExitCode::NotKnown;
}

std::string messageOf(const HostAnswer &answer)
{
    const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    if (body.is_object() && body.contains("reason")) {
        return scalar(body["reason"]);
    }
    if (body.is_object() && body.contains("findings") && body["findings"].is_array()) {
        std::string text;
        for (const nlohmann::json &finding : body["findings"]) {
            if (!finding.is_object()) {
                continue;
            }
            text += (text.empty() ? "" : "; ") + finding.value("place", std::string("?")) + ": "
                + finding.value("message", std::string("?"));
        }
        return text;
    }
    return answer.body;
}

ExitCode report(const HostResult &result, const HostClient &client, bool asJson)
{
    if (!result) {
        std::cerr << client.address()
                  << (result.error() == NoAnswer::NotSent ? ": can't be reached; nothing was done\n"
                                                          : ": gave no whole answer; the outcome isn't known\n");
        return ExitCode::NotKnown;
    }
    const ExitCode code = exitCodeFor(result->outcome);
    if (code != ExitCode::Ok) {
        std::cerr << result->outcome << ": " << messageOf(*result) << '\n';
    }
    if (asJson) {
        std::cout << result->body << '\n';
    } else if (code == ExitCode::Ok) {
        const nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
        if (body.is_discarded()) {
            std::cout << result->body << '\n';
        } else {
            printAsText(body);
        }
    }
    return code;
}

ExitCode reportFindings(const Findings &findings)
{
    for (const Finding &finding : findings) {
        std::cerr << formatFinding(finding) << '\n';
    }
    return ExitCode::BadInput;
}

} // namespace currantring
