#pragma once

#include "strongtype.h"
#include "units.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace currantring {

/** Names a timer so that it can be cancelled. */
using TimerId = Strong<std::uint64_t, struct TimerIdTag>;

/**
 * Timers of decision code, run in the order of their due times by whoever advances the time.
 *
 * Thread safety: one thread at a time.
 */
class TimerQueue
{
public:
    /** Runs @p then once when the time reaches @p due. */
    TimerId schedule(TimePoint due, std::function<void()> then);
    /** Does nothing when the timer has run. */
    void cancel(TimerId timer);
    /** When the next timer is due. */
    [[nodiscard]] std::optional<TimePoint> next() const;
    /** Runs the timers that are due at @p now, also those that are added meanwhile. */
    void runDue(TimePoint now);

private:
    struct Timer
    {
        TimePoint due;
        TimerId id;
        auto operator<=>(const Timer &) const = default;
    };

    std::uint64_t m_lastTimer = 0;
    std::set<Timer> m_timers;
    std::map<TimerId, std::pair<TimePoint, std::function<void()>>> m_bodies;
};

} // namespace currantring
