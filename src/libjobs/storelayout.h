#pragma once

#include "ids.h"

#include <string>

namespace currantring {

/** Keys of the entries that hosts keep in the platform's store; non-static functions give the keys of one shard. */
struct StoreLayout
{
    ShardId shard;

    /** Prefix of the writer election's entries. */
    [[nodiscard]] std::string writerPrefix() const;
    /** Entry that names the writer; its revision is the fencing token. */
    [[nodiscard]] std::string claimKey() const;
    /** Liveness entry of the writer, deleted when its lease expires. */
    [[nodiscard]] std::string aliveKey() const;
    /** Token of the writer that last noted that no lease of an earlier writer is valid any more. */
    [[nodiscard]] std::string settledKey() const;
    /** Knowledge about neighbours that one writer passes on to the next. */
    [[nodiscard]] std::string knowledgeKey() const;
    [[nodiscard]] std::string logPrefix() const;
    [[nodiscard]] std::string logKey(std::uint64_t slot) const;
    /** Number of the slot with @p key; 0 when @p key isn't a slot of the log. */
    [[nodiscard]] std::uint64_t slotOf(const std::string &key) const;

    /** Prefix of the entries that hold each host's peer address; they aren't tied to a lease. */
    static std::string hostsPrefix();
    static std::string hostKey(const HostId &host);
    static HostId hostOf(const std::string &key);
};

} // namespace currantring
