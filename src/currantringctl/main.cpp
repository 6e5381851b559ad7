#include "commands.h"
#include "printing.h"
#include "settings.h"

#include <iostream>

using namespace currantring;

namespace {

ExitCode runTool(int argc, const char *const *argv)
{
    Settings settings("currantringctl", toolSummary(), toolOptions());
    switch (settings.read(argc, argv)) {
    case Settings::Outcome::PrintedHelp:
    case Settings::Outcome::PrintedVersion:
        std::cout << settings.output();
        return ExitCode::Ok;
    case Settings::Outcome::Invalid:
        return reportFindings(settings.findings());
    case Settings::Outcome::Run:
        break;
    }
    const std::vector<std::string> &words = settings.positional();
    if (words.empty()) {
        return reportFindings({ { "command", Severity::Error, "expected a command, saw none; see --help" } });
    }
    const Command *command = findCommand(words.front());
    if (command == nullptr) {
        return reportFindings({ { words.front(), Severity::Error, "expected a command; see --help" } });
    }
    if (words.size() > command->words + 1) {
        return reportFindings(
            { { words.back(), Severity::Error,
                "expected at most " + std::to_string(command->words) + " words after " + words.front() } });
    }
    return command->run(settings);
}

} // namespace

int main(int argc, char **argv)
{
    return static_cast<int>(runTool(argc, argv));
}
