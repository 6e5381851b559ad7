#include "tomlcheck.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <functional>
#include <sstream>

namespace currantring {

namespace {

bool namesSecret(std::string_view key)
{
    std::string lower(key);
    std::ranges::transform(lower, lower.begin(),
                           [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    constexpr std::array<std::string_view, 6> words { "password", "passwd", "passphrase",
                                                      "secret",   "token",  "credential" };
    return lower.ends_with("key")
        || std::ranges::any_of(words, [&](std::string_view word) { return lower.find(word) != std::string::npos; });
}

std::string typeName(const toml::node &node)
{
    std::ostringstream name;
    name << node.type();
    return name.str();
}

std::string rangeText(const TomlRange &range)
{
    std::string text = std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
    if (!range.unit.empty()) {
        text.append(" ").append(range.unit);
    }
    return text;
}

std::string quoted(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

} // namespace

TomlCheck::TomlCheck(std::string_view fileName)
    : m_fileName(fileName)
{
}

void TomlCheck::report(const toml::source_region &region, std::string message)
{
    const std::string place =
        m_fileName + ":" + std::to_string(region.begin.line) + ":" + std::to_string(region.begin.column);
    m_entries.push_back({ region.begin, { place, Severity::Error, std::move(message) } });
}

void TomlCheck::reportUnknownKey(const toml::key &key, std::string_view where)
{
    if (namesSecret(key.str())) {
        report(key.source(), quoted(key.str()) + " names a secret; secrets don't belong into this document");
    } else {
        report(key.source(), "unknown key " + quoted(key.str()) + " in " + std::string(where));
    }
}

void TomlCheck::checkKeys(const toml::table &table, std::initializer_list<std::string_view> known,
                          std::string_view where)
{
    for (const auto &[key, node] : table) {
        if (std::ranges::find(known, key.str()) == known.end()) {
            reportUnknownKey(key, where);
        }
    }
}

std::optional<std::string> TomlCheck::text(const toml::table &table, std::string_view key, std::string_view where)
{
    const toml::node *node = table.get(key);
    if (node == nullptr) {
        report(table.source(), "expected " + quoted(key) + " in " + std::string(where) + ", seen none");
        return std::nullopt;
    }
    const auto *value = node->as_string();
    if (value == nullptr) {
        report(node->source(), "expected a text for " + quoted(key) + ", seen " + typeName(*node));
        return std::nullopt;
    }
    if (std::ranges::all_of(value->get(), [](unsigned char letter) { return std::isspace(letter) != 0; })) {
        report(node->source(), "expected a text for " + quoted(key) + ", seen an empty one");
        return std::nullopt;
    }
    return value->get();
}

std::optional<std::int64_t> TomlCheck::integer(const toml::table &table, std::string_view key, const TomlRange &range,
                                               std::optional<std::int64_t> builtIn, std::string_view where)
{
    const toml::node *node = table.get(key);
    if (node != nullptr) {
        return integerValue(*node, key, range);
    }
    if (!builtIn) {
        report(table.source(), "expected " + quoted(key) + " in " + std::string(where) + ", seen none");
    }
    return builtIn;
}

std::optional<std::int64_t> TomlCheck::integerValue(const toml::node &node, std::string_view key,
                                                    const TomlRange &range)
{
    const auto *value = node.as_integer();
    if (value == nullptr) {
        report(node.source(), "expected a whole number for " + quoted(key) + ", seen " + typeName(node));
        return std::nullopt;
    }
    if (value->get() < range.minimum || value->get() > range.maximum) {
        report(node.source(),
               quoted(key) + " is out of range: expected " + rangeText(range) + ", seen "
                   + std::to_string(value->get()));
        return std::nullopt;
    }
    return value->get();
}

std::vector<const toml::table *> TomlCheck::tables(const toml::table &root, std::string_view key)
{
    std::vector<const toml::table *> result;
    const toml::node *node = root.get(key);
    if (node == nullptr) {
        return result;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        report(node->source(), "expected [[" + std::string(key) + "]] entries, seen " + typeName(*node));
        return result;
    }
    for (const toml::node &entry : *array) {
        if (const toml::table *table = entry.as_table()) {
            result.push_back(table);
        } else {
            report(entry.source(), "expected a table in " + quoted(key) + ", seen " + typeName(entry));
        }
    }
    return result;
}

Findings TomlCheck::takeFindings()
{
    // Tables iterate by key, which isn't the order in which a person reads the document.
    std::ranges::stable_sort(m_entries, std::less<>(), &Entry::position);
    Findings findings;
    for (Entry &entry : m_entries) {
        findings.push_back(std::move(entry.finding));
    }
    m_entries.clear();
    return findings;
}

} // namespace currantring
