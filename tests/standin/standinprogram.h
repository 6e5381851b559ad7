#pragma once

#include "taskspec.h"

#include <optional>
#include <string>

namespace currantring {

/** What the text of a task makes it do on the stand-in. */
struct StandinProgram
{
    /** Work steps of 1 ms of unthrottled run time until it ends; nullopt runs for ever. */
    std::optional<std::int64_t> steps;
    bool fails = false;
    /** True need, which may differ from the declared one. */
    Resources used;
    /** Detail of the ended attempt. */
    std::string result;
};

/**
 * Reads `{"runMs": 500, "fail": false, "usedMillicores": 800, "usedMebibytes": 64, "result": "text"}`, each member
 * optional. Text that is no such object runs for its declared time and gives no result.
 *
 * Thread safety: reentrant.
 */
StandinProgram readStandinProgram(const TaskSpec &spec);

} // namespace currantring
