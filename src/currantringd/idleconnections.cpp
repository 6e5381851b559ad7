#include "idleconnections.h"

#include <algorithm>

#include <sys/socket.h>

namespace currantring {

namespace {

/** A new connection has this time for its first request. */
constexpr std::chrono::seconds timeForRequest { 1 };

} // namespace

IdleConnections::Stay::Stay(IdleConnections &idle, int socket, bool hadRequest)
    : m_idle(idle)
    , m_socket(socket)
{
    const std::lock_guard lock(m_idle.m_mutex);
    m_idle.m_entries.push_back({ socket, hadRequest, std::chrono::steady_clock::now() });
}

IdleConnections::Stay::~Stay()
{
    const std::lock_guard lock(m_idle.m_mutex);
    std::erase_if(m_idle.m_entries, [this](const Entry &entry) { return entry.socket == m_socket; });
}

void IdleConnections::endOldest()
{
    const std::lock_guard lock(m_mutex);
    const auto latest = std::chrono::steady_clock::now() - timeForRequest;
    const auto found = std::ranges::find_if(
        m_entries, [latest](const Entry &entry) { return entry.hadRequest || entry.since <= latest; });
    if (found != m_entries.end()) {
        // What has come can still be read; after it the other end seems to have closed.
        ::shutdown(found->socket, SHUT_RD);
        m_entries.erase(found);
    }
}

} // namespace currantring
