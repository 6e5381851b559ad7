#pragma once

#include "liverun.h"
#include "neighbourknowledge.h"
#include "units.h"
#include "workerlink.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace currantring {

/**
 * Learns how much the tasks that fill a worker disturb the tasks that serve users beside them.
 *
 * The tail of a serving task's response times grows like that of a queue: tail = base / (1 - stress). Its stress is the
 * sum of its own load, which the tasks of one step share, and of what each filler beside it adds: a coefficient for the
 * pair of images times the filler's part of the worker's processors. Both are tracked by a Kalman filter with a
 * diagonal covariance: tasks of one step on workers with different fillers tell the load and the coefficients apart.
 * Stress is counted from the base, the shortest tail that was seen of an image. Thread safety: one thread at a time.
 */
class NeighbourModel
{
public:
    /** Takes in a worker's report. */
    void learn(const WorkerLink &link, TimePoint now);
    /** A filler has ended on a worker; the next reports still show its effect. */
    void noteEnded(const WorkerLink &link, const LiveRun &run, TimePoint now);
    /** Drops the loads of steps that weren't reported for long. */
    void forgetOld(TimePoint now);

    /** What holds for longer than the present writer. */
    [[nodiscard]] const NeighbourKnowledge &knowledge() const;
    /** Takes over what an earlier writer knew, where nothing was learnt yet. */
    void adopt(const NeighbourKnowledge &knowledge);

    /** Stress that a filler with all processors of a worker would add to a server. */
    [[nodiscard]] double coefficient(const ImageName &filler, const ImageName &server) const;
    /** Stress at which a task of the step is at its target; 1 when nothing is known. */
    [[nodiscard]] double limit(const StepSpec &server) const;
    /** Stress of the step's own load that has to be reckoned with. */
    [[nodiscard]] double expectedLoad(const StepRef &step, const StepSpec &server) const;
    /** How fast the step's own load changes, per second. */
    [[nodiscard]] double loadSlope(const StepRef &step) const;
    /** Stress that the fillers of @p link add to a server of image @p server, at their present pace. */
    [[nodiscard]] double addedStress(const WorkerLink &link, const ImageName &server) const;
    /** The stress that a reported tail means; nullopt when nothing is known of the image. */
    [[nodiscard]] std::optional<double> stress(const LiveRun &run) const;
    /** Stress that one filler at full pace adds on a worker. */
    [[nodiscard]] double fillerStress(const StepSpec &filler, const WorkerLink &link, const ImageName &server) const;

private:
    using Pair = NeighbourKnowledge::Pair;

    struct StepLoad
    {
        Estimate load;
        TimePoint at {};
        double slope = 0;
        /** The load at an earlier moment, which the slope is taken from. */
        double earlierMean = 0;
        TimePoint earlierAt {};
    };
    struct Share
    {
        ImageName image;
        double part = 0;
    };
    struct EndedFiller
    {
        Share share;
        TimePoint startedAt {};
        TimePoint endedAt {};
    };

    [[nodiscard]] std::vector<Share> fillerShares(const WorkerLink &link, TimePoint now);
    void learnServer(const LiveRun &run, const std::vector<Share> &shares, TimePoint now);
    [[nodiscard]] Estimate coefficientEstimate(const Pair &pair) const;
    StepLoad &predictLoad(const LiveRun &run, TimePoint now);
    static void updateSlope(StepLoad &load, TimePoint now);

    NeighbourKnowledge m_known;
    std::map<StepRef, StepLoad> m_loads;
    std::map<WorkerId, std::vector<EndedFiller>> m_ended;
};

} // namespace currantring
