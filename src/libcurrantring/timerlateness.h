#pragma once

#include "units.h"

#include <cstdint>
#include <optional>

namespace currantring {

/** A timer that runs so long after it was due makes its round a late one. */
inline constexpr Milliseconds lateTimerBound { 50 };

/** How late timers ran in one span of a second or more. */
struct TimerLatenessReport
{
    /** Worst lateness of a timer. */
    Milliseconds worst {};
    /** Rounds that found a timer late. */
    std::uint64_t lateRounds = 0;
    std::uint64_t rounds = 0;
    /** Longest time from the beginning of a round to its end. */
    Milliseconds longestRound {};
    /** Time in rounds; the rest of the span was spent waiting. */
    Milliseconds busy {};
    Milliseconds span {};
};

/**
 * Collects how late a process runs its timers, so that a lack of processor time shows in its log and metrics.
 *
 * Thread safety: one thread at a time.
 */
class TimerLateness
{
public:
    /** Notes that a round begins: the wait for sockets and timers is over. */
    void beginRound(TimePoint now);
    /** Notes the timer that is due first, before the due ones are run. */
    void noteDue(TimePoint due, TimePoint now);
    /**
     * Notes that a round ends; several times when it goes on. Returns what was collected once a second has passed since
     * the last report.
     */
    std::optional<TimerLatenessReport> endRound(TimePoint now);

private:
    std::optional<TimePoint> m_since;
    TimePoint m_roundBegan {};
    /** The time up to which m_report.busy counts. */
    TimePoint m_busyUntil {};
    TimerLatenessReport m_report;
};

} // namespace currantring
