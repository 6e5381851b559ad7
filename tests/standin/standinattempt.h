#pragma once

#include "standinprogram.h"
#include "workerrequest.h"

#include <optional>

namespace currantring {

/** One attempt on a stand-in worker, ended ones and tombstones included. Thread safety: a value type. */
struct StandinAttempt
{
    ShardId shard;
    AttemptReport report;
    Resources declared;
    StandinProgram program;
    TimePoint startedAt;
    TimePoint leaseEnd;
    /** When progress was last brought up to date. */
    TimePoint countedTo;
    /** In hundredths of a step, so that a throttle in percent stays exact. */
    std::int64_t progress = 0;
    /** Share of the declared processors that it may use. */
    std::uint32_t percent = 100;

    /** Work steps done, those before a resume included. */
    [[nodiscard]] std::int64_t steps() const;
    void setSteps(std::int64_t steps);
    /** Brings progress up to @p now. Precondition: it has been running since countedTo. */
    void countProgress(TimePoint now);
    /** When its work will be done; nullopt for a watcher. */
    [[nodiscard]] std::optional<TimePoint> completion() const;
    /** When it ends by itself: its work is done or its lease lapses. */
    [[nodiscard]] TimePoint endsAt() const;
    /** What it truly uses while it runs. */
    [[nodiscard]] Resources usage() const;
};

} // namespace currantring
