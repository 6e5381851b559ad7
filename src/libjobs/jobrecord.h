#pragma once

#include "job.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace currantring {

/** A job was accepted. */
struct JobAccepted
{
    std::shared_ptr<const JobSpec> spec;
    WallTime at;
};

/** A run was assigned to a worker and reserves resources there; the start order may now be sent. */
struct RunPlaced
{
    RunRef run;
    WorkerId worker;
    WorkerLife life;
};

/** A worker started a task of the job for the first time; placements alone don't prove that. */
struct JobBegun
{
    JobId job;
};

/** A run ended and its resources are released. */
struct RunEnded
{
    RunRef run;
    RunEnd end = RunEnd::Lost;
    /** Latest checkpoint of the run; empty when there is none. */
    CheckpointId checkpoint;
};

/** A job was closed; none of its tasks starts after that. */
struct JobClosed
{
    JobId job;
    JobPhase as = JobPhase::Completed;
    WallTime at;
};

/** The complete state of a job, which replaces its earlier records in the log. */
struct JobSnapshot
{
    std::shared_ptr<const Job> job;
};

using JobRecord = std::variant<JobAccepted, RunPlaced, JobBegun, RunEnded, JobClosed, JobSnapshot>;

/** Returns the job that @p record belongs to. Thread safety: reentrant. */
const JobId &jobOf(const JobRecord &record);

/** Records that are committed together. */
struct JobSlot
{
    /** Distinguishes writer processes, so that a writer recognises a slot that it wrote itself. */
    std::uint64_t nonce = 0;
    /** Oldest slot that a reader needs; earlier ones are obsolete. */
    std::uint64_t firstSlot = 0;
    std::vector<JobRecord> records;
};

/** Upper bound of the bytes that @p record takes in a stored slot, without encoding it. Thread safety: reentrant. */
std::size_t maxEncodedBytes(const JobRecord &record);
/** The same for the snapshot of @p job. */
std::size_t maxSnapshotBytes(const Job &job);

/** Encodes @p slot as CBOR, its stored form. Thread safety: reentrant. */
std::string encodeJobSlot(const JobSlot &slot);
/** Returns nullopt when @p bytes aren't a valid slot. Thread safety: reentrant. */
std::optional<JobSlot> decodeJobSlot(std::string_view bytes);

} // namespace currantring
