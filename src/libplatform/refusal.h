#pragma once

#include "workerrequest.h"

#include <optional>
#include <string>

namespace currantring {

/**
 * The reason in a worker's answer that it did nothing; nullopt when the answer doesn't say so in the worker's own
 * words. Thread safety: reentrant.
 */
std::optional<RefusalReason> readRefusal(int status, const std::string &body);

} // namespace currantring
