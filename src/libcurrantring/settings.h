#pragma once

#include "finding.h"
#include "units.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantring {

/** Kind of value that a process setting takes. */
enum class OptionKind { Text, Integer, AddressAndPort, AddressList, Flag };

/** One process setting: flag `--name`, environment variable `CURRANTRING_NAME`. */
struct OptionSpec
{
    std::string_view name;
    OptionKind kind = OptionKind::Text;
    std::string_view unit;
    /** Range of an Integer. */
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /** Default; empty and required means that one must be given. */
    std::string_view builtIn;
    bool required = false;
    std::string_view help;
};

/**
 * The settings of one process, taken from flags, then the environment, then defaults.
 *
 * Immutable after reading. Thread safety: reading methods are reentrant.
 */
class Settings
{
public:
    /** What reading the command line led to. */
    enum class Outcome { Run, PrintedHelp, PrintedVersion, Invalid };

    /** @p specs must outlive the object. */
    Settings(std::string_view program, std::string_view summary, const std::vector<OptionSpec> &specs);

    /**
     * Reads @p argv over the environment. On Invalid, findings() holds every mistake with its flag or variable;
     * on PrintedHelp or PrintedVersion the text is in output().
     */
    Outcome read(int argc, const char *const *argv);

    [[nodiscard]] const Findings &findings() const;
    [[nodiscard]] const std::string &output() const;
    /** Words that are no flags, in order. */
    [[nodiscard]] const std::vector<std::string> &positional() const;
    /** Precondition for all: @p name is in the specs and read() returned Run. */
    [[nodiscard]] std::string text(std::string_view name) const;
    [[nodiscard]] std::int64_t integer(std::string_view name) const;
    [[nodiscard]] Milliseconds duration(std::string_view name) const;
    [[nodiscard]] bool flag(std::string_view name) const;
    [[nodiscard]] std::vector<std::string> list(std::string_view name) const;
    /** Whether a flag or variable gave the value. */
    [[nodiscard]] bool isGiven(std::string_view name) const;

private:
    void readOption(const OptionSpec &spec, const std::map<std::string, std::string, std::less<>> &flags);

    std::string m_program;
    std::string m_summary;
    const std::vector<OptionSpec> &m_specs;
    std::map<std::string, std::string, std::less<>> m_values;
    std::map<std::string, bool, std::less<>> m_given;
    std::vector<std::string> m_positional;
    Findings m_findings;
    std::string m_output;
};

} // namespace currantring
