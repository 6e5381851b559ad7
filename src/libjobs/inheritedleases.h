#pragma once

#include "jobids.h"
#include "units.h"

#include <map>
#include <optional>
#include <vector>

namespace currantring {

/**
 * How long a writer extends leases without the store, depending on whether the other hosts hear it.
 *
 * While all of them do, none has a reason to replace it, and it may go on for longer. A host that doesn't hear it any
 * more knows by this that it stops soon.
 */
struct HostSupport
{
    /** How long the writer extends leases after the store last confirmed its claim, whoever hears it. */
    Milliseconds unsupported {};
    /** How long it goes on after the last of its heartbeats that all hosts heard. */
    Milliseconds term {};
};

/** Limits on the worker leases that a writer and the writers before it grant; recorded in its claim. */
struct LeaseTerms
{
    /** Longest lease that the writer requests, on a worker's clock. */
    Milliseconds lease {};
    /** How long the writer extends leases at most after the store last confirmed its claim. */
    Milliseconds confirmation {};
    /** From this time after the claim on, no lease of an earlier writer is valid. */
    Milliseconds inherited {};
    /** Nullopt in claims of older versions, whose writers go on for the whole confirmation term. */
    std::optional<HostSupport> support {};
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
