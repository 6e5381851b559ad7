#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace currantring {

/** How bad a finding is; only errors refuse the input. */
enum class Severity { Warning, Error };

/** One fault in what a person supplied, with the place where it stands. */
struct Finding
{
    /** Flag, environment variable, or `file:line:column`. */
    std::string place;
    Severity severity = Severity::Error;
    /** What was expected and what was seen. */
    std::string message;

    bool operator==(const Finding &) const = default;
};

/** Findings in the order in which they were met; all are reported together. */
using Findings = std::vector<Finding>;

/** Whether @p findings holds an error. Thread safety: reentrant. */
bool hasErrors(const Findings &findings);
/** One line `place: severity: message`. Thread safety: reentrant. */
std::string formatFinding(const Finding &finding);

} // namespace currantring
