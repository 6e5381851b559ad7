#include "workrate.h"

#include <algorithm>

namespace currantring {

namespace {

/** Resolution of the record, in milliseconds. */
constexpr std::int64_t slotMs = 500;
/** Slots whose mean is taken: workers report ends in groups, which a shorter time would mistake for a high rate. */
constexpr std::int64_t slotsInMean = 4;
constexpr std::int64_t slotsKept = 12;
/** Fewer records than these in all kept slots give no rate. */
constexpr std::size_t minRecords = 8;

std::int64_t slotOf(TimePoint time)
{
    return time.time_since_epoch().count() / slotMs;
}

} // namespace

void WorkRate::record(double work, TimePoint now)
{
    const std::int64_t number = slotOf(now);
    if (m_slots.empty() || m_slots.back().number < number) {
        m_slots.push_back({ number, 0, 0 });
    }
    m_slots.back().work += work;
    ++m_slots.back().records;
    while (m_slots.front().number <= number - slotsKept) {
        m_slots.pop_front();
    }
}

std::optional<double> WorkRate::highest(TimePoint now) const
{
    const std::int64_t oldest = slotOf(now) - slotsKept;
    double highest = 0;
    double sum = 0;
    std::size_t records = 0;
    auto first = m_slots.begin();
    for (auto last = m_slots.begin(); last != m_slots.end(); ++last) {
        sum += last->work;
        for (; first->number <= last->number - slotsInMean; ++first) {
            sum -= first->work;
        }
        if (last->number > oldest) {
            highest = std::max(highest, sum);
            records += last->records;
        }
    }
    if (records < minRecords || highest <= 0) {
        return std::nullopt;
    }
    return highest / static_cast<double>(slotMs * slotsInMean);
}

double WorkRate::mean(TimePoint now) const
{
    const std::int64_t oldest = slotOf(now) - slotsKept;
    double sum = 0;
    for (const Slot &slot : m_slots) {
        sum += slot.number > oldest ? slot.work : 0;
    }
    return sum / static_cast<double>(slotMs * slotsKept);
}

} // namespace currantring
