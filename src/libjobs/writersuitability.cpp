#include "writersuitability.h"

namespace currantring {

namespace {

/** Workers fail together in racks and data centres; a writer that reaches fewer is itself the likely cause. */
constexpr std::size_t minReachablePercent = 10;
/** Time for the first polls of a new writer, and for a short failure of its network to pass. */
constexpr Milliseconds giveUpDelay { 3000 };
constexpr Milliseconds unsuitedTime { 30'000 };

} // namespace

bool WriterSuitability::recordReach(std::size_t reachable, std::size_t listed, TimePoint now)
{
    if (reachable * 100 >= listed * minReachablePercent) {
        m_unreachingSince.reset();
        return false;
    }
    m_unreachingSince = m_unreachingSince.value_or(now);
    return now - *m_unreachingSince >= giveUpDelay;
}

void WriterSuitability::recordInactive()
{
    m_unreachingSince.reset();
}

void WriterSuitability::recordGivenUp(TimePoint now)
{
    m_givenUpAt = now;
    m_unreachingSince.reset();
}

bool WriterSuitability::isUnsuited(TimePoint now) const
{
    return m_givenUpAt && now - *m_givenUpAt < unsuitedTime;
}

} // namespace currantring
