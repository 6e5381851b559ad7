#pragma once

#include "units.h"

#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

namespace currantring {

/** A field of foreign JSON has another type or range than expected; never leaves the decoding functions. */
struct FieldError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** Longest duration that is taken from foreign JSON; leaves room for adding it to any moment. */
inline constexpr std::int64_t longestDurationMs = std::int64_t(1) << 40;

/**
 * Takes @p json as a string, a flag or an integer within the range of @p Value, without the library's silent
 * conversions between numbers. Throws FieldError or nlohmann::json::exception. Thread safety: reentrant.
 */
template<typename Value>
Value checkedValue(const nlohmann::json &json)
{
    if constexpr (std::is_same_v<Value, std::string>) {
        return json.get_ref<const std::string &>();
    } else if constexpr (std::is_same_v<Value, bool>) {
        return json.get_ref<const bool &>();
    } else if constexpr (std::is_integral_v<Value>) {
        if (json.is_number_unsigned() && std::in_range<Value>(json.get<std::uint64_t>())) {
            return static_cast<Value>(json.get<std::uint64_t>());
        }
        if (json.is_number_integer() && !json.is_number_unsigned() && std::in_range<Value>(json.get<std::int64_t>())) {
            return static_cast<Value>(json.get<std::int64_t>());
        }
        throw FieldError("expected an integer in range");
    } else {
        return Value(checkedValue<std::remove_cvref_t<decltype(std::declval<Value>().value())>>(json));
    }
}

/** Takes the member @p key of @p object as checkedValue() does. Thread safety: reentrant. */
template<typename Value>
Value checkedField(const nlohmann::json &object, const char *key)
{
    return checkedValue<Value>(object.at(key));
}

/** Takes the member @p key of @p object; nullopt when it is absent or null. Thread safety: reentrant. */
template<typename Value>
std::optional<Value> optionalField(const nlohmann::json &object, const char *key)
{
    const auto member = object.find(key);
    if (member == object.end() || member->is_null()) {
        return std::nullopt;
    }
    return checkedValue<Value>(*member);
}

/** Takes a count of milliseconds from 0 to longestDurationMs. Thread safety: reentrant. */
inline Milliseconds checkedDuration(std::int64_t count)
{
    if (count < 0 || count > longestDurationMs) {
        throw FieldError("expected a duration in range");
    }
    return Milliseconds(count);
}

} // namespace currantring
