#include "completionrate.h"

#include <algorithm>

namespace currantring {

namespace {

constexpr std::int64_t slotMs = 500;
/** Slots whose mean is taken: workers report ends in groups, which a shorter time would mistake for a high rate. */
constexpr std::int64_t slotsInMean = 4;
constexpr std::int64_t slotsKept = 12;
/** Fewer tasks than these in all kept slots give no rate. */
constexpr std::size_t minTasks = 8;

std::int64_t slotOf(TimePoint time)
{
    return time.time_since_epoch().count() / slotMs;
}

} // namespace

void CompletionRate::record(double work, TimePoint now)
{
    const std::int64_t number = slotOf(now);
    if (m_slots.empty() || m_slots.back().number < number) {
        m_slots.push_back({ number, 0, 0 });
    }
    m_slots.back().work += work;
    ++m_slots.back().tasks;
    while (m_slots.front().number <= number - slotsKept) {
        m_slots.pop_front();
    }
}

std::optional<double> CompletionRate::rate(TimePoint now) const
{
    const std::int64_t oldest = slotOf(now) - slotsKept;
    double highest = 0;
    double sum = 0;
    std::size_t tasks = 0;
    auto first = m_slots.begin();
    for (auto last = m_slots.begin(); last != m_slots.end(); ++last) {
        sum += last->work;
        for (; first->number <= last->number - slotsInMean; ++first) {
            sum -= first->work;
        }
        if (last->number > oldest) {
            highest = std::max(highest, sum);
            tasks += last->tasks;
        }
    }
    if (tasks < minTasks || highest <= 0) {
        return std::nullopt;
    }
    return highest / static_cast<double>(slotMs * slotsInMean);
}

} // namespace currantring
