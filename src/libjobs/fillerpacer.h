#pragma once

#include "neighbourmodel.h"

#include <map>
#include <vector>

namespace currantring {

/** The new pace of a filler, in percent of full speed. */
struct PaceChange
{
    RunRef run;
    std::uint32_t percent = 100;
};

/**
 * Throttles the fillers beside a serving task whose tail latency approaches its target, most disruptive ones first.
 *
 * Thread safety: one thread at a time.
 */
class FillerPacer
{
public:
    /** Precondition: @p model outlives the object. */
    explicit FillerPacer(const NeighbourModel &model);

    /** The pace changes for a worker after its report. */
    std::vector<PaceChange> decide(const WorkerLink &link, TimePoint now);

private:
    struct Pace
    {
        const LiveRun *run = nullptr;
        /** Fraction of full speed. */
        double value = 1;
    };
    /** The running fillers of a worker, in the order of its runs. */
    using Paces = std::vector<Pace>;

    void slowDown(const WorkerLink &link, const LiveRun &server, double excess, Paces &paces) const;
    void speedUp(const WorkerLink &link, double headroom, Paces &paces) const;
    [[nodiscard]] double maxCoefficient(const WorkerLink &link, const ImageName &filler) const;

    const NeighbourModel &m_model;
    /** Since when serving tasks have exceeded their tail latency targets. */
    std::map<RunRef, TimePoint> m_overSince;
};

} // namespace currantring
