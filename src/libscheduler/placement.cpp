#include "placement.h"

#include <algorithm>
#include <array>

namespace currantring {

namespace {

double share(std::int64_t used, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(used) / static_cast<double>(capacity) : 0.0;
}

std::array<double, 3> shares(const Resources &used, const Resources &capacity)
{
    return { share(used.processors.value(), capacity.processors.value()),
             share(used.memory.value(), capacity.memory.value()),
             share(used.accelerators.value(), capacity.accelerators.value()) };
}

double usedShare(const PlacementCandidate &candidate, const Resources &need)
{
    return dominantShare(candidate.capacity - candidate.free + need, candidate.capacity);
}

/** Distance between the most and the least used resource after placing @p need. */
double imbalance(const PlacementCandidate &candidate, const Resources &need)
{
    const std::array<double, 3> after = shares(candidate.capacity - candidate.free + need, candidate.capacity);
    const auto [least, most] = std::ranges::minmax(after);
    return most - least;
}

} // namespace

double dominantShare(const Resources &used, const Resources &capacity)
{
    return std::ranges::max(shares(used, capacity));
}

std::size_t FirstFit::choose(const Resources & /*need*/, std::span<const PlacementCandidate> /*candidates*/,
                             Random & /*random*/) const
{
    return 0;
}

std::size_t RandomOfTwo::choose(const Resources &need, std::span<const PlacementCandidate> candidates,
                                Random &random) const
{
    const std::size_t first = uniformBelow(random, candidates.size());
    const std::size_t second = uniformBelow(random, candidates.size());
    return usedShare(candidates[first], need) <= usedShare(candidates[second], need) ? first : second;
}

std::size_t BalancedFit::choose(const Resources &need, std::span<const PlacementCandidate> candidates,
                                Random & /*random*/) const
{
    const auto better = [&](const PlacementCandidate &left, const PlacementCandidate &right) {
        const double leftScore = imbalance(left, need) + usedShare(left, need);
        const double rightScore = imbalance(right, need) + usedShare(right, need);
        return leftScore < rightScore;
    };
    return static_cast<std::size_t>(std::ranges::min_element(candidates, better) - candidates.begin());
}

} // namespace currantring
