#include "workerlease.h"

#include <algorithm>

namespace currantring {

namespace {

/** A worker's clock may be slow by this share; times on it pass later by so much. */
constexpr double clockSlowness = 0.02;
constexpr Milliseconds leaseMargin { 50 };

Milliseconds onSlowClock(Milliseconds duration)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) / (1 - clockSlowness)));
}

} // namespace

WorkerLease::WorkerLease(Milliseconds longestLease, TimePoint inheritedUntil)
    : m_longestLease(longestLease)
    , m_inheritedUntil(inheritedUntil)
{
}

void WorkerLease::noteClock(WorkerTime clock, TimePoint now)
{
    m_clock = ClockSample { clock, now };
}

bool WorkerLease::knowsClock() const
{
    return m_clock.has_value();
}

WorkerTime WorkerLease::clockAt(TimePoint now) const
{
    return m_clock ? WorkerTime(m_clock->clock.value() + (now - m_clock->at).count()) : WorkerTime(0);
}

void WorkerLease::noteGrant(WorkerTime until)
{
    m_grantedUntil = std::max(m_grantedUntil.value_or(until), until);
}

void WorkerLease::noteAnswer(WorkerTime clock)
{
    m_inheritedUntil.reset();
    if (!m_grantedUntil) {
        // What an earlier writer may have granted, or an order that reached this life.
        m_grantedUntil = WorkerTime(clock.value() + m_longestLease.count());
    }
}

void WorkerLease::beginLife()
{
    m_grantedUntil.reset();
}

TimePoint WorkerLease::overAt() const
{
    TimePoint over = m_inheritedUntil.value_or(TimePoint {});
    if (m_clock && m_grantedUntil) {
        const Milliseconds left(m_grantedUntil->value() - m_clock->clock.value());
        over = std::max(over, m_clock->at + onSlowClock(std::max(left, Milliseconds(0))));
    }
    return over + leaseMargin;
}

} // namespace currantring
