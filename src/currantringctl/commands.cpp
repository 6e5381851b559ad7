#include "commands.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace currantring {

namespace {

constexpr std::array<Command, 12> commands { {
    { "check", runCheck, 1 },
    { "diff", runDiff, 1 },
    { "apply", runApply, 1 },
    { "show", runShow, 0 },
    { "submit", runSubmit, 0 },
    { "status", runStatus, 1 },
    { "account", runAccount, 1 },
    { "cancel", runCancel, 1 },
    { "evict", runEvict, 1 },
    { "wait", runWait, 1 },
    { "call", runCall, 1 },
    { "workers", runWorkers, 0 },
} };

} // namespace

const Command *findCommand(std::string_view name)
{
    const auto *const found =
        std::find_if(commands.begin(), commands.end(), [name](const Command &command) { return command.name == name; });
    return found == commands.end() ? nullptr : found;
}

tl::expected<std::string, Finding> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf())) {
        return tl::unexpected(Finding {
            path, Severity::Error, std::string("expected a readable file that isn't empty: ") + std::strerror(errno) });
    }
    return content.str();
}

} // namespace currantring
