#include "standinattempt.h"

#include <algorithm>

namespace currantring {

namespace {

constexpr std::int64_t progressPerStep = 100;

} // namespace

std::int64_t StandinAttempt::steps() const
{
    return progress / progressPerStep;
}

void StandinAttempt::setSteps(std::int64_t steps)
{
    progress = steps * progressPerStep;
}

void StandinAttempt::countProgress(TimePoint now)
{
    progress += (now - countedTo).count() * percent;
    countedTo = now;
}

std::optional<TimePoint> StandinAttempt::completion() const
{
    if (!program.steps) {
        return std::nullopt;
    }
    const std::int64_t left = std::max<std::int64_t>(*program.steps * progressPerStep - progress, 0);
    return countedTo + Milliseconds((left + percent - 1) / percent);
}

TimePoint StandinAttempt::endsAt() const
{
    // A lease that was over at the start ends the attempt there, not before.
    return std::max(countedTo, std::min(completion().value_or(TimePoint::max()), leaseEnd));
}

Resources StandinAttempt::usage() const
{
    Resources used = program.used;
    if (percent < 100) {
        const std::int64_t limit = declared.processors.value() * percent / 100;
        used.processors = Millicores(std::min(used.processors.value(), limit));
    }
    return used;
}

} // namespace currantring
