#include "jobrecord.h"

#include "binaryjson.h"

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

using nlohmann::json;

/** Record kinds as stored; existing numbers must not change. */
enum RecordKind : int { AcceptedKind = 1, PlacedKind, EndedKind, ClosedKind, SnapshotKind };

/** Position of the begun jobs in a stored slot: after the records, where earlier versions of the program ignore them.
 */
constexpr std::size_t begunPlace = 3;

json encodeTask(const TaskRef &task)
{
    return json::array({ task.step.job.value(), task.step.occurrence, task.step.step, task.index });
}

TaskRef decodeTask(const json &source)
{
    return { { JobId(source.at(0).get<std::string>()), source.at(1).get<std::uint32_t>(),
               source.at(2).get<std::uint32_t>() },
             source.at(3).get<std::uint32_t>() };
}

/** The caller leaves out tasks without any run. */
json encodeProgress(const Task &task, std::uint32_t index)
{
    json runs = json::array();
    for (const PlacedRun &run : task.runs) {
        runs.push_back(json::array({ run.number.value(), run.worker.value(), run.life.value() }));
    }
    return json::array({ index, task.isDone, task.failures, task.lastRun.value(), task.checkpoint.value(), runs });
}

json encodeOccurrence(const Occurrence &occurrence)
{
    // Of a settled task only this is kept; its number only says that it has run.
    static const Task finishedTask { true, 0, RunNumber(1), {}, {} };
    json steps = json::array();
    for (const StepTasks &step : occurrence.steps) {
        json tasks = json::array();
        for (std::uint32_t index = 0; index < step.count(); ++index) {
            if (step.isSettled(index)) {
                tasks.push_back(encodeProgress(finishedTask, index));
            } else if (step.task(index).lastRun.value() > 0) {
                tasks.push_back(encodeProgress(step.task(index), index));
            }
        }
        steps.push_back(std::move(tasks));
    }
    return steps;
}

json encodeJob(const Job &job)
{
    json occurrences = json::array();
    for (const Occurrence &occurrence : job.occurrences) {
        occurrences.push_back(occurrence.isCompacted() ? json() : encodeOccurrence(occurrence));
    }
    return json::array({ encodeJobSpec(*job.spec), job.acceptedAt.value(), std::move(occurrences), job.hasBegun,
                         job.closedAs ? static_cast<int>(*job.closedAs) : -1, job.closedAt.value() });
}

void decodeProgress(Job &job, StepRef step, const json &source)
{
    const TaskRef ref { std::move(step), source.at(0).get<std::uint32_t>() };
    Task *const task = job.find(ref);
    if (task == nullptr) {
        throw json::other_error::create(501, "snapshot refers to an unknown task", nullptr);
    }
    task->failures = source.at(2).get<std::uint32_t>();
    task->lastRun = RunNumber(source.at(3).get<std::uint32_t>());
    task->checkpoint = CheckpointId(source.at(4).get<std::string>());
    for (const json &run : source.at(5)) {
        task->runs.push_back({ RunNumber(run.at(0).get<std::uint32_t>()), WorkerId(run.at(1).get<std::string>()),
                               WorkerLife(run.at(2).get<std::int64_t>()) });
    }
    if (source.at(1).get<bool>()) {
        job.markDone(ref);
    }
}

std::shared_ptr<const Job> decodeJob(const json &source)
{
    auto job = std::make_shared<Job>(std::make_shared<const JobSpec>(decodeJobSpec(source.at(0))),
                                     WallTime(source.at(1).get<std::int64_t>()));
    std::uint32_t number = 0;
    for (const json &occurrence : source.at(2)) {
        ++number;
        if (occurrence.is_null()) {
            job->addDoneOccurrence();
            continue;
        }
        job->beginOccurrence();
        for (std::uint32_t step = 0; step < occurrence.size(); ++step) {
            for (const json &task : occurrence.at(step)) {
                decodeProgress(*job, { job->spec->id, number - 1, step }, task);
            }
        }
    }
    job->compactOccurrences();
    job->hasBegun = source.at(3).get<bool>();
    if (const int closedAs = source.at(4).get<int>(); closedAs >= 0) {
        job->closedAs = static_cast<JobPhase>(closedAs);
    }
    job->closedAt = WallTime(source.at(5).get<std::int64_t>());
    return job;
}

/** Bounds of what the fixed parts of records take. */
constexpr std::size_t recordBytes = 128;
constexpr std::size_t stepBytes = 160;
constexpr std::size_t headBytes = 5;
constexpr std::size_t progressBytes = 48;
constexpr std::size_t runBytes = 32;

std::size_t maxSpecBytes(const JobSpec &spec)
{
    std::size_t bytes = recordBytes + spec.id.value().size() + spec.queue.value().size() + spec.payload.size();
    for (const StepSpec &step : spec.steps) {
        bytes += stepBytes + step.after.size() * headBytes + step.requiredLabel.value().size()
            + step.dataRack.value().size() + step.image.value().size();
    }
    return bytes;
}

std::size_t maxProgressBytes(const Task &task)
{
    std::size_t bytes = progressBytes + task.checkpoint.value().size();
    for (const PlacedRun &run : task.runs) {
        bytes += runBytes + run.worker.value().size();
    }
    return bytes;
}

std::size_t maxOccurrenceBytes(const Occurrence &occurrence)
{
    std::size_t bytes = headBytes;
    for (const StepTasks &step : occurrence.steps) {
        bytes += headBytes;
        for (std::uint32_t index = 0; index < step.count(); ++index) {
            const Task &task = step.task(index);
            bytes += task.isDone || task.lastRun.value() > 0 ? maxProgressBytes(task) : 0;
        }
    }
    return bytes;
}

