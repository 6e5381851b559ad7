#pragma once

#include "ids.h"

#include <string>

namespace currantring {

/** Keys of the entries that hosts keep in the platform's store, by shard where there is one for each. */
struct StoreLayout
{
    ShardId shard;

    /** What is under the prefix decides who writes the shard. */
    [[nodiscard]] std::string writerPrefix() const;
    /** Names the writer; its revision is the fencing token. */
    [[nodiscard]] std::string claimKey() const;
    /** Vanishes with the writer's lease. */
    [[nodiscard]] std::string aliveKey() const;
    /** What the writers have learnt of neighbours. */
    [[nodiscard]] std::string knowledgeKey() const;
    [[nodiscard]] std::string logPrefix() const;
    [[nodiscard]] std::string logKey(std::uint64_t slot) const;
    /** The slot's number; 0 when @p key is no slot of the log. */
    [[nodiscard]] std::uint64_t slotOf(const std::string &key) const;

    /** Where each host says its address; not tied to a lease. */
    static std::string hostsPrefix();
    static std::string hostKey(const HostId &host);
    static HostId hostOf(const std::string &key);
};

} // namespace currantring
