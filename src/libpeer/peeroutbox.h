#pragma once

#include "ids.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace currantring {

/**
 * Messages on their way to each connected peer, bounded in number and bytes until they are done with.
 *
 * Thread safety: every method may be called from any thread.
 */
class PeerOutbox
{
public:
    PeerOutbox(std::size_t maximumMessages, std::size_t maximumBytes);

    /** Takes @p bytes for @p peer; false when the peer isn't connected or its queue is full. */
    bool push(const HostId &peer, std::string bytes);
    /** From now on messages for @p peer are taken. */
    void open(const HostId &peer);
    /** Forgets what waits for @p peer and takes no more; returns how many messages were waiting. */
    std::size_t close(const HostId &peer);
    /** The messages that wait for @p peer; they count against its bounds until release(). */
    std::vector<std::string> take(const HostId &peer);
    /** A taken message of @p size bytes is done with. Precondition: @p peer wasn't closed since it was taken. */
    void release(const HostId &peer, std::size_t size);

private:
    struct Queue
    {
        std::vector<std::string> waiting;
        std::size_t messages = 0;
        std::size_t bytes = 0;
    };

    std::size_t m_maximumMessages;
    std::size_t m_maximumBytes;
    std::mutex m_mutex;
    std::map<HostId, Queue> m_queues;
};

} // namespace currantring
