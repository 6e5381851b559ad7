#include "job.h"

#include <algorithm>
#include <array>

namespace currantring {

namespace {

constexpr std::array<std::string_view, 7> runEndNames {
    "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"
};
/** Jobs with at most so many occurrences are stored in full, as earlier versions of the program read them. */
constexpr std::uint32_t maxPlainOccurrences = 100;

constexpr std::array<std::string_view, 5> jobPhaseNames { "queued", "running", "completed", "failed", "cancelled" };

} // namespace

std::string_view runEndName(RunEnd end)
{
    return runEndNames.at(static_cast<std::size_t>(end));
}

std::string_view jobPhaseName(JobPhase phase)
{
    return jobPhaseNames.at(static_cast<std::size_t>(phase));
}

const PlacedRun *Task::run(RunNumber number) const
{
    const auto found = std::ranges::find(runs, number, &PlacedRun::number);
    return found == runs.end() ? nullptr : &*found;
}

bool Occurrence::isOver() const
{
    return doneSteps == steps.size() && std::ranges::all_of(steps, [](const StepTasks &step) {
               return std::ranges::all_of(step.tasks, [](const Task &task) { return task.runs.empty(); });
           });
}

Job::Job(std::shared_ptr<const JobSpec> given, WallTime accepted)
    : spec(std::move(given))
    , acceptedAt(accepted)
{
}

JobPhase Job::phase() const
{
    return closedAs.value_or(hasBegun ? JobPhase::Running : JobPhase::Queued);
}

bool Job::areAllTasksDone() const
{
    return doneOccurrences == spec->occurrences();
}

bool Job::isStepOpen(std::uint32_t occurrence, std::uint32_t step) const
{
    const Occurrence &begun = occurrences.at(occurrence);
    if (begun.isCompacted()) {
        return false;
    }
    return std::ranges::all_of(spec->steps.at(step).after,
                               [&begun](std::uint32_t earlier) { return begun.steps.at(earlier).isDone(); });
}

void Job::beginOccurrence()
{
    Occurrence &begun = occurrences.emplace_back();
    for (const StepSpec &step : spec->steps) {
        begun.steps.emplace_back().tasks.resize(step.count);
    }
}

void Job::addDoneOccurrence()
{
    occurrences.emplace_back();
    ++doneOccurrences;
}

void Job::compactOccurrences()
{
    if (spec->occurrences() <= maxPlainOccurrences) {
        return;
    }
    for (std::size_t number = firstKept; number < occurrences.size(); ++number) {
        Occurrence &occurrence = occurrences[number];
        if (occurrence.isOver()) {
            occurrence = {};
        }
        firstKept += number == firstKept && occurrence.isCompacted() ? 1 : 0;
    }
}

Task *Job::task(const TaskRef &ref)
{
    return const_cast<Task *>(std::as_const(*this).task(ref));
}

const Task *Job::task(const TaskRef &ref) const
{
    if (ref.step.occurrence >= occurrences.size()) {
        return nullptr;
    }
    const Occurrence &occurrence = occurrences[ref.step.occurrence];
    if (ref.step.step >= occurrence.steps.size()) {
        return nullptr;
    }
    const std::vector<Task> &tasks = occurrence.steps[ref.step.step].tasks;
    return ref.index < tasks.size() ? &tasks[ref.index] : nullptr;
}

std::uint32_t Job::failuresOf(const TaskRef &ref) const
{
    if (!spec->steps.at(ref.step.step).isGang) {
        return task(ref)->failures;
    }
    std::uint32_t failures = 0;
    for (const Task &member : occurrences.at(ref.step.occurrence).steps.at(ref.step.step).tasks) {
        failures += member.failures;
    }
    return failures;
}

void Job::markDone(const TaskRef &ref)
{
    Occurrence &occurrence = occurrences.at(ref.step.occurrence);
    StepTasks &step = occurrence.steps.at(ref.step.step);
    step.tasks.at(ref.index).isDone = true;
    ++step.doneCount;
    if (step.isDone() && ++occurrence.doneSteps == occurrence.steps.size()) {
        ++doneOccurrences;
    }
}

std::shared_ptr<const StepSpec> Job::step(std::uint32_t index) const
{
    return { spec, &spec->steps.at(index) };
}

std::vector<RunRef> Job::liveRuns() const
{
    std::vector<RunRef> live;
    for (std::uint32_t occurrence = firstKept; occurrence < occurrences.size(); ++occurrence) {
        const std::vector<StepTasks> &steps = occurrences[occurrence].steps;
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
            for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
                for (const PlacedRun &run : steps[step].tasks[index].runs) {
                    live.push_back({ { { spec->id, occurrence, step }, index }, run.number });
                }
            }
        }
    }
    return live;
}

} // namespace currantring
