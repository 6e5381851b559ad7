#include "jobspec.h"

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

/** Limits that keep a single job from exhausting the memory of a shard. */
constexpr std::uint32_t maximumTasksPerStep = 10'000;
/** Over all steps; each task that waits takes memory of the writer. */
constexpr std::uint64_t maximumTasks = 100'000;
constexpr std::uint32_t maximumRepetitions = 100'000;
/** Labels and images are names, and are kept for each step. */
constexpr std::size_t maximumNameBytes = 1024;
/** Of one task: a million cores, a petabyte, a milliard accelerators; sums over all tasks stay within 64 bits. */
constexpr std::int64_t maximumAmount = 1'000'000'000;
/** About 30 years; times are added to each other and to the clock. */
constexpr std::int64_t maximumTimeMs = 1'000'000'000'000;
/** Year 5138; a schedule's times stay within 64 bits. */
constexpr std::int64_t maximumWallTimeMs = 100'000'000'000'000;
constexpr std::size_t listedFindings = 10;

/** Bits of the stored flags of a step; existing bits must not change. */
enum StepFlag : std::uint32_t {
    GangFlag = 1U << 0U,
    OneRackFlag = 1U << 1U,
    CopiesFlag = 1U << 2U,
    LastingFlag = 1U << 3U,
    FillerFlag = 1U << 4U,
    CheckpointsFlag = 1U << 5U,
};

std::uint32_t flagsOf(const StepSpec &step)
{
    return (step.isGang ? GangFlag : 0U) | (step.wantsOneRack ? OneRackFlag : 0U)
        | (step.mayRunCopies ? CopiesFlag : 0U) | (step.isLasting ? LastingFlag : 0U)
        | (step.isFiller ? FillerFlag : 0U) | (step.hasCheckpoints ? CheckpointsFlag : 0U);
}

nlohmann::json encodeStep(const StepSpec &step)
{
    return { step.count,
             step.need.processors.value(),
             step.need.memory.value(),
             step.need.accelerators.value(),
             step.estimate.count(),
             step.after,
             flagsOf(step),
             step.requiredLabel.value(),
             step.dataRack.value(),
             step.spreadLimit,
             step.image.value(),
             step.tailTarget.count(),
             step.mayMiss };
}

StepSpec decodeStep(const nlohmann::json &json)
{
    StepSpec step;
    step.count = json.at(0).get<std::uint32_t>();
    step.need = { Millicores(json.at(1).get<std::int64_t>()), Mebibytes(json.at(2).get<std::int64_t>()),
                  AcceleratorCount(json.at(3).get<std::int64_t>()) };
    step.estimate = Milliseconds(json.at(4).get<std::int64_t>());
    step.after = json.at(5).get<std::vector<std::uint32_t>>();
    const auto flags = json.at(6).get<std::uint32_t>();
    step.isGang = (flags & GangFlag) != 0;
    step.wantsOneRack = (flags & OneRackFlag) != 0;
    step.mayRunCopies = (flags & CopiesFlag) != 0;
    step.isLasting = (flags & LastingFlag) != 0;
    step.isFiller = (flags & FillerFlag) != 0;
    step.hasCheckpoints = (flags & CheckpointsFlag) != 0;
    step.requiredLabel = Label(json.at(7).get<std::string>());
    step.dataRack = Label(json.at(8).get<std::string>());
    step.spreadLimit = json.at(9).get<std::uint32_t>();
    step.image = ImageName(json.at(10).get<std::string>());
    step.tailTarget = Milliseconds(json.at(11).get<std::int64_t>());
    step.mayMiss = json.at(12).get<std::uint32_t>();
    return step;
}

class JobValidator
{
public:
    explicit JobValidator(const JobSpec &spec)
        : m_spec(spec)
    {
    }

    Findings run()
    {
        if (m_spec.steps.empty() || m_spec.steps.size() > maximumSteps) {
            report("steps",
                   "expected 1 to " + std::to_string(maximumSteps) + " steps, got "
                       + std::to_string(m_spec.steps.size()));
        }
        std::uint64_t tasks = 0;
        for (std::size_t index = 0; index < m_spec.steps.size(); ++index) {
            checkStep(index);
            tasks += m_spec.steps[index].count;
        }
        if (tasks > maximumTasks) {
            report("steps",
                   "expected at most " + std::to_string(maximumTasks) + " tasks, got " + std::to_string(tasks));
        }
        if (m_spec.schedule) {
            checkSchedule(*m_spec.schedule);
        }
        if (m_unlisted > 0) {
            m_findings.push_back({ "job", Severity::Error, std::to_string(m_unlisted) + " further findings" });
        }
        return std::move(m_findings);
    }

private:
    void report(std::string place, std::string message)
    {
        if (m_findings.size() >= listedFindings) {
            ++m_unlisted;
            return;
        }
        m_findings.push_back({ std::move(place), Severity::Error, std::move(message) });
    }

