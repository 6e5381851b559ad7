#include "standinprogram.h"

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

template<typename Value>
Value memberOr(const nlohmann::json &json, const char *name, Value otherwise)
{
    const auto member = json.find(name);
    if (member == json.end()) {
        return otherwise;
    }
    try {
        return member->get<Value>();
    } catch (const nlohmann::json::exception &) {
        return otherwise;
    }
}

} // namespace

StandinProgram readStandinProgram(const TaskSpec &spec)
{
    StandinProgram program;
    program.used = spec.declared;
    std::int64_t steps = spec.declaredRunTime.count();
    const nlohmann::json json = nlohmann::json::parse(spec.program, nullptr, false);
    if (json.is_object()) {
        steps = memberOr(json, "runMs", steps);
        program.fails = memberOr(json, "fail", false);
        program.used.processors = Millicores(memberOr(json, "usedMillicores", program.used.processors.value()));
        program.used.memory = Mebibytes(memberOr(json, "usedMebibytes", program.used.memory.value()));
        program.result = memberOr(json, "result", std::string());
    }
    if (spec.kind == TaskKind::Batch) {
        program.steps = steps;
    }
    return program;
}

} // namespace currantring
