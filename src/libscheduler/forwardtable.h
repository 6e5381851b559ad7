#pragma once

#include "context.h"
#include "lifetime.h"

#include <functional>
#include <map>

namespace currantring {

/**
 * Keeps the requests that this host has passed to peers until their replies come, a time limit passes, or the link
 * breaks.
 *
 * Thread safety: one thread at a time.
 */
class ForwardTable
{
public:
    /** Gets the reply, or nullopt when its fate is unknown. Runs exactly once. */
    using ReplyHandler = std::function<void(std::optional<CallerReply>)>;

    /** Precondition: @p context outlives the object. */
    ForwardTable(HostId self, Context &context);

    /** Sends @p request to @p peer and waits for the reply at most for @p timeout. */
    void forward(const HostId &peer, const CallerRequest &request, std::uint32_t hops, Milliseconds timeout,
                 ReplyHandler handler);
    void handleReply(const ForwardReply &reply);
    /** Replies of @p peer that are still awaited won't come. */
    void handleLinkLost(const HostId &peer);
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry
    {
        HostId peer;
        TimerId timer;
        ReplyHandler handler;
    };

    void finish(ForwardToken token, std::optional<CallerReply> reply);

    HostId m_self;
    Context &m_context;
    Lifetime m_lifetime;
    std::uint64_t m_lastToken = 0;
    std::map<ForwardToken, Entry> m_entries;
};

} // namespace currantring
