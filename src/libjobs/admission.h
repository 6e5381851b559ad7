#pragma once

#include "jobids.h"
#include "units.h"

#include <map>
#include <string>

#include <tl/expected.hpp>

namespace currantring {

/** The workers that may run a step, each with its ticket. */
struct AdmissionAnswer
{
    std::map<WorkerId, std::string> tickets;
    /** How long the tickets are valid. */
    Milliseconds validity {};
};

/** Reason why an admission request has no answer. */
enum class AdmissionFailure {
    /** Too many requests are pending. */
    Busy,
    NoAnswer,
};

using AdmissionResult = tl::expected<AdmissionAnswer, AdmissionFailure>;

} // namespace currantring
