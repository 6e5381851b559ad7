#pragma once

#include "finding.h"
#include "hostclient.h"
#include "options.h"

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace currantring {

/** Prints a JSON answer as one line for each member or entry. */
void printAsText(const nlohmann::json &value);
/** Prints an answer, or why there is none, and gives the exit code that fits. */
ExitCode report(const HostResult &result, const HostClient &client, bool asJson);
/** Prints findings on standard error. */
ExitCode reportFindings(const Findings &findings);
/** Exit code for the word of an outcome. */
ExitCode exitCodeFor(std::string_view outcome);
/** The reason or the findings in an answer's body, or the body itself. */
std::string messageOf(const HostAnswer &answer);

} // namespace currantring
