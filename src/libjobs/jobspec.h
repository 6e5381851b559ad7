#pragma once

#include "finding.h"
#include "jobids.h"
#include "units.h"

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace currantring {

/** Steps of one job. */
constexpr std::size_t maximumSteps = 100;

/** One step of a job: a number of identical tasks. */
struct StepSpec
{
    /** Tasks of the step; at least 1. */
    std::uint32_t count = 1;
    /** Resources that each task needs. */
    Resources need;
    /** The submitter's estimate of a task's run time; may be inaccurate by a large factor. */
    Milliseconds estimate {};
    /** Indexes of earlier steps whose tasks must all be done before this step starts. */
    std::vector<std::uint32_t> after;
    /** Gang scheduling: the tasks run only all at once, and when one ends, all end. */
    bool isGang = false;
    /** The tasks run slower when they are spread over several racks. */
    bool wantsOneRack = false;
    /** Several copies of a task may run at once; the first one to finish counts. */
    bool mayRunCopies = false;
    /** The tasks are long-running: they run until the job is cancelled. */
    bool isLasting = false;
    /** Best effort: uses idle processors; its demand doesn't count against the capacity of a worker. */
    bool isFiller = false;
    bool hasCheckpoints = false;
    /** Label that the worker must have; empty when any worker is allowed. */
    Label requiredLabel;
    /** Rack that holds the data; the tasks run slower on other racks. Empty when there is none. */
    Label dataRack;
    /** Maximum number of tasks of the step on one worker; 0 when there is no limit. */
    std::uint32_t spreadLimit = 0;
    ImageName image;
    /** Target for the tail latency of a task that serves requests; 0 for other tasks. */
    Milliseconds tailTarget {};
    /** Disruption budget: tasks of a long-running step that the scheduler may take down at the same time. */
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
    /** Opaque data of the submitter that is passed unchanged to each task. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** Nullopt when the steps run once, without delay. */
    std::optional<JobSchedule> schedule;

    [[nodiscard]] std::uint32_t occurrences() const
    {
        return schedule ? schedule->repetitions : 1;
    }
};

/**
 * Validates @p spec; findings name a field such as `steps[1].after`. The first ten are told and the others counted, as
 * a job may have one for each element that its submitter wrote. Thread safety: reentrant.
 */
Findings checkJob(const JobSpec &spec);

/** Encodes @p spec as nested arrays, which are compact in the log. Thread safety: reentrant. */
nlohmann::json encodeJobSpec(const JobSpec &spec);
/** Throws nlohmann::json::exception when @p json isn't a valid job. Thread safety: reentrant. */
JobSpec decodeJobSpec(const nlohmann::json &json);

} // namespace currantring
