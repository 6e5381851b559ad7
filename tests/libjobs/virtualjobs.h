#pragma once

#include "jobspec.h"

namespace currantring {

/** A batch job of @p steps steps in a row, each of @p width tasks that take @p work and @p processors. */
JobSpec batchJob(std::uint64_t number, std::uint32_t steps = 1, std::uint32_t width = 2,
                 Milliseconds work = Milliseconds(400), Millicores processors = Millicores(2000));
/** A job whose tasks last until it is cancelled. */
JobSpec lastingJob(std::uint64_t number, std::uint32_t width = 2);
/** A job of one step whose tasks work only together. */
JobSpec gangJob(std::uint64_t number, std::uint32_t width = 3);
/** A job whose step may run copies of its tasks. */
JobSpec copiedJob(std::uint64_t number, std::uint32_t width = 3);
/** A job of the queue that needs admission. */
JobSpec admittedJob(std::uint64_t number, std::uint32_t width = 3);
/** A job that repeats three times, from @p first on. */
JobSpec repeatedJob(std::uint64_t number, WallTime first, Milliseconds interval = Milliseconds(1200));
/** Adds a word to the payload: `fail=2`. */
JobSpec withPayload(JobSpec spec, const std::string &word);

} // namespace currantring
