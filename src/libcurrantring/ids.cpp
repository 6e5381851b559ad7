#include "ids.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace currantring {

std::uint64_t stableHash(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

std::string stableHashHex(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return digits.data();
}

TaskId makeTaskId(const OwnerId &owner, const SubmissionKey &key)
{
    // The length keeps ("a", "b/c") and ("a/b", "c") apart.
    return TaskId(stableHashHex(std::to_string(owner.value().size()) + ":" + owner.value() + "/" + key.value()));
}

ShardId homeShard(const TaskId &task, std::uint32_t shardCount)
{
    return ShardId(static_cast<std::uint32_t>(stableHash(task.value()) % shardCount));
}

ShardId workerShard(const WorkerId &worker, std::uint32_t shardCount)
{
    return ShardId(static_cast<std::uint32_t>(stableHash(worker.value()) % shardCount));
}

} // namespace currantring
