#pragma once

#include "jobids.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace currantring {

/** An estimate with its variance. */
struct Estimate
{
    double mean = 0;
    double variance = 0;

    bool operator==(const Estimate &) const = default;
};

/** Learnt properties of the serving tasks of an image. */
struct ServerImage
{
    /** Lowest observed tail latency, in ms. */
    double baseTail = 0;
    /** High quantile of the load, as stress. */
    double peakLoad = 0.45;

    bool operator==(const ServerImage &) const = default;
};

/** Learnt properties of images, which are stored and outlive a writer. */
struct NeighbourKnowledge
{
    /** Filler image and serving image. */
    using Pair = std::pair<ImageName, ImageName>;
    using PairView = std::pair<const ImageName &, const ImageName &>;
    /** Finds a pair without copying its names. */
    struct PairLess
    {
        using is_transparent = void;

        template<typename Left, typename Right>
        bool operator()(const Left &left, const Right &right) const
        {
            return std::tie(left.first, left.second) < std::tie(right.first, right.second);
        }
    };

    std::map<ImageName, ServerImage> servers;
    /** Stress that a filler using all processors of a worker would add to a serving task. */
    std::map<Pair, Estimate, PairLess> coefficients;

    bool operator==(const NeighbourKnowledge &) const = default;
};

/** Encodes @p knowledge as compact JSON for the store. Thread safety: reentrant. */
std::string encodeKnowledge(const NeighbourKnowledge &knowledge);
/** Nullopt when @p text is malformed. Thread safety: reentrant. */
std::optional<NeighbourKnowledge> decodeKnowledge(const std::string &text);

} // namespace currantring
