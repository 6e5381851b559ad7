#pragma once

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace currantring {

/** Converting a fraction to an integer isn't defined for all values, so documents of integers don't accept any. */
enum class BinaryNumbers { Integers, Any };

/**
 * Reads a document that another process wrote, in a binary @p format of the JSON library.
 *
 * Nullopt when @p bytes aren't one such document with such @p numbers, or when it is nested so deeply that reading it
 * would use up the stack. Thread safety: reentrant.
 */
std::optional<nlohmann::json> readBinaryJson(std::string_view bytes, nlohmann::json::input_format_t format,
                                             BinaryNumbers numbers);

} // namespace currantring
