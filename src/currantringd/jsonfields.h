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
 * What is nested in a member isn't kept, nor is what is too long, and at most 64 members are, so that a body doesn't
 * take many times its bytes. Thread safety: one thread at a time.
 */
class JsonFields
{
public:
    /** Longest text of a request other than a configuration. */
    static constexpr std::size_t longestOrdinaryText = 16'384;

    /**
     * Reads @p body; an empty one counts as an empty object. Of a text over @p longestText only so much is kept that it
     * is found to be too long.
     */
    explicit JsonFields(std::string_view body, std::size_t longestText = longestOrdinaryText);

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
