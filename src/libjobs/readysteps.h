#pragma once

#include "indexset.h"
#include "jobspec.h"
#include "taskref.h"

#include <map>
#include <memory>

namespace currantring {

/** The tasks of one step that wait for a worker. */
struct ReadyStep
{
    std::shared_ptr<const StepSpec> step;
    QueueName queue;
    IndexSet tasks;
    /** Time since which at least one task of the step has waited without a break. */
    TimePoint since {};
};

/** Tasks that may start and have no run, grouped by step. */
class ReadySteps
{
public:
    using Steps = std::map<StepRef, ReadyStep>;

    void add(const TaskRef &task, const std::shared_ptr<const StepSpec> &step, const QueueName &queue, TimePoint now)
    {
        ReadyStep &ready = m_steps.try_emplace(task.step, ReadyStep { step, queue, {}, now }).first->second;
        ready.tasks.insert(task.index);
    }

    void remove(const TaskRef &task)
    {
        const auto ready = m_steps.find(task.step);
        if (ready == m_steps.end()) {
            return;
        }
        ready->second.tasks.erase(task.index);
        if (ready->second.tasks.empty()) {
            m_steps.erase(ready);
        }
    }

    void removeStep(const StepRef &step)
    {
        m_steps.erase(step);
    }

    void removeJob(const JobId &job)
    {
        const auto first = m_steps.lower_bound(StepRef { job, 0, 0 });
        auto last = first;
        while (last != m_steps.end() && last->first.job == job) {
            ++last;
        }
        m_steps.erase(first, last);
    }

    /** Number of the job's tasks that wait for a worker. */
    [[nodiscard]] std::size_t countOf(const JobId &job) const
    {
        std::size_t count = 0;
        for (auto step = m_steps.lower_bound(StepRef { job, 0, 0 }); step != m_steps.end() && step->first.job == job;
             ++step) {
            count += step->second.tasks.size();
        }
        return count;
    }

    [[nodiscard]] const Steps &steps() const
    {
        return m_steps;
    }

private:
    Steps m_steps;
};

} // namespace currantring
