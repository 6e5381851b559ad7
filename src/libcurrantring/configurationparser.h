#pragma once

#include "configuration.h"

#include <string_view>
#include <vector>

namespace currantring {

/** Largest configuration document in bytes. */
inline constexpr std::size_t maximumDocumentBytes = 1'000'000;

/** What stands in a document, before it is indexed. */
struct ConfigurationContent
{
    struct Default
    {
        Setting setting {};
        std::int64_t value = 0;
    };

    std::vector<Default> defaults;
    std::vector<OwnerEntry> owners;
    std::vector<ServiceEntry> services;
    std::vector<ExceptionEntry> exceptions;
};

/** Reads and checks a document in one pass over all its mistakes. Thread safety: reentrant. */
tl::expected<ConfigurationContent, Findings> parseConfiguration(std::string_view text, std::string_view fileName);

} // namespace currantring
