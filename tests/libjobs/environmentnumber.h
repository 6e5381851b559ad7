#pragma once

#include <cstdint>

namespace currantring {

/** The environment variable @p name, which sets how much of a random test is played; @p otherwise where it isn't set.
 */
std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise);

} // namespace currantring
