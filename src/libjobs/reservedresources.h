#pragma once

#include "liverun.h"

namespace currantring {

/**
 * Resources of a worker that its runs reserve, updated as runs are added and removed.
 *
 * Thread safety: one thread at a time.
 */
class ReservedResources
{
public:
    void add(const LiveRun &run);
    /** Precondition: the run was added. */
    void remove(const LiveRun &run);

    /** Processors of all runs except fillers; memory and accelerators of all runs. */
    [[nodiscard]] const Resources &held() const;
    /** What the lasting runs take of held(). */
    [[nodiscard]] const Resources &heldByLasting() const;
    /** Processors that the fillers request. */
    [[nodiscard]] Millicores fillerDemand() const;
    /** Number of serving runs. */
    [[nodiscard]] std::int64_t servingRuns() const;
    /** Processors that the serving runs reserve. */
    [[nodiscard]] Millicores servingDemand() const;
    /** Whether any run is of unknown size because its job isn't known. */
    [[nodiscard]] bool hasRunOfUnknownSize() const;

private:
    void adjust(const LiveRun &run, std::int64_t sign);

    Resources m_held;
    Resources m_heldByLasting;
    Millicores m_fillerDemand;
    Millicores m_servingDemand;
    std::int64_t m_servingRuns = 0;
    std::int64_t m_unknownRuns = 0;
};

} // namespace currantring
