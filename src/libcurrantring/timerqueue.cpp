#include "timerqueue.h"

namespace currantring {

TimerId TimerQueue::schedule(TimePoint due, std::function<void()> then)
{
    const TimerId id(++m_lastTimer);
    m_timers.insert(Timer { due, id });
    m_bodies.emplace(id, std::pair(due, std::move(then)));
    return id;
}

void TimerQueue::cancel(TimerId timer)
{
    const auto body = m_bodies.find(timer);
    if (body == m_bodies.end()) {
        return;
    }
    m_timers.erase(Timer { body->second.first, timer });
    m_bodies.erase(body);
}

std::optional<TimePoint> TimerQueue::next() const
{
    if (m_timers.empty()) {
        return std::nullopt;
    }
    return m_timers.begin()->due;
}

void TimerQueue::runDue(TimePoint now)
{
    while (!m_timers.empty() && m_timers.begin()->due <= now) {
        const TimerId id = m_timers.begin()->id;
        m_timers.erase(m_timers.begin());
        auto body = m_bodies.extract(id);
        body.mapped().second();
    }
}

} // namespace currantring
