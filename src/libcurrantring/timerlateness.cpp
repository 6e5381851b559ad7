#include "timerlateness.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds reportInterval { 1000 };

} // namespace

void TimerLateness::beginRound(TimePoint now)
{
    ++m_report.rounds;
    m_roundBegan = now;
    m_busyUntil = now;
    if (!m_since) {
        m_since = now;
    }
}

void TimerLateness::noteDue(TimePoint due, TimePoint now)
{
    const Milliseconds late = now - due;
    m_report.worst = std::max(m_report.worst, late);
    if (late >= lateTimerBound) {
        ++m_report.lateRounds;
    }
}

std::optional<TimerLatenessReport> TimerLateness::endRound(TimePoint now)
{
    m_report.busy += now - std::exchange(m_busyUntil, now);
    m_report.longestRound = std::max(m_report.longestRound, now - m_roundBegan);
    if (!m_since || now - *m_since < reportInterval) {
        return std::nullopt;
    }
    TimerLatenessReport report = m_report;
    report.span = now - *m_since;
    m_report = {};
    m_since = now;
    return report;
}

} // namespace currantring
