#include "slotcounter.h"

#include <algorithm>

namespace currantring {

SlotCounter::SlotCounter(std::uint32_t slots)
    : m_slots(slots)
{
}

void SlotCounter::markAllUnaccounted(TimePoint reportsFrom, TimePoint latestEnd)
{
    m_unaccounted.assign(m_slots, Unaccounted { reportsFrom, latestEnd });
}

bool SlotCounter::tryTake(TimePoint now)
{
    std::erase_if(m_unaccounted, [now](const Unaccounted &slot) { return slot.latestEnd <= now; });
    if (free(now) == 0) {
        return false;
    }
    ++m_taken;
    return true;
}

void SlotCounter::release()
{
    m_taken -= std::min(m_taken, 1U);
}

void SlotCounter::abandon(TimePoint reportsFrom, TimePoint latestEnd)
{
    release();
    m_unaccounted.push_back(Unaccounted { reportsFrom, latestEnd });
}

void SlotCounter::applyReport(TimePoint now, std::uint32_t activeRequests)
{
    const auto isSettled = [now](const Unaccounted &slot) {
        return slot.reportsFrom <= now;
    };
    // The soonest to end go first: the report doesn't say which ones run, and keeping the later ends is the safe side.
    std::sort(m_unaccounted.begin(), m_unaccounted.end(),
              [](const Unaccounted &left, const Unaccounted &right) { return left.latestEnd < right.latestEnd; });
    auto surplus = std::count_if(m_unaccounted.begin(), m_unaccounted.end(), isSettled)
        - static_cast<std::ptrdiff_t>(activeRequests);
    std::erase_if(m_unaccounted, [&](const Unaccounted &slot) { return isSettled(slot) && surplus-- > 0; });
}

void SlotCounter::resize(std::uint32_t slots)
{
    m_slots = slots;
}

std::uint32_t SlotCounter::slots() const
{
    return m_slots;
}

std::uint32_t SlotCounter::taken() const
{
    return m_taken;
}

std::uint32_t SlotCounter::unaccounted(TimePoint now) const
{
    return static_cast<std::uint32_t>(std::count_if(m_unaccounted.begin(), m_unaccounted.end(),
                                                    [now](const Unaccounted &slot) { return slot.latestEnd > now; }));
}

std::uint32_t SlotCounter::free(TimePoint now) const
{
    const std::uint32_t used = m_taken + unaccounted(now);
    return used < m_slots ? m_slots - used : 0;
}

std::optional<TimePoint> SlotCounter::nextFree(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const Unaccounted &slot : m_unaccounted) {
        if (slot.latestEnd > now && (!next || slot.latestEnd < *next)) {
            next = slot.latestEnd;
        }
    }
    return next;
}

} // namespace currantring
