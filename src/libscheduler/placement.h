#pragma once

#include "ids.h"
#include "random.h"
#include "units.h"

#include <concepts>
#include <optional>
#include <span>

namespace currantring {

/** A worker on which a task fits now. */
struct PlacementCandidate
{
    WorkerId worker;
    Resources capacity;
    /** Capacity less what is reserved; covers the task's need. */
    Resources free;
    /** Tasks that the worker runs. */
    std::size_t attempts = 0;
};

/** Chooses one of the workers on which a task fits. */
template<typename Policy>
concept PlacementPolicy = requires(Policy policy, const Resources &need, std::span<const PlacementCandidate> candidates,
                                   Random &random)
{
    {
        policy.choose(need, candidates, random)
        } -> std::same_as<std::size_t>;
};

/** Takes the first candidate; the plain baseline. */
struct FirstFit
{
    /** Precondition: @p candidates isn't empty. Thread safety: reentrant. */
    [[nodiscard]] std::size_t choose(const Resources &need, std::span<const PlacementCandidate> candidates,
                                     Random &random) const;
};

/** Takes the emptier of two random candidates; the second baseline. */
struct RandomOfTwo
{
    /** Precondition: @p candidates isn't empty. Thread safety: reentrant. */
    [[nodiscard]] std::size_t choose(const Resources &need, std::span<const PlacementCandidate> candidates,
                                     Random &random) const;
};

/**
 * Takes the candidate whose free resources keep the shape of its capacity best, so that no single resource runs out
 * while others lie idle; ties go to the emptier worker.
 */
struct BalancedFit
{
    /** Precondition: @p candidates isn't empty. Thread safety: reentrant. */
    [[nodiscard]] std::size_t choose(const Resources &need, std::span<const PlacementCandidate> candidates,
                                     Random &random) const;
};

static_assert(PlacementPolicy<FirstFit> && PlacementPolicy<RandomOfTwo> && PlacementPolicy<BalancedFit>);

/** Largest share of any resource of @p capacity that @p used takes, 0 to 1 (or more). Thread safety: reentrant. */
double dominantShare(const Resources &used, const Resources &capacity);

} // namespace currantring
