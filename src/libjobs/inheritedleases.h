#pragma once

#include "jobids.h"
#include "units.h"

#include <map>
#include <vector>

namespace currantring {

/** Limits on the worker leases that a writer and the writers before it grant; recorded in its claim. */
struct LeaseTerms
{
    /** Longest lease that the writer requests, on a worker's clock. */
    Milliseconds lease {};
    /** How long the writer extends leases after the store last confirmed its claim. */
    Milliseconds confirmation {};
    /** From this time after the claim on, no lease of an earlier writer is valid. */
    Milliseconds inherited {};
};

/** Remaining time of the leases that a writer granted, counted from when it stopped extending them. */
struct RemainingLeases
{
    struct OnWorker
    {
        WorkerId worker;
        Milliseconds remaining {};
    };

    /** Upper bound for all workers that aren't listed. */
    Milliseconds elsewhere {};
    std::vector<OnWorker> listed;

    [[nodiscard]] Milliseconds longest() const;
};

/** Until when leases that earlier writers granted may be valid, on the clock of the present one. */
struct InheritedLeases
{
    /** Upper bound for all workers that aren't listed. */
    TimePoint elsewhere {};
    std::map<WorkerId, TimePoint> listed;

    [[nodiscard]] TimePoint on(const WorkerId &worker) const;
    [[nodiscard]] TimePoint latest() const;
    /** Lowers all bounds to @p until. */
    void limit(TimePoint until);
};

} // namespace currantring
