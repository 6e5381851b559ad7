#pragma once

#include "context.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace currantring {

/** A caller's place to wait for its reply. */
class CallerPlace
{
public:
    explicit CallerPlace(CallerToken token);
    ~CallerPlace();
    CallerPlace(const CallerPlace &) = delete;
    CallerPlace &operator=(const CallerPlace &) = delete;

    [[nodiscard]] CallerToken token() const;

private:
    friend class ReplyBoard;

    const CallerToken m_token;
    /** Becomes readable with the reply, so that reply and hang-up can be waited for together. */
    const int m_event;
    std::mutex m_mutex;
    std::optional<CallerReply> m_reply;
};

/**
 * Brings replies from the decision loop to the threads in which callers wait.
 *
 * Thread safety: every method may be called from any thread.
 */
class ReplyBoard
{
public:
    enum class End { Replied, TimedOut, HungUp };

    /** Opens a place under a token that is not used again. */
    [[nodiscard]] std::shared_ptr<CallerPlace> open();
    /** Hands over a reply; false when nobody waits for it any longer. */
    bool complete(CallerToken caller, CallerReply reply);
    /**
     * Waits for the reply, at most @p limit, or until the caller closes @p socket (-1 for none). The place is
     * closed afterwards. @p reply is set when the result is Replied.
     */
    [[nodiscard]] End wait(CallerPlace &caller, int socket, Milliseconds limit, CallerReply &reply);
    /** Callers that wait. */
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_lastToken = 0;
    std::map<CallerToken, std::shared_ptr<CallerPlace>> m_callers;
};

} // namespace currantring
