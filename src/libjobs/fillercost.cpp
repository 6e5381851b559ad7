#include "fillercost.h"

#include <algorithm>

namespace currantring {

namespace {

/** Below this contention fillers run at full speed, so a lower value brings no benefit. */
constexpr double minContention = 0.5;
/** Above this contention fillers get less than the processors that they ask for. */
constexpr double maxContention = 1;
/**
 * Stress margin below a serving task's limit that must remain after a filler is placed. A load that rises at 0.15 per
 * second uses it up in the 0.6 s until a pace order shows in the reports.
 */
constexpr double stressMargin = 0.1;
/** Cost weight of the coefficient of an image pair. */
constexpr double coefficientWeight = 1.5;

} // namespace

FillerCost::FillerCost(double contention, bool isFirst)
    : m_contention(contention)
    , m_isClosed(contention > maxContention && !isFirst)
{
}

void FillerCost::add(const FillerImpact &impact)
{
    const bool exceedsNow = impact.stressOverLimit + impact.addedStress > -stressMargin;
    const bool exceedsAtPeak = impact.peakOverLimit + impact.addedStress > 0;
    m_isClosed = m_isClosed || exceedsNow || exceedsAtPeak;
    m_interference = std::max(m_interference, impact.coefficient * coefficientWeight);
}

std::optional<double> FillerCost::total() const
{
    if (m_isClosed) {
        return std::nullopt;
    }
    return std::max(m_contention, minContention) + m_interference;
}

} // namespace currantring
