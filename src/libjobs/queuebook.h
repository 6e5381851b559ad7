#pragma once

#include "siteconfiguration.h"

#include <map>

namespace currantring {

/** The last known entry of each queue, also of one that the configuration has dropped. */
class QueueBook
{
public:
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
