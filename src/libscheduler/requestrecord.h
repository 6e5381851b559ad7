#pragma once

#include "callerrequest.h"
#include "units.h"

#include <deque>
#include <map>
#include <optional>

namespace currantring {

/** A caller's name for one request. */
struct RequestKey
{
    OwnerId owner;
    RequestId request;

    auto operator<=>(const RequestKey &) const = default;
};

/**
 * Remembers the outcomes of requests that mustn't run twice, for a bounded time and number.
 *
 * No outcome is forgotten before its time for want of room; new requests are refused instead. Long answers past the
 * room for bodies are remembered as run, without their body. Thread safety: one thread at a time.
 */
class RequestRecord
{
public:
    /** Requests remembered at once; at 100 bytes each some 20 MB. */
    static constexpr std::size_t maximumCount = 200000;
    /** Bytes of answers remembered at once. */
    static constexpr std::size_t maximumBytes = std::size_t { 64 } << 20U;

    /** Remembers @p reply until @p until. Precondition: @p until doesn't go back between calls. */
    void remember(TimePoint now, RequestKey key, CallerReply reply, TimePoint until);
    /** The remembered outcome; nullopt when there is none. OutcomeUnknown when its body wasn't kept. */
    [[nodiscard]] std::optional<CallerReply> find(TimePoint now, const RequestKey &key) const;
    /** Whether another outcome may be remembered besides @p reserved ones to come. */
    [[nodiscard]] bool hasRoom(TimePoint now, std::size_t reserved);

private:
    struct Entry
    {
        CallerReply reply;
        TimePoint until;
        bool hasBody = true;
    };

    void forgetExpired(TimePoint now);

    std::map<RequestKey, Entry> m_entries;
    std::deque<std::pair<TimePoint, RequestKey>> m_order;
    std::size_t m_bytes = 0;
};

} // namespace currantring
