#pragma once

#include <chrono>
#include <mutex>
#include <vector>

namespace currantring {

/**
 * The connections of a server that wait for a request, each with a thread, so that one can be ended for another caller.
 *
 * For clients that keep all threads with connections on which they send a request now and then, or none. Thread safety:
 * every method may be called from any thread.
 */
class IdleConnections
{
public:
    /** Notes a connection as idle while it lives. */
    class Stay
    {
    public:
        /** Precondition: @p idle outlives the object, and @p socket is open as long as it. */
        Stay(IdleConnections &idle, int socket, bool hadRequest);
        ~Stay();
        Stay(const Stay &) = delete;
        Stay &operator=(const Stay &) = delete;

    private:
        IdleConnections &m_idle;
        const int m_socket;
    };

    /**
     * Ends the one that is idle for longest, but for those that have just begun; a request of it that has come is still
     * served. Does nothing when there is none.
     */
    void endOldest();

private:
    struct Entry
    {
        int socket = -1;
        bool hadRequest = false;
        std::chrono::steady_clock::time_point since;
    };

    std::mutex m_mutex;
    /** In the order in which they became idle. */
    std::vector<Entry> m_entries;
};

} // namespace currantring
