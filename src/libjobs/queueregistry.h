#pragma once

#include "siteconfiguration.h"

#include <map>

namespace currantring {

/** The last known entry of each queue, including queues that the configuration no longer contains. */
class QueueRegistry
{
public:
    /** Adds or updates the queues of @p configuration; other queues stay. */
    void take(const SiteConfiguration &configuration)
    {
        for (const QueueEntry &queue : configuration.queues) {
            m_queues.insert_or_assign(queue.name, queue);
        }
    }

    /** Null when the queue was never configured. */
    [[nodiscard]] const QueueEntry *find(const QueueName &name) const
    {
        const auto found = m_queues.find(name);
        return found == m_queues.end() ? nullptr : &found->second;
    }

private:
    std::map<QueueName, QueueEntry> m_queues;
};

} // namespace currantring
