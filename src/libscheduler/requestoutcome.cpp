#include "requestoutcome.h"

#include <nlohmann/json.hpp>

namespace currantring {

CallerReply makeOutcome(ReplyCode code, std::string_view reason)
{
    const nlohmann::json body {
        { "outcome", std::string(replyCodeName(code)) },
        { "reason", std::string(reason) },
    };
    return CallerReply { code, body.dump() };
}

} // namespace currantring
