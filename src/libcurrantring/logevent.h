#pragma once

#include <string>
#include <utility>
#include <vector>

namespace currantring {

/** Importance of a log line. */
enum class LogLevel { Debug, Info, Warning, Error };

/**
 * One event for the log, printed as one line `event=name key=value …`.
 *
 * Decision code returns these instead of writing them.
 */
struct LogEvent
{
    LogLevel level = LogLevel::Info;
    /** Constant event name in snake case. */
    std::string name;
    /** Keys and values in printing order; values with blanks are quoted when printed. */
    std::vector<std::pair<std::string, std::string>> fields;
};

} // namespace currantring
