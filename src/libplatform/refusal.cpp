#include "refusal.h"

#include "workerrequestcodec.h"

#include <nlohmann/json.hpp>

namespace currantring {

std::optional<RefusalReason> readRefusal(int status, const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    if (status == 400 && json.value("error", nlohmann::json()) == "malformed") {
        return RefusalReason::None;
    }
    const nlohmann::json refused = json.value("refused", nlohmann::json());
    if (status != 503 || !refused.is_string()) {
        return std::nullopt;
    }
    return refusalReasonFromName(refused.get<std::string>());
}

} // namespace currantring
