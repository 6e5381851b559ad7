#pragma once

#include "settings.h"

#include <string_view>
#include <vector>

namespace currantring {

/** Exit codes of currantringctl, as its help lists them. */
enum class ExitCode {
    Ok = 0,
    /** The host answered with a refusal, or the thing asked for doesn't exist. */
    Refused = 1,
    /** The command line or the input file has findings. */
    BadInput = 2,
    /** The host can't be reached, or the outcome isn't known. */
    NotKnown = 3,
};

/** The tool's flags. Thread safety: reentrant. */
const std::vector<OptionSpec> &toolOptions();
/** What the help says above the flags: commands and exit codes. */
std::string_view toolSummary();

/** Collects what is missing from a command line so that all of it is reported together. */
class Needs
{
public:
    /** Precondition: @p settings outlives the object. */
    explicit Needs(const Settings &settings);

    /** Value of a flag without which the command makes no sense. */
    std::string text(std::string_view flag);
    std::int64_t integer(std::string_view flag);
    /** The word after the command; @p what names it in the finding. */
    std::string word(std::string_view what);
    void add(Finding finding);
    [[nodiscard]] const Findings &findings() const;

private:
    const Settings &m_settings;
    Findings m_findings;
};

} // namespace currantring
