#include "storehealth.h"

#include <utility>

namespace currantring {

namespace {

constexpr std::uint32_t tellingFailures = 2;

} // namespace

StoreHealth::Change StoreHealth::note(bool isAnswered, TimePoint now)
{
    if (isAnswered) {
        const std::uint32_t failures = std::exchange(m_failures, 0);
        return failures >= tellingFailures ? Change::Regained : Change::None;
    }
    ++m_failures;
    if (m_failures != tellingFailures) {
        return Change::None;
    }
    m_lostAt = now;
    return Change::Lost;
}

Milliseconds StoreHealth::lostFor(TimePoint now) const
{
    return now - m_lostAt;
}

} // namespace currantring
