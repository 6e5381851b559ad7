#pragma once

#include "ids.h"
#include "units.h"

#include <string>

namespace currantring {

/** Class of work that a task belongs to. */
enum class TaskKind {
    /** Ends by itself and has a deadline. */
    Batch,
    /** Runs until it is cancelled. */
    Watcher,
};

/** What a caller asks to be run. */
struct TaskSpec
{
    TaskKind kind = TaskKind::Batch;
    /** Urgent work closes its commit group at once. */
    bool urgent = false;
    /** Declared need; the true one may differ. */
    Resources declared;
    /** When a batch task must have ended; unused for watchers. */
    WallTime deadline;
    /** Declared run time of a batch task. */
    Milliseconds declaredRunTime {};
    /** What the worker runs; opaque to the scheduler. */
    std::string program;

    bool operator==(const TaskSpec &) const = default;
};

void to_json(nlohmann::json &json, const TaskSpec &spec);
void from_json(const nlohmann::json &json, TaskSpec &spec);

} // namespace currantring
