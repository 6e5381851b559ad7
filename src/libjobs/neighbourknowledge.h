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

/** What is known of the serving tasks of an image. */
struct ServerImage
{
    /** Shortest tail that was seen, in ms. */
    double baseTail = 0;
    /** A load that is rarely exceeded. */
    double peakLoad = 0.45;

    bool operator==(const ServerImage &) const = default;
};

/** What was learnt of images and holds for longer than a writer. */
struct NeighbourKnowledge
{
    /** Filling image and serving image. */
    using Pair = std::pair<ImageName, ImageName>;

    std::map<ImageName, ServerImage> servers;
    /** Stress that a filler with all processors of a worker would add to a server. */
    std::map<Pair, Estimate> coefficients;

    bool operator==(const NeighbourKnowledge &) const = default;
};

/** Compact text for the store. Thread safety: reentrant. */
std::string encodeKnowledge(const NeighbourKnowledge &knowledge);
/** Nullopt when @p text can't be read. Thread safety: reentrant. */
std::optional<NeighbourKnowledge> decodeKnowledge(const std::string &text);

} // namespace currantring