    static bool isWithin(std::int64_t value, std::int64_t most)
    {
        return value >= 0 && value <= most;
    }

    void checkStep(std::size_t index)
    {
        const StepSpec &step = m_spec.steps.at(index);
        const std::string place = "steps[" + std::to_string(index) + "].";
        if (step.count < 1 || step.count > maximumTasksPerStep) {
            report(place + "count",
                   "expected 1 to " + std::to_string(maximumTasksPerStep) + " tasks, got "
                       + std::to_string(step.count));
        }
        for (const std::uint32_t earlier : step.after) {
            if (earlier >= index) {
                report(place + "after", "expected an earlier step, got " + std::to_string(earlier));
            }
        }
        const Resources &need = step.need;
        for (const std::int64_t amount : { need.processors.value(), need.memory.value(), need.accelerators.value() }) {
            if (!isWithin(amount, maximumAmount)) {
                report(place + "need", "expected amounts from 0 to " + std::to_string(maximumAmount));
            }
        }
        for (const Milliseconds time : { step.estimate, step.tailTarget }) {
            if (!isWithin(time.count(), maximumTimeMs)) {
                report(place + "times", "expected milliseconds from 0 to " + std::to_string(maximumTimeMs));
            }
        }
        for (const std::string *const name :
             { &step.requiredLabel.value(), &step.dataRack.value(), &step.image.value() }) {
            if (name->size() > maximumNameBytes) {
                report(place + "names", "expected at most " + std::to_string(maximumNameBytes) + " bytes");
            }
        }
        if (step.isLasting && m_spec.schedule) {
            report(place + "isLasting", "a job with a schedule can't have long-running tasks");
        }
    }

    void checkSchedule(const JobSchedule &schedule)
    {
        if (schedule.repetitions < 1 || schedule.repetitions > maximumRepetitions) {
            report("schedule",
                   "expected 1 to " + std::to_string(maximumRepetitions) + " repetitions, got "
                       + std::to_string(schedule.repetitions));
        }
        if (!isWithin(schedule.interval.count(), maximumTimeMs)
            || !isWithin(schedule.first.value(), maximumWallTimeMs)) {
            report("schedule",
                   "expected an interval up to " + std::to_string(maximumTimeMs) + " ms and a start up to "
                       + std::to_string(maximumWallTimeMs));
        }
    }

    const JobSpec &m_spec;
    Findings m_findings;
    std::size_t m_unlisted = 0;
};

} // namespace

Findings checkJob(const JobSpec &spec)
{
    return JobValidator(spec).run();
}

nlohmann::json encodeJobSpec(const JobSpec &spec)
{
    nlohmann::json steps = nlohmann::json::array();
    for (const StepSpec &step : spec.steps) {
        steps.push_back(encodeStep(step));
    }
    nlohmann::json schedule;
    if (spec.schedule) {
        schedule = { spec.schedule->first.value(), spec.schedule->interval.count(), spec.schedule->repetitions };
    }
    return nlohmann::json::array({ spec.id.value(), spec.queue.value(), spec.payload, steps, schedule });
}

JobSpec decodeJobSpec(const nlohmann::json &json)
{
    JobSpec spec;
    spec.id = JobId(json.at(0).get<std::string>());
    spec.queue = QueueName(json.at(1).get<std::string>());
    spec.payload = json.at(2).get<std::string>();
    for (const nlohmann::json &step : json.at(3)) {
        spec.steps.push_back(decodeStep(step));
    }
    if (const nlohmann::json &schedule = json.at(4); !schedule.is_null()) {
        spec.schedule =
            JobSchedule { WallTime(schedule.at(0).get<std::int64_t>()),
                          Milliseconds(schedule.at(1).get<std::int64_t>()), schedule.at(2).get<std::uint32_t>() };
    }
    return spec;
}

} // namespace currantring
