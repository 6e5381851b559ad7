#pragma once

#include "finding.h"
#include "kvrequest.h"
#include "siteconfiguration.h"
#include "workerentry.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace currantring {

/** Keys of the platform's own entries in the store, and functions that decode them. */
struct SiteFormats
{
    std::string configurationKey;
    std::function<tl::expected<SiteConfiguration, Findings>(std::string_view text)> decodeConfiguration;
    /** Prefix of the workers' entries; a worker's id follows it. */
    std::string workerPrefix;
    /** Returns nullopt when the entry doesn't describe a usable worker. */
    std::function<std::optional<WorkerEntry>(const KvEntry &entry)> decodeWorker;
    /** Prefix of the keys that name evacuated data centres; empty where the deployment has no evacuations. */
    std::string evacuationPrefix {};
    /** Time from the operator's write of such a key to the last start that a worker there may receive. */
    Milliseconds evacuationBound { 5000 };
};

} // namespace currantring
