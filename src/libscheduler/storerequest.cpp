#include "storerequest.h"

#include "enumnames.h"

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

constexpr EnumNames<WorkerState, 2> workerStateNames { {
    { WorkerState::Live, "live" },
    { WorkerState::Leaving, "leaving" },
} };

} // namespace

void to_json(nlohmann::json &json, const WorkerInfo &info)
{
    json = { { "id", info.id },
             { "address", info.address },
             { "rack", info.rack },
             { "dataCentre", info.dataCentre },
             { "capacity", info.capacity },
             { "slots", info.slots },
             { "connections", info.connections },
             { "services", info.services },
             { "state", enumName(workerStateNames, info.state) } };
}

void from_json(const nlohmann::json &json, WorkerInfo &info)
{
    json.at("id").get_to(info.id);
    json.at("address").get_to(info.address);
    json.at("rack").get_to(info.rack);
    json.at("dataCentre").get_to(info.dataCentre);
    json.at("capacity").get_to(info.capacity);
    json.at("slots").get_to(info.slots);
    json.at("connections").get_to(info.connections);
    json.at("services").get_to(info.services);
    info.state = requireEnumValue(workerStateNames, json.at("state").get<std::string>());
}

} // namespace currantring
