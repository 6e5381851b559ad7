#pragma once

#include <optional>

namespace currantring {

/** What a filler would add to the serving tasks of one image on a worker. */
struct FillerImpact
{
    /** Difference between the tasks' present stress and their limit. */
    double stressOverLimit = 0;
    /** Difference between the tasks' stress at peak load and their limit. */
    double peakOverLimit = 0;
    /** Stress that a filler using all processors of a worker would add. */
    double coefficient = 0;
    /** Stress that this filler adds. */
    double addedStress = 0;
};

/** Whether a filler may be placed where serving tasks may have it throttled. */
enum class FillerThrottling { Avoided, Accepted };

/**
 * Decides whether a worker may get a filler, and at what cost.
 *
 * Handles a load of fillers that exceeds the processors that other tasks leave unused. More fillers than fit only slow
 * each other down, and beside a serving task they push its tail over the target until they are throttled, halted and
 * moved. All of them finish sooner when those that don't fit wait, so a worker is closed to a filler that might have to
 * be throttled later.
 *
 * Thread safety: reentrant.
 */
class FillerCost
{
public:
    /**
     * @p contention: ratio of the fillers' processor demand, including the new one, to the processors available to
     * them.
     * @p isFirst: whether it would be the worker's only filler, which is placed however large it is.
     */
    FillerCost(double contention, bool isFirst, FillerThrottling throttling);

    /** Adds the impact on the serving tasks of one image. */
    void add(const FillerImpact &impact);
    /** Nullopt when the worker is closed to the filler. */
    [[nodiscard]] std::optional<double> total() const;

private:
    double m_contention;
    double m_interference = 0;
    FillerThrottling m_throttling;
    bool m_isClosed;
};

} // namespace currantring
