#include "neighbourknowledge.h"

#include <cmath>

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

using nlohmann::json;

/** Values are stored as integers in units of 1/1000. */
constexpr double unitsPerOne = 1000;

std::int64_t toStored(double value)
{
    return std::llround(value * unitsPerOne);
}

double fromStored(const json &value)
{
    return static_cast<double>(value.get_ref<const json::number_integer_t &>()) / unitsPerOne;
}

} // namespace

std::string encodeKnowledge(const NeighbourKnowledge &knowledge)
{
    json servers = json::array();
    for (const auto &[image, server] : knowledge.servers) {
        servers.push_back({ image.value(), toStored(server.baseTail), toStored(server.peakLoad) });
    }
    json pairs = json::array();
    for (const auto &[pair, estimate] : knowledge.coefficients) {
        pairs.push_back(
            { pair.first.value(), pair.second.value(), toStored(estimate.mean), toStored(estimate.variance) });
    }
    return json::array({ std::move(servers), std::move(pairs) }).dump();
}

std::optional<NeighbourKnowledge> decodeKnowledge(const std::string &text)
{
    NeighbourKnowledge knowledge;
    try {
        const json source = json::parse(text);
        for (const json &row : source.at(0)) {
            knowledge.servers[ImageName(row.at(0).get<std::string>())] = { fromStored(row.at(1)),
                                                                           fromStored(row.at(2)) };
        }
        for (const json &row : source.at(1)) {
            knowledge
                .coefficients[{ ImageName(row.at(0).get<std::string>()), ImageName(row.at(1).get<std::string>()) }] = {
                fromStored(row.at(2)), fromStored(row.at(3))
            };
        }
    } catch (const json::exception &) {
        return std::nullopt;
    }
    return knowledge;
}

} // namespace currantring
