#pragma once

#include "jobids.h"
#include "units.h"

#include <map>
#include <string>
#include <string_view>

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

/** The name that logs use. Thread safety: reentrant. */
constexpr std::string_view admissionFailureName(AdmissionFailure failure)
{
    return failure == AdmissionFailure::Busy ? "busy" : "no-answer";
}

using AdmissionResult = tl::expected<AdmissionAnswer, AdmissionFailure>;

} // namespace currantring
