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

/** Where the platform keeps its own entries in the store, and how they are read. */
struct SiteFormats
{
    std::string configurationKey;
    std::function<tl::expected<SiteConfiguration, Findings>(std::string_view text)> decodeConfiguration;
    /** Each worker's entry stands under this and its id. */
    std::string workerPrefix;
    /** Nullopt when the entry names no worker to use. */
    std::function<std::optional<WorkerEntry>(const KvEntry &entry)> decodeWorker;
};

} // namespace currantring
