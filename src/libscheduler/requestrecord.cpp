#include "requestrecord.h"

#include "requestoutcome.h"

namespace currantring {

void RequestRecord::forgetExpired(TimePoint now)
{
    while (!m_order.empty() && m_order.front().first <= now) {
        const auto entry = m_entries.find(m_order.front().second);
        if (entry != m_entries.end() && entry->second.until <= now) {
            m_bytes -= entry->second.reply.body.size();
            m_entries.erase(entry);
        }
        m_order.pop_front();
    }
}

void RequestRecord::remember(TimePoint now, RequestKey key, CallerReply reply, TimePoint until)
{
    forgetExpired(now);
    const bool keepsBody = m_bytes + reply.body.size() <= maximumBytes;
    if (!keepsBody) {
        reply.body.clear();
    }
    m_bytes += reply.body.size();
    m_order.emplace_back(until, key);
    Entry &entry = m_entries[std::move(key)];
    m_bytes -= entry.reply.body.size();
    entry = Entry { std::move(reply), until, keepsBody };
}

std::optional<CallerReply> RequestRecord::find(TimePoint now, const RequestKey &key) const
{
    const auto entry = m_entries.find(key);
    if (entry == m_entries.end() || entry->second.until <= now) {
        return std::nullopt;
    }
    if (!entry->second.hasBody) {
        return makeOutcome(ReplyCode::OutcomeUnknown, requestreason::recordFull);
    }
    return entry->second.reply;
}

bool RequestRecord::hasRoom(TimePoint now, std::size_t reserved)
{
    forgetExpired(now);
    return m_entries.size() + reserved < maximumCount;
}

} // namespace currantring
