#include "eventlimiter.h"

namespace currantring {

bool EventLimiter::admit(const std::string &name, std::int64_t second, SuppressedCounts &suppressed)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (second != m_second) {
        m_second = second;
        for (const auto &[counted, count] : m_counts) {
            if (count > eventLimitPerSecond) {
                suppressed.emplace_back(counted, count - eventLimitPerSecond);
            }
        }
        m_counts.clear();
    }
    return ++m_counts[name] <= eventLimitPerSecond;
}

} // namespace currantring
