#include "endpointselector.h"

namespace currantring {

namespace {

double meanOfLearned(std::span<const EndpointCandidate> candidates)
{
    double sum = 0;
    std::size_t learned = 0;
    for (const EndpointCandidate &candidate : candidates) {
        if (candidate.meanServiceMs > 0) {
            sum += candidate.meanServiceMs;
            ++learned;
        }
    }
    return learned == 0 ? 1 : sum / static_cast<double>(learned);
}

} // namespace

std::optional<std::size_t> LeastLoadedSelector::select(std::span<const EndpointCandidate> candidates, Random &random)
{
    const double usualMs = meanOfLearned(candidates);
    std::optional<std::size_t> best;
    double bestScore = 0;
    std::uint64_t equals = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const EndpointCandidate &candidate = candidates[index];
        const double serviceMs = candidate.meanServiceMs > 0 ? candidate.meanServiceMs : usualMs;
        const double score = candidate.freeSlots / serviceMs;
        if (!best || score > bestScore) {
            best = index;
            bestScore = score;
            equals = 1;
        } else if (score == bestScore && uniformBelow(random, ++equals) == 0) {
            best = index;
        }
    }
    return best;
}

std::optional<std::size_t> RoundRobinSelector::select(std::span<const EndpointCandidate> candidates, Random &)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    return m_next++ % candidates.size();
}

std::optional<std::size_t> RandomOfTwoSelector::select(std::span<const EndpointCandidate> candidates, Random &random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto first = static_cast<std::size_t>(uniformBelow(random, candidates.size()));
    const auto second = static_cast<std::size_t>(uniformBelow(random, candidates.size()));
    return candidates[first].freeSlots >= candidates[second].freeSlots ? first : second;
}

} // namespace currantring
