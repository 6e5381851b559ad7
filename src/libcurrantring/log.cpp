#include "log.h"

#include "bufferedsink.h"
#include "eventlimiter.h"

#include <algorithm>
#include <chrono>
#include <memory>

#include <unistd.h>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace currantring {

namespace {

spdlog::level::level_enum spdlogLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        break;
    }
    return spdlog::level::err;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::ranges::any_of(value, [](unsigned char letter) {
               return letter <= ' ' || letter == '"' || letter == '=' || letter == '\\' || letter == 0x7f;
           });
}

std::string quote(std::string_view value)
{
    if (!needsQuotes(value)) {
        return std::string(value);
    }
    std::string quoted = "\"";
    for (const char letter : value) {
        if (letter == '\n') {
            quoted += "\\n";
        } else if (letter == '"' || letter == '\\') {
            quoted += '\\';
            quoted += letter;
        } else {
            // Other control characters could move a terminal's cursor or split the line.
            const bool isControl = static_cast<unsigned char>(letter) < ' ' || letter == 0x7f;
            quoted += isControl ? '?' : letter;
        }
    }
    return quoted + '"';
}

struct Log
{
    std::shared_ptr<spdlog::logger> logger;
    /** Null when the log isn't gathered. */
    std::shared_ptr<BufferedSink> buffer;
    EventLimiter limiter;
};

Log &processLog()
{
    static Log log;
    return log;
}

std::int64_t currentSecond()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void writeSuppressed(const std::string &name, std::uint64_t count)
{
    const LogEvent event { LogLevel::Warning, "suppressed", { { "of", name }, { "count", std::to_string(count) } } };
    processLog().logger->log(spdlog::level::warn, "{}", formatLogEvent(event));
}

void startWithSink(LogLevel threshold, const spdlog::sink_ptr &sink)
{
    auto logger = std::make_shared<spdlog::logger>("currantring", sink);
    logger->set_pattern("ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    logger->set_level(spdlogLevel(threshold));
    processLog().logger = std::move(logger);
}

} // namespace

void startLog(LogLevel threshold)
{
    startWithSink(threshold, std::make_shared<spdlog::sinks::stderr_sink_mt>());
    processLog().logger->flush_on(spdlog::level::debug);
}

void startBufferedLog(LogLevel threshold)
{
    processLog().buffer = std::make_shared<BufferedSink>(STDOUT_FILENO);
    startWithSink(threshold, processLog().buffer);
}

void flushLog(bool isForced)
{
    Log &log = processLog();
    if (!log.buffer) {
        return;
    }
    if (const std::uint64_t dropped = log.buffer->hand(isForced); dropped > 0) {
        const LogEvent event { LogLevel::Warning, "log_dropped", { { "lines", std::to_string(dropped) } } };
        log.logger->log(spdlog::level::warn, "{}", formatLogEvent(event));
    }
}

void writeLog(const LogEvent &event)
{
    Log &log = processLog();
    const spdlog::level::level_enum level = spdlogLevel(event.level);
    if (!log.logger || !log.logger->should_log(level)) {
        return;
    }
    SuppressedCounts suppressed;
    const bool admitted = log.limiter.admit(event.name, currentSecond(), suppressed);
    for (const auto &[name, count] : suppressed) {
        writeSuppressed(name, count);
    }
    if (admitted) {
        log.logger->log(level, "{}", formatLogEvent(event));
    }
}

std::string formatLogEvent(const LogEvent &event)
{
    std::string line = "event=" + quote(event.name);
    for (const auto &[key, value] : event.fields) {
        line += " " + key + "=" + quote(value);
    }
    return line;
}

} // namespace currantring
