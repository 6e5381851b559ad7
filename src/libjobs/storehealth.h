#pragma once

#include "units.h"

namespace currantring {

/**
 * Tells from the outcomes of calls when the store is lost and when it is back.
 *
 * One call without an answer says little; a second one in a row does. Thread safety: one thread at a time.
 */
class StoreHealth
{
public:
    enum class Change { None, Lost, Regained };

    /** Takes the outcome of a call in; a refusal because of trouble counts as no answer. */
    Change note(bool isAnswered, TimePoint now);
    /** How long the store was lost; of use after Regained. */
    [[nodiscard]] Milliseconds lostFor(TimePoint now) const;

private:
    std::uint32_t m_failures = 0;
    TimePoint m_lostAt {};
};

} // namespace currantring
