#include "siteconfiguration.h"

#include <algorithm>

namespace currantring {

const QueueEntry *SiteConfiguration::route(std::string_view host, std::string_view path) const
{
    const QueueEntry *best = nullptr;
    for (const QueueEntry &queue : queues) {
        const bool matches = queue.host == host && path.starts_with(queue.prefix);
        if (matches && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const QueueEntry *SiteConfiguration::queue(const QueueName &name) const
{
    const auto found = std::ranges::find(queues, name, &QueueEntry::name);
    return found == queues.end() ? nullptr : &*found;
}

const PoolEntry *SiteConfiguration::pool(const ServiceName &name) const
{
    const auto found = std::ranges::find(pools, name, &PoolEntry::name);
    return found == pools.end() ? nullptr : &*found;
}

} // namespace currantring
