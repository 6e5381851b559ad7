#include "storehealth.h"

#include <utility>

namespace currantring {

namespace {

/** Consecutive unanswered calls after which the store counts as lost. */
constexpr std::uint32_t failureThreshold = 2;

} // namespace

StoreHealth::Change StoreHealth::recordOutcome(bool isAnswered, TimePoint now)
{
    if (isAnswered) {
        const std::uint32_t failures = std::exchange(m_failures, 0);
        return failures >= failureThreshold ? Change::Regained : Change::None;
    }
    ++m_failures;
    if (m_failures != failureThreshold) {
        return Change::None;
    }
    m_lostAt = now;
    return Change::Lost;
}

Milliseconds StoreHealth::outageDuration(TimePoint now) const
{
    return now - m_lostAt;
}

} // namespace currantring
