#include "environmentnumber.h"

#include <cstdlib>
#include <string>

namespace currantring {

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *const value = std::getenv(name);
    return value == nullptr ? otherwise : std::stoull(value);
}

} // namespace currantring
