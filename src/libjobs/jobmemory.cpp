#include "jobmemory.h"

#include <algorithm>

namespace currantring {

namespace {

// Estimates of what objects take beside their texts, with the entries of the tables that name them.
constexpr std::size_t jobBytes = 1536;
/** Of a closed job without runs only its state is left. */
constexpr std::size_t closedJobBytes = 1024;
constexpr std::size_t stepBytes = 512;
constexpr std::size_t stepOfOccurrenceBytes = 384;
constexpr std::size_t taskBytes = 384;
constexpr std::size_t tasksPerByte = 8;

std::size_t textBytes(const JobSpec &spec)
{
    std::size_t bytes = spec.id.value().size() + spec.queue.value().size() + spec.payload.size();
    for (const StepSpec &step : spec.steps) {
        bytes += step.requiredLabel.value().size() + step.dataRack.value().size() + step.image.value().size()
            + step.after.size() * sizeof(std::uint32_t);
    }
    return bytes;
}

std::size_t occurrenceBytes(const JobSpec &spec)
{
    std::size_t bytes = 0;
    for (const StepSpec &step : spec.steps) {
        bytes += stepOfOccurrenceBytes + step.count / tasksPerByte;
    }
    return bytes;
}

std::size_t specBytes(const JobSpec &spec)
{
    return (spec.steps.empty() ? closedJobBytes : jobBytes) + textBytes(spec) + spec.steps.size() * stepBytes;
}

} // namespace

std::size_t estimatedBytes(const Job &job)
{
    const std::size_t kept = job.occurrences.size() - std::min<std::size_t>(job.firstKept, job.occurrences.size());
    return specBytes(*job.spec) + kept * occurrenceBytes(*job.spec) + job.occurrences.size() * sizeof(Occurrence)
        + job.keptTasks * taskBytes;
}

std::size_t estimatedBytes(const JobSpec &spec)
{
    return specBytes(spec) + occurrenceBytes(spec) + sizeof(Occurrence);
}

void JobMemory::add(const QueueName &queue, std::size_t bytes)
{
    m_queues[queue] += bytes;
    m_total += bytes;
}

void JobMemory::remove(const QueueName &queue, std::size_t bytes)
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end()) {
        return;
    }
    found->second -= bytes;
    m_total -= bytes;
    if (found->second == 0) {
        m_queues.erase(found);
    }
}

std::size_t JobMemory::total() const
{
    return m_total;
}

std::size_t JobMemory::of(const QueueName &queue) const
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? 0 : found->second;
}

} // namespace currantring
