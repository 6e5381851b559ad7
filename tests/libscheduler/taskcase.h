#pragma once

#include "virtualcluster.h"

#include <string>
#include <string_view>
#include <vector>

namespace currantring {

/** One row of a fault table about tasks. */
struct TaskCase
{
    std::string name;
    /** Event of the session at which the faults strike, see taskSteps(). */
    std::string step;
    /** Names from taskFaults(), thrown together. */
    std::vector<std::string> faults;
    /** How long the faults stay. */
    Milliseconds hold { 6000 };
    std::uint32_t shards = 1;
    /** Further tasks, and as many requests, that are sent at once. */
    int crowd = 0;
    std::uint64_t seed = 1;
};

/** What a case led to. */
struct TaskCaseResult
{
    /** Whether the step came up at all, so that the faults were thrown. */
    bool struck = false;
    /** What is wrong; empty when all holds. */
    std::vector<std::string> problems;
    /** Recorded checkpoints that were resumed from. */
    std::size_t resumes = 0;
};

/** Steps of the session: a task is run, evicted and resumed, and another is cancelled while it runs. */
const std::vector<std::string> &taskSteps();
/** Names of the faults that a row may throw. */
std::vector<std::string> taskFaults();

/**
 * Plays the session under the faults of @p row, heals them, waits for the end of every task, and compares the tasks'
 * accounts with what the workers truly ran.
 *
 * Everything follows from the row. Thread safety: reentrant.
 */
TaskCaseResult runTaskCase(const TaskCase &row);

} // namespace currantring
