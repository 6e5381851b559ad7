#pragma once

#include "storerequest.h"

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace currantring {

/**
 * An entry as JSON: `key`, `version`, and `value`, or `valueHex` when the value isn't plain ASCII.
 *
 * from_json throws on a foreign document, as nlohmann's own do.
 */
void to_json(nlohmann::json &json, const StoreEntry &entry);
void from_json(const nlohmann::json &json, StoreEntry &entry);

/** The reply as a JSON object without its empty fields. Thread safety: reentrant. */
nlohmann::json encodeStoreReply(const StoreReply &reply);
/** Nullopt when @p text is no reply. Never throws on foreign bytes. Thread safety: reentrant. */
std::optional<StoreReply> decodeStoreReply(std::string_view text);

} // namespace currantring
