#include "taskref.h"

namespace currantring {

std::string describe(const TaskRef &task)
{
    return task.step.job.value() + '/' + std::to_string(task.step.occurrence) + '/' + std::to_string(task.step.step)
        + '/' + std::to_string(task.index);
}

} // namespace currantring
