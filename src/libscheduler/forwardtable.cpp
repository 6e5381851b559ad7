#include "forwardtable.h"

namespace currantring {

ForwardTable::ForwardTable(HostId self, Context &context)
    : m_self(std::move(self))
    , m_context(context)
{
}

void ForwardTable::forward(const HostId &peer, const CallerRequest &request, std::uint32_t hops, Milliseconds timeout,
                           ReplyHandler handler)
{
    const ForwardToken token(++m_lastToken);
    const TimerId timer = m_context.schedule(timeout, m_lifetime.guard([this, token] { finish(token, std::nullopt); }));
    m_entries.emplace(token, Entry { peer, timer, std::move(handler) });
    m_context.sendPeer(peer, ForwardRequest { m_self, token, request, hops });
}

void ForwardTable::handleReply(const ForwardReply &reply)
{
    if (!m_entries.contains(reply.token)) {
        m_context.count("forward_replies_dropped");
        return;
    }
    finish(reply.token, reply.reply);
}

void ForwardTable::handleLinkLost(const HostId &peer)
{
    std::vector<ForwardToken> lost;
    for (const auto &[token, entry] : m_entries) {
        if (entry.peer == peer) {
            lost.push_back(token);
        }
    }
    for (const ForwardToken token : lost) {
        finish(token, std::nullopt);
    }
}

void ForwardTable::finish(ForwardToken token, std::optional<CallerReply> reply)
{
    auto entry = m_entries.extract(token);
    if (entry.empty()) {
        return;
    }
    m_context.cancel(entry.mapped().timer);
    entry.mapped().handler(std::move(reply));
}

std::size_t ForwardTable::size() const
{
    return m_entries.size();
}

} // namespace currantring
