#include "settings.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <span>

#include <arpa/inet.h>
// With std::regex, g++ 12 warns of uninitialized members in sanitizer builds.
#define CXXOPTS_NO_REGEX
#include <cxxopts.hpp>

namespace currantring {

namespace {

constexpr std::string_view environmentPrefix = "CURRANTRING_";
constexpr std::int64_t maximumPort = 65535;

std::string variableName(std::string_view name)
{
    std::string variable(environmentPrefix);
    std::ranges::transform(name, std::back_inserter(variable), [](unsigned char letter) {
        return letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
    });
    return variable;
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool isIpNumber(const std::string &host)
{
    in6_addr buffer {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &buffer) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &buffer) == 1;
}

bool isAddressAndPort(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || !isIpNumber(text.substr(0, colon))) {
        return false;
    }
    const std::string digits = text.substr(colon + 1);
    const auto port = parseInteger(digits);
    return port && digits.front() != '-' && *port <= maximumPort;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        parts.emplace_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return parts;
}

std::string rangeText(const OptionSpec &spec)
{
    std::string text = std::to_string(spec.minimum) + " to " + std::to_string(spec.maximum);
    return spec.unit.empty() ? text : text + " " + std::string(spec.unit);
}

/** Message on the fault of an integer, or nullopt when there is none. */
std::optional<std::string> checkInteger(const OptionSpec &spec, const std::string &value)
{
    const auto number = parseInteger(value);
    if (!number) {
        return "expected a whole number from " + rangeText(spec) + ", seen '" + value + "'";
    }
    if (*number < spec.minimum || *number > spec.maximum) {
        return "out of range: expected " + rangeText(spec) + ", seen " + value;
    }
    return std::nullopt;
}

std::optional<std::string> checkAddress(const std::string &value)
{
    if (isAddressAndPort(value)) {
        return std::nullopt;
    }
    return "expected an IP number and port such as 127.0.0.1:7001, seen '" + value + "'";
}

std::optional<std::string> checkFlag(const std::string &value)
{
    if (value == "true" || value == "false" || value == "1" || value == "0") {
        return std::nullopt;
    }
    return "expected true or false, seen '" + value + "'";
}

void checkValue(const OptionSpec &spec, const std::string &place, const std::string &value, Findings &findings)
{
    std::vector<std::optional<std::string>> faults;
    switch (spec.kind) {
    case OptionKind::Text:
        break;
    case OptionKind::Integer:
        faults.push_back(checkInteger(spec, value));
        break;
    case OptionKind::AddressAndPort:
        faults.push_back(checkAddress(value));
        break;
    case OptionKind::AddressList:
        for (const std::string &part : splitList(value)) {
            faults.push_back(checkAddress(part));
        }
        break;
    case OptionKind::Flag:
        faults.push_back(checkFlag(value));
        break;
    }
    for (const auto &fault : faults) {
        if (fault) {
            findings.push_back({ place, Severity::Error, *fault });
        }
    }
}

std::string describe(const OptionSpec &spec)
{
    std::string text(spec.help);
    text += " [variable " + variableName(spec.name);
    if (!spec.unit.empty()) {
        text += ", unit " + std::string(spec.unit);
    }
    if (spec.kind == OptionKind::Integer) {
        text += ", range " + rangeText(spec);
    }
    if (!spec.builtIn.empty()) {
        text += ", default " + std::string(spec.builtIn);
    }
    return text + (spec.required ? ", required]" : "]");
}

cxxopts::Options makeOptions(const std::string &program, const std::string &summary,
                             const std::vector<OptionSpec> &specs)
{
    cxxopts::Options options(program, summary);
    options.allow_unrecognised_options();
    options.set_width(110);
    for (const OptionSpec &spec : specs) {
        const auto value = cxxopts::value<std::string>();
        if (spec.kind == OptionKind::Flag) {
            value->implicit_value("true");
        }
        options.add_options()(std::string(spec.name), describe(spec), value);
    }
    options.add_options()("help", "print this help", cxxopts::value<std::string>()->implicit_value("true"));
    options.add_options()("version", "print the version", cxxopts::value<std::string>()->implicit_value("true"));
    return options;
}

/** Parses, and tries again without the last word when that is a flag that lacks its value. */
cxxopts::ParseResult parseWords(cxxopts::Options &options, std::span<const char *const> words, Findings &findings)
{
    try {
        return options.parse(static_cast<int>(words.size()), words.data());
    } catch (const cxxopts::exceptions::exception &) {
        findings.push_back({ words.back(), Severity::Error, "expected a value after the flag, seen none" });
        return parseWords(options, words.first(words.size() - 1), findings);
    }
}

} // namespace

