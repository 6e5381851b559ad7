#pragma once

#include "jobids.h"

#include <map>
#include <optional>
#include <string>
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

    std::map<ImageName, ServerImage> servers;
    /** Stress that a filler using all processors of a worker would add to a serving task. */
    std::map<Pair, Estimate> coefficients;

    bool operator==(const NeighbourKnowledge &) const = default;
};

/** Encodes @p knowledge as compact JSON for the store. Thread safety: reentrant. */
std::string encodeKnowledge(const NeighbourKnowledge &knowledge);
/** Nullopt when @p text is malformed. Thread safety: reentrant. */
std::optional<NeighbourKnowledge> decodeKnowledge(const std::string &text);

} // namespace currantring
