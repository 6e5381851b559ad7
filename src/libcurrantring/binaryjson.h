#pragma once

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace currantring {

/**
 * Reads a document that another process wrote, in a binary @p format of the JSON library.
 *
 * Nullopt when @p bytes aren't one such document, or when it is nested so deeply that reading it would use up the
 * stack. Thread safety: reentrant.
 */
std::optional<nlohmann::json> readBinaryJson(std::string_view bytes, nlohmann::json::input_format_t format);

} // namespace currantring
