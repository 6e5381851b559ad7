#pragma once

#include "jobids.h"
#include "units.h"

#include <map>
#include <string>

#include <tl/expected.hpp>

namespace currantring {

/** Which workers may run a step, each with its ticket. */
struct AdmissionAnswer
{
    std::map<WorkerId, std::string> tickets;
    /** How long the tickets hold. */
    Milliseconds validity {};
};

/** Why there is no answer. */
enum class AdmissionFailure {
    /** Too many calls wait. */
    Busy,
    NoAnswer,
};

using AdmissionResult = tl::expected<AdmissionAnswer, AdmissionFailure>;

} // namespace currantring
