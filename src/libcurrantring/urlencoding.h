#pragma once

#include <string>
#include <string_view>

namespace currantring {

/** Percent-encodes all but unreserved characters and the slash. Thread safety: reentrant. */
std::string encodeUrlPath(std::string_view text);
/** Percent-encodes all but unreserved characters. Thread safety: reentrant. */
std::string encodeUrlParameter(std::string_view text);

} // namespace currantring
