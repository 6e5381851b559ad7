#pragma once

#include "leaseauthority.h"
#include "units.h"

#include <optional>

namespace currantring {

/**
 * Upper bound, on the writer's clock, of the time at which the lease of all runs on a worker expires.
 *
 * Leases are measured on the worker's own clock, which the writer knows from answers only and which may run slow.
 * Thread safety: one thread at a time.
 */
class WorkerLease
{
public:
    /** @p inheritedUntil: latest expiry of a lease that a previous writer may have granted. */
    WorkerLease(Milliseconds longestLease, TimePoint inheritedUntil);

    /** Longest time, on the writer's clock, that a worker's clock may take for @p duration. */
    [[nodiscard]] static Milliseconds onSlowClock(Milliseconds duration);

    /** Longest time, on the writer's clock, that a lease of @p duration may be valid after it was granted. */
    [[nodiscard]] static Milliseconds validityOf(Milliseconds duration);

    /** Lowers the bound on the leases that previous writers granted. */
    void limitInherited(TimePoint until);
    /**
     * Records that an answer received at @p now carried the worker clock @p clock.
     *
     * Precondition: the answer names the worker's life, and noteRestart() was called if that is a new one; times on the
     * clocks of two lives can't be compared.
     */
    void noteClock(WorkerTime clock, TimePoint now);
    [[nodiscard]] bool hasClockSample() const;
    /** The worker's clock, extrapolated from its latest answer; 0 before the first answer. */
    [[nodiscard]] WorkerTime clockAt(TimePoint now) const;
    /** Records that an order is about to be sent that counts for @p term; returns its end on the worker's clock. */
    [[nodiscard]] WorkerTime grant(const GrantTerm &term);
    /** A poll's answer received at @p now carried @p clock, which bounds the leases that previous writers granted. */
    void noteAnswer(WorkerTime clock, TimePoint now);
    /** The worker restarted and holds no lease. */
    void noteRestart();
    /** From this time on, nothing that was started before can still be running. */
    [[nodiscard]] TimePoint expiryTime() const;

private:
    struct ClockSample
    {
        WorkerTime clock;
        TimePoint at;
    };

    Milliseconds m_longestLease;
    /** Nullopt after the worker's first answer to this writer. */
    std::optional<TimePoint> m_inheritedUntil;
    std::optional<ClockSample> m_clock;
    /** Latest expiry that may have been granted, on the worker's clock. */
    std::optional<WorkerTime> m_grantedUntil;
};

} // namespace currantring
