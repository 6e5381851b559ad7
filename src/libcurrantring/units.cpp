#include "units.h"

#include <nlohmann/json.hpp>

namespace currantring {

bool Resources::covers(const Resources &need) const
{
    return processors >= need.processors && memory >= need.memory && accelerators >= need.accelerators;
}

Resources &Resources::operator+=(const Resources &other)
{
    processors = Millicores(processors.value() + other.processors.value());
    memory = Mebibytes(memory.value() + other.memory.value());
    accelerators = AcceleratorCount(accelerators.value() + other.accelerators.value());
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    processors = Millicores(processors.value() - other.processors.value());
    memory = Mebibytes(memory.value() - other.memory.value());
    accelerators = AcceleratorCount(accelerators.value() - other.accelerators.value());
    return *this;
}

Resources operator+(Resources left, const Resources &right)
{
    left += right;
    return left;
}

Resources operator-(Resources left, const Resources &right)
{
    left -= right;
    return left;
}

void to_json(nlohmann::json &json, const Resources &resources)
{
    json = { { "millicores", resources.processors },
             { "mebibytes", resources.memory },
             { "accelerators", resources.accelerators } };
}

void from_json(const nlohmann::json &json, Resources &resources)
{
    json.at("millicores").get_to(resources.processors);
    json.at("mebibytes").get_to(resources.memory);
    json.at("accelerators").get_to(resources.accelerators);
}

} // namespace currantring
