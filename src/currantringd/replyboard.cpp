#include "replyboard.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace currantring {

namespace {

enum class Wake { Reply, HangUp, Timeout };

Wake waitForEither(int event, int socket, Milliseconds limit)
{
    std::array<pollfd, 2> entries { pollfd { event, POLLIN, 0 }, pollfd { socket, POLLRDHUP, 0 } };
    const auto until = std::chrono::steady_clock::now() + limit;
    while (true) {
        const auto left = std::chrono::ceil<Milliseconds>(until - std::chrono::steady_clock::now());
        const auto wait = std::clamp<std::int64_t>(left.count(), 0, 3'600'000);
        const int ready = poll(entries.data(), entries.size(), static_cast<int>(wait));
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (entries[0].revents != 0) {
            return Wake::Reply;
        }
        return ready > 0 ? Wake::HangUp : Wake::Timeout;
    }
}

} // namespace

CallerPlace::CallerPlace(CallerToken token)
    : m_token(token)
    , m_event(eventfd(0, EFD_CLOEXEC))
{
}

CallerPlace::~CallerPlace()
{
    close(m_event);
}

CallerToken CallerPlace::token() const
{
    return m_token;
}

std::shared_ptr<CallerPlace> ReplyBoard::open()
{
    const std::lock_guard lock(m_mutex);
    auto caller = std::make_shared<CallerPlace>(CallerToken(++m_lastToken));
    m_callers.emplace(caller->token(), caller);
    return caller;
}

bool ReplyBoard::complete(CallerToken caller, CallerReply reply)
{
    std::shared_ptr<CallerPlace> waiting;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_callers.find(caller);
        if (found == m_callers.end()) {
            return false;
        }
        waiting = found->second;
        m_callers.erase(found);
    }
    const std::lock_guard lock(waiting->m_mutex);
    waiting->m_reply = std::move(reply);
    eventfd_write(waiting->m_event, 1);
    return true;
}

ReplyBoard::End ReplyBoard::wait(CallerPlace &caller, int socket, Milliseconds limit, CallerReply &reply)
{
    const Wake wake = waitForEither(caller.m_event, socket, limit);
    {
        const std::lock_guard lock(m_mutex);
        m_callers.erase(caller.m_token);
    }
    const std::lock_guard lock(caller.m_mutex);
    if (caller.m_reply) {
        // Also one that came while the place was being closed.
        reply = std::move(*caller.m_reply);
        return End::Replied;
    }
    return wake == Wake::HangUp ? End::HungUp : End::TimedOut;
}

std::size_t ReplyBoard::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_callers.size();
}

} // namespace currantring
