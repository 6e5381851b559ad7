#include "steptasks.h"

#include <algorithm>

namespace currantring {

const PlacedRun *Task::run(RunNumber number) const
{
    const auto found = std::ranges::find(runs, number, &PlacedRun::number);
    return found == runs.end() ? nullptr : &*found;
}

const Task &settledTask()
{
    static const Task task { true, 0, RunNumber(0), {}, {} };
    return task;
}

StepTasks::StepTasks(std::uint32_t count)
    : m_count(count)
{
}

std::uint32_t StepTasks::count() const
{
    return m_count;
}

std::uint32_t StepTasks::doneCount() const
{
    return m_doneCount;
}

bool StepTasks::isDone() const
{
    return m_doneCount == m_count;
}

bool StepTasks::isSettled(std::uint32_t index) const
{
    return !m_settled.empty() && m_settled.at(index);
}

const Task &StepTasks::task(std::uint32_t index) const
{
    static const Task notBegun;
    if (isSettled(index)) {
        return settledTask();
    }
    const auto found = m_kept.find(index);
    return found == m_kept.end() ? notBegun : found->second;
}

const std::map<std::uint32_t, Task> &StepTasks::kept() const
{
    return m_kept;
}

Task *StepTasks::find(std::uint32_t index)
{
    return isSettled(index) ? nullptr : &m_kept[index];
}

void StepTasks::markDone(std::uint32_t index)
{
    m_kept[index].isDone = true;
    ++m_doneCount;
    settle(index);
}

void StepTasks::settle(std::uint32_t index)
{
    const auto found = m_kept.find(index);
    if (found == m_kept.end() || !found->second.isDone || !found->second.runs.empty()) {
        return;
    }
    m_kept.erase(found);
    m_settled.resize(m_count);
    m_settled.at(index) = true;
}

} // namespace currantring
