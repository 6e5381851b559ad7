#pragma once

#include "finding.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace currantring {

/** A whole number's bounds and unit for messages. */
struct TomlRange
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string_view unit;
};

/**
 * Reads typed values out of TOML tables and collects findings with `file:line:column`.
 *
 * Thread safety: one thread at a time.
 */
class TomlCheck
{
public:
    explicit TomlCheck(std::string_view fileName);

    void report(const toml::source_region &region, std::string message);
    /** Reports keys of @p table that aren't among @p known. */
    void checkKeys(const toml::table &table, std::initializer_list<std::string_view> known, std::string_view where);
    /** Reports @p key as unknown, or as a secret when its name says so. */
    void reportUnknownKey(const toml::key &key, std::string_view where);
    /** The text under @p key; a missing, blank or wrong one is reported. */
    std::optional<std::string> text(const toml::table &table, std::string_view key, std::string_view where);
    /** The number under @p key, or @p builtIn; a wrong one, or a missing one without built-in, is reported. */
    std::optional<std::int64_t> integer(const toml::table &table, std::string_view key, const TomlRange &range,
                                        std::optional<std::int64_t> builtIn, std::string_view where);
    /** Reports @p node unless it is a whole number in @p range. */
    std::optional<std::int64_t> integerValue(const toml::node &node, std::string_view key, const TomlRange &range);
    /** The array of tables under @p key; an entry of another type is reported. */
    std::vector<const toml::table *> tables(const toml::table &root, std::string_view key);

    /** All findings in the order of their places. */
    [[nodiscard]] Findings takeFindings();

private:
    struct Entry
    {
        toml::source_position position;
        Finding finding;
    };

    std::string m_fileName;
    std::vector<Entry> m_entries;
};

} // namespace currantring
