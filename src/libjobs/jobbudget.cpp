#include "jobbudget.h"

#include <algorithm>
#include <array>

namespace currantring {

namespace {

constexpr double minRetryMs = 1000;
/** Also when nothing has become free lately, as then nothing is known. */
constexpr double maxRetryMs = 30'000;

} // namespace

std::string_view jobRoomName(JobRoom room)
{
    constexpr std::array<std::string_view, 3> names { "free", "memory-full", "never-fits-memory" };
    return names.at(static_cast<std::size_t>(room));
}

JobRoom JobBudget::roomFor(std::size_t bytes, const QueueName &queue, const JobMemory &held, const Bytes &budget)
{
    if (!budget) {
        return JobRoom::Free;
    }
    if (bytes > *budget / 2) {
        return JobRoom::NeverFits;
    }
    const std::size_t after = held.total() + bytes;
    return after <= *budget && held.of(queue) + bytes <= *budget - after ? JobRoom::Free : JobRoom::Full;
}

void JobBudget::noteFreed(const JobMemory &held, TimePoint now)
{
    if (m_expected > held.total()) {
        m_freed.record(static_cast<double>(m_expected - held.total()), now);
    }
    m_expected = held.total();
}

void JobBudget::noteAccepted(std::size_t bytes, const JobMemory &held, TimePoint now)
{
    noteFreed(held, now);
    m_expected += bytes;
}

Milliseconds JobBudget::retryAfter(std::size_t bytes, const JobMemory &held, TimePoint now)
{
    noteFreed(held, now);
    const double bytesPerMs = m_freed.mean(now);
    const double wait = bytesPerMs > 0 ? static_cast<double>(bytes) / bytesPerMs : maxRetryMs;
    return Milliseconds(static_cast<std::int64_t>(std::clamp(wait, minRetryMs, maxRetryMs)));
}

} // namespace currantring
