#pragma once

#include "finding.h"
#include "jobids.h"
#include "units.h"

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace currantring {

/** One step of a job: a number of equal tasks. */
struct StepSpec
{
    /** Tasks of the step; at least 1. */
    std::uint32_t count = 1;
    /** Needed by each task. */
    Resources need;
    /** Run time of a task as its submitter guesses it; may be far off. */
    Milliseconds estimate {};
    /** Earlier steps of the job whose tasks must all be done before this one starts. */
    std::vector<std::uint32_t> after;
    /** The tasks work only together, and end together. */
    bool isGang = false;
    /** The tasks are slow when they run on more than one rack. */
    bool wantsOneRack = false;
    /** Copies of a task may run at once; the first to finish counts. */
    bool mayRunCopies = false;
    /** The tasks run until the job is cancelled. */
    bool isLasting = false;
    /** Takes the processors that others leave unused; its demand isn't counted against a worker's capacity. */
    bool isFiller = false;
    bool hasCheckpoints = false;
    /** Label that the worker must have; empty when any will do. */
    Label requiredLabel;
    /** Rack where the data are; the tasks are slow on any other. Empty when there is none. */
    Label dataRack;
    /** Most tasks of the step on one worker; 0 when there is no limit. */
    std::uint32_t spreadLimit = 0;
    ImageName image;
    /** Bound on the tail of the response times of a task that serves users; 0 when it serves none. */
    Milliseconds tailTarget {};
    /** Tasks of a lasting step that may be away at once through the scheduler's doing. */
    std::uint32_t mayMiss = 0;

    [[nodiscard]] bool isServing() const
    {
        return tailTarget.count() > 0;
    }
};

/** When a job repeats. */
struct JobSchedule
{
    WallTime first;
    Milliseconds interval {};
    std::uint32_t repetitions = 0;
};

/** A job as it was submitted. */
struct JobSpec
{
    JobId id;
    QueueName queue;
    /** What the submitter hands to each task; passed on unchanged. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** Nullopt: the steps run once, at once. */
    std::optional<JobSchedule> schedule;

    [[nodiscard]] std::uint32_t occurrences() const
    {
        return schedule ? schedule->repetitions : 1;
    }
};

/** Everything about @p spec that can't be carried out; places are like `steps[1].after`. Thread safety: reentrant. */
Findings checkJob(const JobSpec &spec);

/** Compact arrays for the log. Thread safety: reentrant. */
nlohmann::json encodeJobSpec(const JobSpec &spec);
/** Throws nlohmann::json::exception when @p json is no job. Thread safety: reentrant. */
JobSpec decodeJobSpec(const nlohmann::json &json);

} // namespace currantring
