#include "jobtable.h"

#include <algorithm>
#include <utility>

namespace currantring {

bool JobTable::apply(const JobRecord &record)
{
    if (const auto *accepted = std::get_if<JobAccepted>(&record)) {
        return accept(*accepted);
    }
    if (const auto *placed = std::get_if<RunPlaced>(&record)) {
        return place(*placed);
    }
    if (const auto *begun = std::get_if<JobBegun>(&record)) {
        return begin(*begun);
    }
    if (const auto *ended = std::get_if<RunEnded>(&record)) {
        return end(*ended);
    }
    if (const auto *closed = std::get_if<JobClosed>(&record)) {
        return close(*closed);
    }
    const auto &snapshot = std::get<JobSnapshot>(record);
    forget(snapshot.job->spec->id);
    Job &job = m_jobs.emplace(snapshot.job->spec->id, *snapshot.job).first->second;
    job.countedBytes = 0;
    account(job);
    return true;
}

bool JobTable::accept(const JobAccepted &record)
{
    const auto [place, isNew] = m_jobs.try_emplace(record.spec->id, record.spec, record.at);
    if (isNew && !record.spec->schedule) {
        place->second.beginOccurrence();
    }
    if (isNew) {
        account(place->second);
    }
    return isNew;
}

bool JobTable::place(const RunPlaced &record)
{
    const auto found = m_jobs.find(record.run.task.step.job);
    if (found == m_jobs.end()) {
        return false;
    }
    Job &job = found->second;
    // The log has no records for the start of occurrences, so the missing ones are added here.
    while (job.occurrences.size() <= record.run.task.step.occurrence
           && job.occurrences.size() < job.spec->occurrences()) {
        job.beginOccurrence();
    }
    Task *const task = job.find(record.run.task);
    if (task == nullptr || task->lastRun >= record.run.number) {
        return false;
    }
    task->lastRun = record.run.number;
    task->runs.push_back({ record.run.number, record.worker, record.life });
    account(job);
    return true;
}

bool JobTable::begin(const JobBegun &record)
{
    const auto found = m_jobs.find(record.job);
    return found != m_jobs.end() && !std::exchange(found->second.hasBegun, true);
}

bool JobTable::end(const RunEnded &record)
{
    if (task(record.run.task).run(record.run.number) == nullptr) {
        return false;
    }
    Job &job = m_jobs.at(record.run.task.step.job);
    Task *const task = job.find(record.run.task);
    std::erase_if(task->runs, [&record](const PlacedRun &run) { return run.number == record.run.number; });
    const StepSpec &step = job.spec->steps.at(record.run.task.step.step);
    job.hasBegun = job.hasBegun || record.end != RunEnd::Lost;
    if (record.end == RunEnd::Failed) {
        ++task->failures;
    }
    // A checkpoint or completion of one gang member applies to all members.
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const TaskRef member { record.run.task.step, step.isGang ? index : record.run.task.index };
        if (!record.checkpoint.value().empty() && !job.task(member).isDone) {
            job.find(member)->checkpoint = record.checkpoint;
        }
        if (record.end == RunEnd::Done && !step.isLasting && !job.task(member).isDone) {
            job.markDone(member);
        }
        if (!step.isGang) {
            break;
        }
    }
    job.settle(record.run.task);
    compactClosedJob(job);
    account(job);
    return true;
}

bool JobTable::close(const JobClosed &record)
{
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end() || found->second.isClosed()) {
        return false;
    }
    found->second.closedAs = record.as;
    found->second.closedAt = record.at;
    compactClosedJob(found->second);
    account(found->second);
    return true;
}

const Job *JobTable::find(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const Task &JobTable::task(const TaskRef &ref) const
{
    const Job *const job = find(ref.step.job);
    return job == nullptr ? settledTask() : job->task(ref);
}

const std::map<JobId, Job> &JobTable::jobs() const
{
    return m_jobs;
}

void JobTable::beginOccurrence(const JobId &id)
{
    Job &job = m_jobs.at(id);
    job.beginOccurrence();
    account(job);
}

void JobTable::compactOccurrences(const JobId &id)
{
    Job &job = m_jobs.at(id);
    job.compactOccurrences();
    account(job);
}

void JobTable::setCheckpoint(const TaskRef &task, const CheckpointId &checkpoint)
{
    if (Task *const known = findTask(task)) {
        known->checkpoint = checkpoint;
    }
}

void JobTable::forget(const JobId &id)
{
    if (const auto found = m_jobs.find(id); found != m_jobs.end()) {
        m_memory.remove(found->second.spec->queue, found->second.countedBytes);
        m_jobs.erase(found);
    }
}

const JobMemory &JobTable::memory() const
{
    return m_memory;
}

/** Notes what the job takes now. */
void JobTable::account(Job &job)
{
    m_memory.remove(job.spec->queue, job.countedBytes);
    job.countedBytes = estimatedBytes(job);
    m_memory.add(job.spec->queue, job.countedBytes);
}

Task *JobTable::findTask(const TaskRef &ref)
{
    const auto found = m_jobs.find(ref.step.job);
    return found == m_jobs.end() ? nullptr : found->second.find(ref);
}

/** Frees the steps and progress of a closed job once its last run has ended; only its outcome is still queried. */
void JobTable::compactClosedJob(Job &job)
{
    if (job.isClosed() && !job.spec->steps.empty() && job.liveRuns().empty()) {
        job.dropSteps();
    }
}

} // namespace currantring
