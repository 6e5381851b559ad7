#include "taskspec.h"

#include "enumnames.h"

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

constexpr EnumNames<TaskKind, 2> taskKindNames { {
    { TaskKind::Batch, "batch" },
    { TaskKind::Watcher, "watcher" },
} };

} // namespace

void to_json(nlohmann::json &json, const TaskSpec &spec)
{
    json = { { "kind", enumName(taskKindNames, spec.kind) },
             { "urgent", spec.urgent },
             { "declared", spec.declared },
             { "deadline", spec.deadline },
             { "declaredRunMs", spec.declaredRunTime.count() },
             { "program", spec.program } };
}

void from_json(const nlohmann::json &json, TaskSpec &spec)
{
    spec.kind = requireEnumValue(taskKindNames, json.at("kind").get<std::string>());
    json.at("urgent").get_to(spec.urgent);
    json.at("declared").get_to(spec.declared);
    json.at("deadline").get_to(spec.deadline);
    spec.declaredRunTime = Milliseconds(json.at("declaredRunMs").get<std::int64_t>());
    json.at("program").get_to(spec.program);
}

} // namespace currantring
