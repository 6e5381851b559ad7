#pragma once

#include "ids.h"
#include "random.h"

#include <concepts>
#include <optional>
#include <span>

namespace currantring {

/** An endpoint that may take the request: it has a free slot and is healthy. */
struct EndpointCandidate
{
    WorkerId worker;
    std::uint32_t freeSlots = 0;
    /** Learned mean service time; 0 when nothing is learned yet. */
    double meanServiceMs = 0;
};

/** Chooses one of the candidates; gives an index, or nullopt when there are none. */
template<typename T>
concept EndpointSelector = requires(T selector, std::span<const EndpointCandidate> candidates, Random &random)
{
    {
        selector.select(candidates, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

/**
 * Takes the endpoint with the most free slots, weighted with its learned speed.
 *
 * An endpoint without a learned time counts as fast as the mean of the others, so that it is tried. Equal ones are
 * told apart at random. Thread safety: one thread at a time.
 */
class LeastLoadedSelector
{
public:
    std::optional<std::size_t> select(std::span<const EndpointCandidate> candidates, Random &random);
};

/** Baseline: each in turn, whatever its load. Thread safety: one thread at a time. */
class RoundRobinSelector
{
public:
    std::optional<std::size_t> select(std::span<const EndpointCandidate> candidates, Random &random);

private:
    std::size_t m_next = 0;
};

/** Baseline: of two at random the one with more free slots. Thread safety: one thread at a time. */
class RandomOfTwoSelector
{
public:
    std::optional<std::size_t> select(std::span<const EndpointCandidate> candidates, Random &random);
};

static_assert(EndpointSelector<LeastLoadedSelector>);
static_assert(EndpointSelector<RoundRobinSelector>);
static_assert(EndpointSelector<RandomOfTwoSelector>);

} // namespace currantring