Settings::Settings(std::string_view program, std::string_view summary, const std::vector<OptionSpec> &specs)
    : m_program(program)
    , m_summary(summary)
    , m_specs(specs)
{
}

Settings::Outcome Settings::read(int argc, const char *const *argv)
{
    const std::span<const char *const> words(argv, static_cast<std::size_t>(argc));
    const auto end =
        std::ranges::find(words, std::string_view("--"), [](const char *word) { return std::string_view(word); });
    const auto flagCount = static_cast<std::size_t>(end - words.begin());
    cxxopts::Options options = makeOptions(m_program, m_summary, m_specs);
    const cxxopts::ParseResult parsed = parseWords(options, words.first(flagCount), m_findings);
    if (parsed.count("help") > 0) {
        m_output = options.help();
        return Outcome::PrintedHelp;
    }
    if (parsed.count("version") > 0) {
        m_output = m_program + " " + CURRANTRING_VERSION + "\n";
        return Outcome::PrintedVersion;
    }
    for (const std::string &word : parsed.unmatched()) {
        if (word.size() > 1 && word.front() == '-') {
            m_findings.push_back({ word.substr(0, word.find('=')), Severity::Error, "unknown flag; see --help" });
        } else {
            m_positional.push_back(word);
        }
    }
    if (end != words.end()) {
        m_positional.insert(m_positional.end(), end + 1, words.end());
    }
    std::map<std::string, std::string, std::less<>> flags;
    for (const auto &pair : parsed.arguments()) {
        flags[pair.key()] = pair.value();
    }
    for (const OptionSpec &spec : m_specs) {
        readOption(spec, flags);
    }
    return hasErrors(m_findings) ? Outcome::Invalid : Outcome::Run;
}

void Settings::readOption(const OptionSpec &spec, const std::map<std::string, std::string, std::less<>> &flags)
{
    const std::string variable = variableName(spec.name);
    const auto flag = flags.find(spec.name);
    // Safe, since settings are read before any thread starts.
    const char *fromEnvironment = std::getenv(variable.c_str());
    std::string place = "--" + std::string(spec.name);
    std::string value(spec.builtIn);
    bool given = true;
    if (flag != flags.end()) {
        value = flag->second;
    } else if (fromEnvironment != nullptr && *fromEnvironment != '\0') {
        place = variable;
        value = fromEnvironment;
    } else {
        given = false;
        if (spec.required && value.empty()) {
            m_findings.push_back(
                { place, Severity::Error, "expected a value by this flag or " + variable + ", seen none" });
        }
    }
    if (given && value.starts_with("--")) {
        m_findings.push_back({ place, Severity::Error, "expected a value, seen the flag '" + value + "'" });
    } else if (given || !value.empty()) {
        checkValue(spec, place, value, m_findings);
    }
    m_values.insert_or_assign(std::string(spec.name), std::move(value));
    m_given.insert_or_assign(std::string(spec.name), given);
}

const Findings &Settings::findings() const
{
    return m_findings;
}

const std::string &Settings::output() const
{
    return m_output;
}

const std::vector<std::string> &Settings::positional() const
{
    return m_positional;
}

std::string Settings::text(std::string_view name) const
{
    return m_values.find(name)->second;
}

std::int64_t Settings::integer(std::string_view name) const
{
    return parseInteger(text(name)).value_or(0);
}

Milliseconds Settings::duration(std::string_view name) const
{
    const auto spec = std::ranges::find(m_specs, name, &OptionSpec::name);
    const std::int64_t factor = spec != m_specs.end() && spec->unit == "s" ? 1000 : 1;
    return Milliseconds(integer(name) * factor);
}

bool Settings::flag(std::string_view name) const
{
    const std::string value = text(name);
    return value == "true" || value == "1";
}

std::vector<std::string> Settings::list(std::string_view name) const
{
    return splitList(text(name));
}

bool Settings::isGiven(std::string_view name) const
{
    return m_given.find(name)->second;
}

} // namespace currantring
