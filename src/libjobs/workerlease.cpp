#include "workerlease.h"

#include <algorithm>

namespace currantring {

namespace {

/** Largest share by which a worker's clock may run slow; its leases last longer by that share. */
constexpr double maxClockSlowness = 0.02;
constexpr Milliseconds leaseMargin { 50 };
/** Covers the error of a worker's clock that was extrapolated from an answer up to 5 s old. */
constexpr Milliseconds grantMargin { 150 };

} // namespace

Milliseconds WorkerLease::onSlowClock(Milliseconds duration)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) / (1 - maxClockSlowness)));
}

Milliseconds WorkerLease::validityOf(Milliseconds duration)
{
    return onSlowClock(duration) + grantMargin;
}

WorkerLease::WorkerLease(Milliseconds longestLease, TimePoint inheritedUntil)
    : m_longestLease(longestLease)
    , m_inheritedUntil(inheritedUntil)
{
}

void WorkerLease::noteClock(WorkerTime clock, TimePoint now)
{
    m_clock = ClockSample { clock, now };
}

bool WorkerLease::hasClockSample() const
{
    return m_clock.has_value();
}

WorkerTime WorkerLease::clockAt(TimePoint now) const
{
    return m_clock ? WorkerTime(m_clock->clock.value() + (now - m_clock->at).count()) : WorkerTime(0);
}

WorkerTime WorkerLease::grant(const GrantTerm &term)
{
    const WorkerTime until = clockAt(term.until());
    m_grantedUntil = std::max(m_grantedUntil.value_or(until), until);
    return until;
}

void WorkerLease::limitInherited(TimePoint until)
{
    if (m_inheritedUntil) {
        m_inheritedUntil = std::min(*m_inheritedUntil, until);
    }
}

void WorkerLease::noteAnswer(WorkerTime clock, TimePoint now)
{
    if (!m_grantedUntil) {
        // Covers leases granted by a previous writer, and orders that reached the worker after its restart: those may
        // name a time on its former clock, which only the longest lease limits.
        Milliseconds longest = m_longestLease;
        const bool mayHaveRestarted = clock.value() < 2 * m_longestLease.count();
        if (m_inheritedUntil && !mayHaveRestarted) {
            longest = std::clamp(*m_inheritedUntil - now, Milliseconds(0), longest);
        }
        m_grantedUntil = WorkerTime(clock.value() + longest.count());
    }
    m_inheritedUntil.reset();
}

void WorkerLease::noteRestart()
{
    m_inheritedUntil.reset();
    m_grantedUntil.reset();
}

TimePoint WorkerLease::expiryTime() const
{
    TimePoint expiry = m_inheritedUntil.value_or(TimePoint {});
    if (m_clock && m_grantedUntil) {
        const Milliseconds left(m_grantedUntil->value() - m_clock->clock.value());
        expiry = std::max(expiry, m_clock->at + onSlowClock(std::max(left, Milliseconds(0))));
    }
    return expiry + leaseMargin;
}

} // namespace currantring
