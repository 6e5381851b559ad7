#pragma once

#include <string>
#include <string_view>

namespace currantring {

/**
 * The lines that @p after lacks, prefixed with `- `, and those that it adds, with `+ `, in the order of the text.
 * Empty when there is no difference. Thread safety: reentrant.
 */
std::string diffLines(std::string_view before, std::string_view after);

} // namespace currantring
