#include "bufferedsink.h"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace currantring {

namespace {

constexpr std::size_t maximumBufferedBytes = 262'144;
/** A pipe that is ready for writing takes so much without a wait. */
constexpr std::size_t writeBytes = PIPE_BUF;

bool isReady(int descriptor)
{
    pollfd entry { descriptor, POLLOUT, 0 };
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

BufferedSink::BufferedSink(int descriptor)
    : m_descriptor(descriptor)
{
}

std::uint64_t BufferedSink::hand(bool isForced)
{
    while (m_lines.size() >= writeBytes || (isForced && !m_lines.empty())) {
        if (!isReady(m_descriptor)) {
            break;
        }
        const ssize_t written = ::write(m_descriptor, m_lines.data(), std::min(m_lines.size(), writeBytes));
        if (written <= 0) {
            break;
        }
        m_lines.erase(0, static_cast<std::size_t>(written));
    }
    return std::exchange(m_dropped, 0);
}

void BufferedSink::sink_it_(const spdlog::details::log_msg &message)
{
    if (m_lines.size() >= maximumBufferedBytes) {
        ++m_dropped;
        return;
    }
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    m_lines.append(formatted.data(), formatted.size());
}

void BufferedSink::flush_()
{
    hand(true);
}

} // namespace currantring
