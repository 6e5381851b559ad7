#pragma once

#include "jobids.h"

#include <string>

namespace currantring {

/** One step of one occurrence of a job. */
struct StepRef
{
    JobId job;
    /** Which repetition of a scheduled job, from 0. */
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const StepRef &) const = default;
};

/** One task: the smallest thing that runs. */
struct TaskRef
{
    StepRef step;
    std::uint32_t index = 0;

    auto operator<=>(const TaskRef &) const = default;
};

/** One run of one task. */
struct RunRef
{
    TaskRef task;
    RunNumber number;

    auto operator<=>(const RunRef &) const = default;
};

/** For logs: `job/occurrence/step/index`. Thread safety: reentrant. */
std::string describe(const TaskRef &task);

} // namespace currantring
