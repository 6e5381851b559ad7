#pragma once

#include "jobspec.h"

namespace currantring {

/** Batch job of @p steps consecutive steps, each of @p width tasks that take @p work and need @p processors. */
JobSpec batchJob(std::uint64_t number, std::uint32_t steps = 1, std::uint32_t width = 2,
                 Milliseconds work = Milliseconds(400), Millicores processors = Millicores(2000));
/** Job whose tasks run until it is cancelled. */
JobSpec lastingJob(std::uint64_t number, std::uint32_t width = 2);
/** Job of one gang-scheduled step: its tasks make progress only when all of them run. */
JobSpec gangJob(std::uint64_t number, std::uint32_t width = 3);
/** Job whose steps may run speculative copies of their tasks. */
JobSpec copiedJob(std::uint64_t number, std::uint32_t width = 3);
/** Job of the queue whose tasks need an admission ticket to start. */
JobSpec admittedJob(std::uint64_t number, std::uint32_t width = 3);
/** Job that runs three times, first at @p first and then every @p interval. */
JobSpec repeatedJob(std::uint64_t number, WallTime first, Milliseconds interval = Milliseconds(1200));
/** Appends an argument such as `fail=2` to the payload; see parseBehaviour(). */
JobSpec withPayload(JobSpec spec, const std::string &argument);

} // namespace currantring
