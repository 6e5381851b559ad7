#pragma once

#include "units.h"

namespace currantring {

/**
 * Detects from the outcomes of calls when the store becomes unreachable and when it is reachable again.
 *
 * A single unanswered call is not enough evidence; two in a row count as a loss. Thread safety: one thread at a time.
 */
class StoreHealth
{
public:
    enum class Change { None, Lost, Regained };

    /** Records the outcome of a call. A call that the store refused because it is unavailable counts as unanswered. */
    Change recordOutcome(bool isAnswered, TimePoint now);
    /** Duration of the outage that ended at @p now; meaningful after Change::Regained. */
    [[nodiscard]] Milliseconds outageDuration(TimePoint now) const;

private:
    std::uint32_t m_failures = 0;
    TimePoint m_lostAt {};
};

} // namespace currantring
