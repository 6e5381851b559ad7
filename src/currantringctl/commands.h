#pragma once

#include "options.h"
#include "settings.h"

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace currantring {

/** One command of the tool. */
struct Command
{
    std::string_view name;
    ExitCode (*run)(const Settings &settings);
    /** Words that may follow the name. */
    std::size_t words = 0;
};

/** The command called @p name, or null. Thread safety: reentrant. */
const Command *findCommand(std::string_view name);

/** Reads a whole file, or gives a finding that names it. */
tl::expected<std::string, Finding> readFile(const std::string &path);

ExitCode runCheck(const Settings &settings);
ExitCode runDiff(const Settings &settings);
ExitCode runApply(const Settings &settings);
ExitCode runShow(const Settings &settings);
ExitCode runSubmit(const Settings &settings);
ExitCode runStatus(const Settings &settings);
ExitCode runAccount(const Settings &settings);
ExitCode runCancel(const Settings &settings);
ExitCode runEvict(const Settings &settings);
ExitCode runWait(const Settings &settings);
ExitCode runCall(const Settings &settings);
ExitCode runWorkers(const Settings &settings);

} // namespace currantring
