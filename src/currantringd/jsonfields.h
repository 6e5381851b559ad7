#pragma once

#include "finding.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace currantring {

/**
 * Takes the members out of a JSON object and collects everything that is wrong with them.
 *
 * Thread safety: one thread at a time.
 */
class JsonFields
{
public:
    /** Reads @p body; an empty one counts as an empty object. */
    explicit JsonFields(std::string_view body);

    /** A required text of 1 to @p longest printable ASCII bytes; empty when there is a finding. */
    std::string name(std::string_view member, std::size_t longest);
    /** A text of any content, 1 to @p longest bytes, or nullopt when it is absent. */
    std::optional<std::string> text(std::string_view member, std::size_t longest);
    /** As text(), and a finding when it is absent. */
    std::string requiredText(std::string_view member, std::size_t longest);
    /** An integer in the range, or nullopt when it is absent or there is a finding. */
    std::optional<std::int64_t> integer(std::string_view member, std::int64_t minimum, std::int64_t maximum);
    /** As integer(), and a finding when it is absent. */
    std::int64_t requiredInteger(std::string_view member, std::int64_t minimum, std::int64_t maximum);
    bool flag(std::string_view member, bool absent);
    [[nodiscard]] bool has(std::string_view member) const;
    void addFinding(std::string_view member, std::string message);
    /** Everything found, members that nothing asked for included. */
    [[nodiscard]] Findings findings() const;

private:
    const nlohmann::json *find(std::string_view member);

    nlohmann::json m_object;
    std::set<std::string, std::less<>> m_known;
    Findings m_findings;
    bool m_readable = true;
};

/** Whether @p text has 1 to @p longest bytes, all of them printable ASCII. Thread safety: reentrant. */
bool isName(std::string_view text, std::size_t longest);

} // namespace currantring
