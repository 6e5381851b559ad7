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
/** Cost weights of the coefficient of an image pair, and of the stress that throttling has to make up for. */
constexpr double coefficientWeight = 1.5;
constexpr double excessWeight = 10;

} // namespace

FillerCost::FillerCost(double contention, bool isFirst, FillerThrottling throttling)
    : m_contention(contention)
    , m_throttling(throttling)
    , m_isClosed(contention > maxContention && !isFirst)
{
}

void FillerCost::add(const FillerImpact &impact)
{
    const double excessNow = impact.stressOverLimit + impact.addedStress + stressMargin;
    const double excessAtPeak = impact.peakOverLimit + impact.addedStress;
    const double excess = std::max({ excessNow, excessAtPeak, 0.0 });
    m_isClosed = m_isClosed || (excess > 0 && m_throttling == FillerThrottling::Avoided);
    m_interference = std::max(m_interference, excess * excessWeight + impact.coefficient * coefficientWeight);
}

std::optional<double> FillerCost::total() const
{
    if (m_isClosed) {
        return std::nullopt;
    }
    return std::max(m_contention, minContention) + m_interference;
}

} // namespace currantring
