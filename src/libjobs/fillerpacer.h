#pragma once

#include "neighbourmodel.h"

#include <map>
#include <vector>

namespace currantring {

/** What a filler should work at. */
struct PaceChange
{
    RunRef run;
    std::uint32_t percent = 100;
};

/**
 * Slows the fillers beside a serving task whose tail nears its target, those first that disturb it most.
 *
 * Thread safety: one thread at a time.
 */
class FillerPacer
{
public:
    /** Precondition: @p model outlives the object. */
    explicit FillerPacer(const NeighbourModel &model);

    /** What to change on a worker after its report. */
    std::vector<PaceChange> decide(const WorkerLink &link, TimePoint now);

private:
    using Paces = std::map<RunRef, double>;

    void slowDown(const WorkerLink &link, const LiveRun &server, double excess, Paces &paces) const;
    void speedUp(const WorkerLink &link, double slack, Paces &paces) const;
    [[nodiscard]] double worstCoefficient(const WorkerLink &link, const ImageName &filler) const;

    const NeighbourModel &m_model;
    /** Since when serving tasks are over their targets. */
    std::map<RunRef, TimePoint> m_overSince;
};

} // namespace currantring
