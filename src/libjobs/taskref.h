#pragma once

#include "jobids.h"

#include <string>

namespace currantring {

/** One step of one occurrence of a job. */
struct StepRef
{
    JobId job;
    /** Repetition of a scheduled job, counted from 0. */
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const StepRef &) const = default;
};

/** One task: the smallest unit of execution. */
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

/** Formats @p task for logs as `job/occurrence/step/index`. Thread safety: reentrant. */
std::string describe(const TaskRef &task);

} // namespace currantring
