#pragma once

#include <cstdint>
#include <string>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace currantring {

/**
 * Gathers log lines in memory and hands them to a descriptor that may not take them.
 *
 * Thread safety: one thread at a time.
 */
class BufferedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit BufferedSink(int descriptor);

    /**
     * Writes what the descriptor takes at once; nothing while little is gathered, unless @p isForced. Returns the
     * lines that were dropped since the last call.
     */
    std::uint64_t hand(bool isForced);

protected:
    void sink_it_(const spdlog::details::log_msg &message) override; // NOLINT(readability-identifier-naming)
    void flush_() override; // NOLINT(readability-identifier-naming)

private:
    int m_descriptor;
    std::string m_lines;
    std::uint64_t m_dropped = 0;
};

} // namespace currantring
