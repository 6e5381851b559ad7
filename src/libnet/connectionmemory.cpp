#include "connectionmemory.h"

#include <algorithm>

namespace currantring::net {

void ConnectionMemory::setBudget(std::size_t bytes)
{
    m_budget = bytes;
}

void ConnectionMemory::note(Key key, std::size_t bytes)
{
    std::size_t &known = m_connections[key];
    m_held = m_held - known + bytes;
    known = bytes;
}

void ConnectionMemory::remove(Key key)
{
    if (const auto found = m_connections.find(key); found != m_connections.end()) {
        m_held -= found->second;
        m_connections.erase(found);
    }
}

std::size_t ConnectionMemory::held() const
{
    return m_held;
}

std::size_t ConnectionMemory::heldBy(Key key) const
{
    const auto found = m_connections.find(key);
    return found == m_connections.end() ? 0 : found->second;
}

std::optional<ConnectionMemory::Key> ConnectionMemory::excess() const
{
    if (m_held <= m_budget || m_connections.empty()) {
        return std::nullopt;
    }
    // The first of several equal ones is the oldest.
    const auto largest = std::ranges::max_element(
        m_connections, [](const auto &left, const auto &right) { return left.second < right.second; });
    return largest->first;
}

} // namespace currantring::net
