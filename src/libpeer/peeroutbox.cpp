#include "peeroutbox.h"

#include <utility>

namespace currantring {

PeerOutbox::PeerOutbox(std::size_t maximumMessages, std::size_t maximumBytes)
    : m_maximumMessages(maximumMessages)
    , m_maximumBytes(maximumBytes)
{
}

bool PeerOutbox::push(const HostId &peer, std::string bytes)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_queues.find(peer);
    if (found == m_queues.end()) {
        return false;
    }
    Queue &queue = found->second;
    if (queue.messages >= m_maximumMessages || queue.bytes + bytes.size() > m_maximumBytes) {
        return false;
    }
    ++queue.messages;
    queue.bytes += bytes.size();
    queue.waiting.push_back(std::move(bytes));
    return true;
}

void PeerOutbox::open(const HostId &peer)
{
    const std::scoped_lock lock(m_mutex);
    m_queues.try_emplace(peer);
}

std::size_t PeerOutbox::close(const HostId &peer)
{
    const std::scoped_lock lock(m_mutex);
    const auto queue = m_queues.extract(peer);
    return queue.empty() ? 0 : queue.mapped().waiting.size();
}

std::vector<std::string> PeerOutbox::take(const HostId &peer)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_queues.find(peer);
    return found == m_queues.end() ? std::vector<std::string>() : std::exchange(found->second.waiting, {});
}

void PeerOutbox::release(const HostId &peer, std::size_t size)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto found = m_queues.find(peer); found != m_queues.end()) {
        --found->second.messages;
        found->second.bytes -= size;
    }
}

} // namespace currantring
