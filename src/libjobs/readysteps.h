#pragma once

#include "jobspec.h"
#include "taskref.h"

#include <map>
#include <memory>
#include <set>

namespace currantring {

/** Place of a step in the order of what waits: smaller goes first. */
struct ReadyKey
{
    std::uint32_t priority = 0;
    /** When the job was accepted, or the occurrence was due. */
    std::int64_t since = 0;
    StepRef step;

    auto operator<=>(const ReadyKey &) const = default;
};

/** The tasks of one step that wait for a worker. */
struct ReadyStep
{
    std::shared_ptr<const StepSpec> step;
    QueueName queue;
    std::set<std::uint32_t> tasks;
};

/** The tasks that may start and have no run, in the order in which they are placed. */
class ReadySteps
{
public:
    using Steps = std::map<ReadyKey, ReadyStep>;

    void add(const ReadyKey &key, const std::shared_ptr<const StepSpec> &step, const QueueName &queue,
             std::uint32_t task)
    {
        m_keys[key.step] = key;
        ReadyStep &ready = m_steps[key];
        ready.step = step;
        ready.queue = queue;
        ready.tasks.insert(task);
    }

    void remove(const TaskRef &task)
    {
        const auto key = m_keys.find(task.step);
        if (key == m_keys.end()) {
            return;
        }
        const auto ready = m_steps.find(key->second);
        ready->second.tasks.erase(task.index);
        if (ready->second.tasks.empty()) {
            m_steps.erase(ready);
            m_keys.erase(key);
        }
    }

    void removeJob(const JobId &job)
    {
        const auto first = m_keys.lower_bound(StepRef { job, 0, 0 });
        auto last = first;
        while (last != m_keys.end() && last->first.job == job) {
            m_steps.erase(last->second);
            ++last;
        }
        m_keys.erase(first, last);
    }

    [[nodiscard]] const Steps &steps() const
    {
        return m_steps;
    }

private:
    Steps m_steps;
    std::map<StepRef, ReadyKey> m_keys;
};

} // namespace currantring
