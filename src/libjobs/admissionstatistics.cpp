#include "admissionstatistics.h"

#include <algorithm>

namespace currantring {

namespace {

/** Number of named workers beyond which earlier answers count less and less. */
constexpr double rememberedWorkers = 300;
/** Weight of the latest request in the mean slowness. */
constexpr double latestWeight = 0.3;
constexpr double maxSlowness = 10;

} // namespace

void AdmissionStatistics::noteAnswer(const QueueName &queue, std::size_t named, std::size_t admitted)
{
    Counts &counts = m_counts[queue];
    counts.named += static_cast<double>(named);
    counts.admitted += static_cast<double>(admitted);
    if (counts.named > rememberedWorkers) {
        counts.admitted *= rememberedWorkers / counts.named;
        counts.named = rememberedWorkers;
    }
}

void AdmissionStatistics::noteDuration(Milliseconds stated, Milliseconds taken)
{
    const double ratio =
        static_cast<double>(taken.count()) / static_cast<double>(std::max(stated, Milliseconds(1)).count());
    m_slowness += (std::clamp(ratio, 1.0, maxSlowness) - m_slowness) * latestWeight;
}

double AdmissionStatistics::admittedShare(const QueueName &queue) const
{
    const auto found = m_counts.find(queue);
    const Counts counts = found == m_counts.end() ? Counts {} : found->second;
    // One worker admitted and one not, before any answer.
    return (counts.admitted + 1) / (counts.named + 2);
}

Milliseconds AdmissionStatistics::expectedDuration(Milliseconds stated) const
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(stated.count()) * m_slowness));
}

} // namespace currantring
