#include "job.h"

#include <algorithm>
#include <array>
#include <utility>

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

bool Occurrence::isOver() const
{
    return doneSteps == steps.size() && std::ranges::all_of(steps, [](const StepTasks &step) {
               return std::ranges::all_of(step.kept(), [](const auto &kept) { return kept.second.runs.empty(); });
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

void Job::dropSteps()
{
    JobSpec left;
    left.id = spec->id;
    left.queue = spec->queue;
    spec = std::make_shared<const JobSpec>(std::move(left));
    occurrences.clear();
    keptTasks = 0;
}

bool Job::isStepOpen(std::uint32_t occurrence, std::uint32_t step) const
{
    return !occurrences.at(occurrence).isCompacted()
        && std::ranges::all_of(spec->steps.at(step).after,
                               [this, occurrence](std::uint32_t earlier) { return isStepDone(occurrence, earlier); });
}

void Job::beginOccurrence()
{
    Occurrence &begun = occurrences.emplace_back();
    for (const StepSpec &step : spec->steps) {
        begun.steps.emplace_back(step.count);
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

const StepTasks *Job::findStep(std::uint32_t occurrence, std::uint32_t step) const
{
    const bool isKnown = occurrence < occurrences.size() && step < occurrences[occurrence].steps.size();
    return isKnown ? &occurrences[occurrence].steps[step] : nullptr;
}

StepTasks *Job::findStep(std::uint32_t occurrence, std::uint32_t step)
{
    return const_cast<StepTasks *>(std::as_const(*this).findStep(occurrence, step));
}

const Task &Job::task(const TaskRef &ref) const
{
    const StepTasks *const step = findStep(ref.step.occurrence, ref.step.step);
    return step != nullptr && ref.index < step->count() ? step->task(ref.index) : settledTask();
}

Task *Job::find(const TaskRef &ref)
{
    StepTasks *const step = findStep(ref.step.occurrence, ref.step.step);
    if (step == nullptr || ref.index >= step->count()) {
        return nullptr;
    }
    const std::size_t before = step->kept().size();
    Task *const task = step->find(ref.index);
    keptTasks += step->kept().size() - before;
    return task;
}

void Job::settle(const TaskRef &ref)
{
    if (StepTasks *const step = findStep(ref.step.occurrence, ref.step.step)) {
        const std::size_t before = step->kept().size();
        step->settle(ref.index);
        keptTasks -= before - step->kept().size();
    }
}

bool Job::isStepDone(std::uint32_t occurrence, std::uint32_t step) const
{
    const StepTasks *const known = findStep(occurrence, step);
    return known == nullptr || known->isDone();
}

std::uint32_t Job::failuresOf(const TaskRef &ref) const
{
    const StepTasks *const step = findStep(ref.step.occurrence, ref.step.step);
    if (step == nullptr || !spec->steps.at(ref.step.step).isGang) {
        return task(ref).failures;
    }
    std::uint32_t failures = 0;
    for (const auto &[index, member] : step->kept()) {
        failures += member.failures;
    }
    return failures;
}

void Job::markDone(const TaskRef &ref)
{
    Occurrence &occurrence = occurrences.at(ref.step.occurrence);
    StepTasks &step = occurrence.steps.at(ref.step.step);
    const std::size_t before = step.kept().size();
    step.markDone(ref.index);
    keptTasks += step.kept().size() - before;
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
            for (const auto &[index, task] : steps[step].kept()) {
                for (const PlacedRun &run : task.runs) {
                    live.push_back({ { { spec->id, occurrence, step }, index }, run.number });
                }
            }
        }
    }
    return live;
}

} // namespace currantring
