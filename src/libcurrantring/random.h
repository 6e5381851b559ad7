#pragma once

#include <cstdint>
#include <random>

namespace currantring {

/** Seeded random source handed to decision code; equal seeds give equal sequences. */
using Random = std::mt19937_64;

/** Uniform integer below @p bound. Precondition: @p bound is at least 1. Same on every platform. */
inline std::uint64_t uniformBelow(Random &random, std::uint64_t bound)
{
    return random() % bound;
}

/** Uniform real in [0, 1). Same on every platform. */
inline double uniformUnit(Random &random)
{
    constexpr double mantissaRange = 9007199254740992.0; // 2^53
    return static_cast<double>(random() >> 11U) / mantissaRange;
}

} // namespace currantring
