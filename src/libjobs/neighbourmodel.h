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
 * Estimates the interference of fillers with the serving tasks on the same worker.
 *
 * The tail latency of a serving task follows a queueing model: tail = base / (1 - stress). The stress is the sum of the
 * task's own load, which is common to the tasks of one step, and of a term for each filler on the worker: a coefficient
 * of the image pair times the filler's fraction of the worker's processors. Load and coefficients are tracked by a
 * Kalman filter with a diagonal covariance; tasks of one step on workers with different fillers make them separable.
 * The base, at which stress is 0, is the lowest observed tail of an image. Thread safety: one thread at a time.
 */
class NeighbourModel
{
public:
    /** Updates the estimates from a worker's report. */
    void learn(const WorkerLink &link, TimePoint now);
    /** Records the end of a filler, whose effect is still part of the next reports. */
    void recordFillerEnd(const WorkerLink &link, const LiveRun &run, TimePoint now);
    /** Drops the loads of steps without a recent report. */
    void expireLoads(TimePoint now);

    /** The estimates to be stored for later writers. */
    [[nodiscard]] const NeighbourKnowledge &knowledge() const;
    /** Adds an earlier writer's estimates where there are none yet. */
    void adopt(const NeighbourKnowledge &knowledge);

    /** Rises whenever a coefficient may have changed. */
    [[nodiscard]] std::uint64_t coefficientRevision() const;
    /** Stress that a filler using all processors of a worker would add to a serving task. */
    [[nodiscard]] double coefficient(const ImageName &filler, const ImageName &server) const;
    /** Stress at which a task of the step reaches its tail latency target; 1 when nothing is known of its image. */
    [[nodiscard]] double limit(const StepSpec &server) const;
    /** Stress of the step's own load at its peak. */
    [[nodiscard]] double expectedLoad(const StepRef &step, const StepSpec &server) const;
    /** Rate of change of the step's own load, per second. */
    [[nodiscard]] double loadSlope(const StepRef &step) const;
    /** Stress that the fillers of @p link add to a serving task of image @p server, at their current pace. */
    [[nodiscard]] double addedStress(const WorkerLink &link, const ImageName &server) const;
    /** The stress derived from the reported tail; nullopt without a tail or an estimate for the image. */
    [[nodiscard]] std::optional<double> stress(const LiveRun &run) const;
    /** Stress that one filler at full pace adds on a worker. */
    [[nodiscard]] double fillerStress(const StepSpec &filler, const WorkerLink &link, const ImageName &server) const;

private:
    struct StepLoad
    {
        Estimate load;
        TimePoint at {};
        double slope = 0;
        /** The load at the start of the slope window. */
        double earlierMean = 0;
        TimePoint earlierAt {};
    };
    struct Share
    {
        ImageName image;
        double fraction = 0;
    };
    struct EndedFiller
    {
        Share share;
        TimePoint startedAt {};
        TimePoint endedAt {};
    };

    [[nodiscard]] std::vector<Share> fillerShares(const WorkerLink &link, TimePoint now);
    void learnServer(const LiveRun &run, ServerImage &image, const std::vector<Share> &shares, TimePoint now);
    [[nodiscard]] static double stressOf(const ServerImage &image, const LiveRun &run);
    Estimate &coefficientFor(const ImageName &filler, const ImageName &server);
    [[nodiscard]] Estimate coefficientEstimate(const ImageName &filler, const ImageName &server) const;
    StepLoad &predictLoad(const LiveRun &run, TimePoint now);
    static void updateSlope(StepLoad &load, TimePoint now);

    NeighbourKnowledge m_known;
    std::uint64_t m_coefficientRevision = 0;
    std::map<StepRef, StepLoad> m_loads;
    std::map<WorkerId, std::vector<EndedFiller>> m_ended;
};

} // namespace currantring