struct SizeBound
{
    std::size_t operator()(const JobAccepted &record) const
    {
        return recordBytes + maxSpecBytes(*record.spec);
    }
    std::size_t operator()(const RunPlaced &record) const
    {
        return recordBytes + record.run.task.step.job.value().size() + record.worker.value().size();
    }
    std::size_t operator()(const JobBegun &record) const
    {
        return recordBytes + record.job.value().size();
    }
    std::size_t operator()(const RunEnded &record) const
    {
        return recordBytes + record.run.task.step.job.value().size() + record.checkpoint.value().size();
    }
    std::size_t operator()(const JobClosed &record) const
    {
        return recordBytes + record.job.value().size();
    }
    std::size_t operator()(const JobSnapshot &record) const
    {
        return maxSnapshotBytes(*record.job);
    }
};

struct Encoder
{
    json operator()(const JobAccepted &record) const
    {
        return json::array({ AcceptedKind, encodeJobSpec(*record.spec), record.at.value() });
    }
    json operator()(const RunPlaced &record) const
    {
        return json::array({ PlacedKind, encodeTask(record.run.task), record.run.number.value(), record.worker.value(),
                             record.life.value() });
    }
    json operator()(const JobBegun &record) const
    {
        return record.job.value();
    }
    json operator()(const RunEnded &record) const
    {
        return json::array({ EndedKind, encodeTask(record.run.task), record.run.number.value(),
                             static_cast<int>(record.end), record.checkpoint.value() });
    }
    json operator()(const JobClosed &record) const
    {
        return json::array({ ClosedKind, record.job.value(), static_cast<int>(record.as), record.at.value() });
    }
    json operator()(const JobSnapshot &record) const
    {
        return json::array({ SnapshotKind, encodeJob(*record.job) });
    }
};

JobRecord decodeRecord(const json &source)
{
    switch (source.at(0).get<int>()) {
    case AcceptedKind:
        return JobAccepted { std::make_shared<const JobSpec>(decodeJobSpec(source.at(1))),
                             WallTime(source.at(2).get<std::int64_t>()) };
    case PlacedKind:
        return RunPlaced { { decodeTask(source.at(1)), RunNumber(source.at(2).get<std::uint32_t>()) },
                           WorkerId(source.at(3).get<std::string>()),
                           WorkerLife(source.at(4).get<std::int64_t>()) };
    case EndedKind:
        return RunEnded { { decodeTask(source.at(1)), RunNumber(source.at(2).get<std::uint32_t>()) },
                          static_cast<RunEnd>(source.at(3).get<int>()),
                          CheckpointId(source.at(4).get<std::string>()) };
    case ClosedKind:
        return JobClosed { JobId(source.at(1).get<std::string>()), static_cast<JobPhase>(source.at(2).get<int>()),
                           WallTime(source.at(3).get<std::int64_t>()) };
    case SnapshotKind:
        return JobSnapshot { decodeJob(source.at(1)) };
    default:
        throw json::other_error::create(501, "unknown record kind", nullptr);
    }
}

} // namespace

const JobId &jobOf(const JobRecord &record)
{
    struct Finder
    {
        const JobId &operator()(const JobAccepted &accepted) const
        {
            return accepted.spec->id;
        }
        const JobId &operator()(const RunPlaced &placed) const
        {
            return placed.run.task.step.job;
        }
        const JobId &operator()(const JobBegun &begun) const
        {
            return begun.job;
        }
        const JobId &operator()(const RunEnded &ended) const
        {
            return ended.run.task.step.job;
        }
        const JobId &operator()(const JobClosed &closed) const
        {
            return closed.job;
        }
        const JobId &operator()(const JobSnapshot &snapshot) const
        {
            return snapshot.job->spec->id;
        }
    };
    return std::visit(Finder {}, record);
}

std::size_t maxSnapshotBytes(const Job &job)
{
    std::size_t bytes = recordBytes + maxSpecBytes(*job.spec);
    for (const Occurrence &occurrence : job.occurrences) {
        bytes += occurrence.isCompacted() ? 1 : maxOccurrenceBytes(occurrence);
    }
    return bytes;
}

std::size_t maxEncodedBytes(const JobRecord &record)
{
    return std::visit(SizeBound {}, record);
}

std::string encodeJobSlot(const JobSlot &slot)
{
    json records = json::array();
    json begun = json::array();
    for (const JobRecord &record : slot.records) {
        json &place = std::holds_alternative<JobBegun>(record) ? begun : records;
        place.push_back(std::visit(Encoder {}, record));
    }
    std::string bytes;
    json::to_cbor(json::array({ slot.nonce, slot.firstSlot, std::move(records), std::move(begun) }), bytes);
    return bytes;
}

std::optional<JobSlot> decodeJobSlot(std::string_view bytes)
{
    try {
        const std::optional<json> document = readBinaryJson(bytes, json::input_format_t::cbor, BinaryNumbers::Integers);
        if (!document) {
            return std::nullopt;
        }
        const json &source = *document;
        JobSlot slot { source.at(0).get<std::uint64_t>(), source.at(1).get<std::uint64_t>(), {} };
        for (const json &record : source.at(2)) {
            slot.records.push_back(decodeRecord(record));
        }
        if (source.size() > begunPlace) {
            for (const json &job : source.at(begunPlace)) {
                slot.records.emplace_back(JobBegun { JobId(job.get<std::string>()) });
            }
        }
        return slot;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace currantring
