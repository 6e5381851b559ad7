#pragma once

#include "liverun.h"

namespace currantring {

/**
 * What the runs on a worker hold of it, kept up with each run that comes or goes.
 *
 * Thread safety: one thread at a time.
 */
class HeldRoom
{
public:
    void add(const LiveRun &run);
    /** Precondition: the run was added. */
    void remove(const LiveRun &run);

    /** Processors of tasks that are no fillers, memory and accelerators of all. */
    [[nodiscard]] const Resources &held() const;
    /** Processors that the fillers would use. */
    [[nodiscard]] Millicores fillerDemand() const;
    /** Tasks that serve users, and the processors that they hold. */
    [[nodiscard]] std::int64_t servingRuns() const;
    [[nodiscard]] Millicores servingDemand() const;
    /** Whether a run of unknown size holds room. */
    [[nodiscard]] bool holdsUnknown() const;

private:
    void count(const LiveRun &run, std::int64_t sign);

    Resources m_held;
    Millicores m_fillerDemand;
    Millicores m_servingDemand;
    std::int64_t m_servingRuns = 0;
    std::int64_t m_unknownRuns = 0;
};

} // namespace currantring
