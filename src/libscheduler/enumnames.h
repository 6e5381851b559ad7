#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace currantring {

/** Names of an enumeration's values as used in JSON; each value stands once. */
template<typename Enum, std::size_t size>
using EnumNames = std::array<std::pair<Enum, std::string_view>, size>;

/** Name of @p value, or an empty one when @p names lacks it. Thread safety: reentrant. */
template<typename Enum, std::size_t size>
std::string_view enumName(const EnumNames<Enum, size> &names, Enum value)
{
    for (const auto &[candidate, name] : names) {
        if (candidate == value) {
            return name;
        }
    }
    return {};
}

/** Value called @p name, or nullopt. Thread safety: reentrant. */
template<typename Enum, std::size_t size>
std::optional<Enum> enumValue(const EnumNames<Enum, size> &names, std::string_view name)
{
    for (const auto &[value, candidate] : names) {
        if (candidate == name) {
            return value;
        }
    }
    return std::nullopt;
}

/** Value called @p name. Throws std::invalid_argument for a foreign name; for use within from_json(). */
template<typename Enum, std::size_t size>
Enum requireEnumValue(const EnumNames<Enum, size> &names, const std::string &name)
{
    const std::optional<Enum> value = enumValue(names, name);
    if (!value) {
        throw std::invalid_argument("unknown name: " + name);
    }
    return *value;
}

} // namespace currantring
