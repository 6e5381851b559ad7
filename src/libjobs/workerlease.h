#pragma once

#include "units.h"

#include <optional>

namespace currantring {

/**
 * When the lease of all that runs on a worker is surely over, on the writer's clock.
 *
 * Leases run on the worker's own clock, which is known from its answers and may be slow. Thread safety: one thread at a
 * time.
 */
class WorkerLease
{
public:
    /** @p inheritedUntil: until then a former writer may have extended the lease. */
    WorkerLease(Milliseconds longestLease, TimePoint inheritedUntil);

    /** An answer was received at @p now and says @p clock. */
    void noteClock(WorkerTime clock, TimePoint now);
    [[nodiscard]] bool knowsClock() const;
    /** The worker's clock as far as its answers tell; 0 when it never answered. */
    [[nodiscard]] WorkerTime clockAt(TimePoint now) const;
    /** An order that may extend the lease until @p until is about to be sent. */
    void noteGrant(WorkerTime until);
    /** The worker has answered a look at @p clock; what a former writer granted ends on that clock. */
    void noteAnswer(WorkerTime clock);
    /** The worker has started again and knows of no lease. */
    void beginLife();
    /** Nothing that was started before may run from then on. */
    [[nodiscard]] TimePoint overAt() const;

private:
    struct ClockSample
    {
        WorkerTime clock;
        TimePoint at;
    };

    Milliseconds m_longestLease;
    /** Nullopt once the worker has answered this writer. */
    std::optional<TimePoint> m_inheritedUntil;
    std::optional<ClockSample> m_clock;
    /** Greatest lease that may have been granted, on the worker's clock. */
    std::optional<WorkerTime> m_grantedUntil;
};

} // namespace currantring
