#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace currantring {

/** Log events of one name that are printed in one second. */
inline constexpr std::uint64_t eventLimitPerSecond = 50;

/** Names of events and how many of each were held back. */
using SuppressedCounts = std::vector<std::pair<std::string, std::uint64_t>>;

/**
 * Lets a bounded number of log events of one name pass in each second.
 *
 * Thread safety: may be called from any thread.
 */
class EventLimiter
{
public:
    /** Whether the event passes; @p suppressed receives what was held back in the second that ended before. */
    bool admit(const std::string &name, std::int64_t second, SuppressedCounts &suppressed);

private:
    std::mutex m_mutex;
    std::int64_t m_second = 0;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace currantring
