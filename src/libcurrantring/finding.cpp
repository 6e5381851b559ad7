#include "finding.h"

#include <algorithm>

namespace currantring {

bool hasErrors(const Findings &findings)
{
    return std::ranges::any_of(findings, [](const Finding &finding) { return finding.severity == Severity::Error; });
}

std::string formatFinding(const Finding &finding)
{
    const std::string_view severity = finding.severity == Severity::Error ? "error" : "warning";
    return finding.place + ": " + std::string(severity) + ": " + finding.message;
}

} // namespace currantring
