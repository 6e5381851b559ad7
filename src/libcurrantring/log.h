#pragma once

#include "logevent.h"

#include <string>

namespace currantring {

/**
 * Starts the process's log: one key=value line per event on standard error.
 *
 * Events of one name past a limit per second are counted, not printed, and the count is printed afterwards.
 * Precondition: called once, before any other thread logs.
 */
void startLog(LogLevel threshold);

/**
 * Starts the process's log on standard output, gathered in memory until flushLog().
 *
 * Nothing ever waits for the reader: lines that it doesn't take, beyond a bounded buffer, are dropped and counted in a
 * `log_dropped` line. Precondition: as for startLog(); all writers and flushLog() run on one thread.
 */
void startBufferedLog(LogLevel threshold);
/** Hands the gathered lines to standard output as far as it takes them; a few when @p isForced is false. */
void flushLog(bool isForced);

/** Writes @p event as one line. Thread safety: may be called from any thread. */
void writeLog(const LogEvent &event);

/** The line `event=name key=value …` with values quoted where needed. Thread safety: reentrant. */
std::string formatLogEvent(const LogEvent &event);

} // namespace currantring
