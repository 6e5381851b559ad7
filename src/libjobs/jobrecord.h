#pragma once

#include "job.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace currantring {

/** A job was taken on. */
struct JobAccepted
{
    std::shared_ptr<const JobSpec> spec;
    WallTime at;
};

/** A run may be ordered from a worker; it takes room there from now on. */
struct RunPlaced
{
    RunRef run;
    WorkerId worker;
    WorkerLife life;
};

/** A run is over and its room is free. */
struct RunEnded
{
    RunRef run;
    RunEnd end = RunEnd::Lost;
    /** Saved progress of the run; empty when there is none. */
    CheckpointId checkpoint;
};

/** No task of the job starts any more. */
struct JobClosed
{
    JobId job;
    JobPhase as = JobPhase::Completed;
    WallTime at;
};

/** The whole of a job again, so that its earlier records can be removed. */
struct JobRestated
{
    std::shared_ptr<const Job> job;
};

using JobRecord = std::variant<JobAccepted, RunPlaced, RunEnded, JobClosed, JobRestated>;

/** The job that @p record is about. Thread safety: reentrant. */
const JobId &jobOf(const JobRecord &record);

/** One group of records that are committed together. */
struct JobSlot
{
    /** Tells processes apart that wrote under one token's key. */
    std::uint64_t nonce = 0;
    /** Oldest slot that a reader needs; earlier ones are left-overs. */
    std::uint64_t firstSlot = 0;
    std::vector<JobRecord> records;
};

/** The slot as stored: CBOR. Thread safety: reentrant. */
std::string encodeJobSlot(const JobSlot &slot);
/** Nullopt when @p bytes are no slot. Thread safety: reentrant. */
std::optional<JobSlot> decodeJobSlot(std::string_view bytes);

} // namespace currantring
