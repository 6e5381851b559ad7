#pragma once

#include "context.h"
#include "lifetime.h"
#include "taskledger.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace currantring {

/** All tasks of a shard as of one slot. */
struct ShardSnapshot
{
    /** Slots up to this one are contained. */
    SlotNumber through;
    Epoch epoch;
    /** Encoded tasks. */
    std::vector<std::string> tasks;
};

/** Entry that names the newest snapshot's parts; a value of the store holds too little for a whole shard. */
struct SnapshotHead
{
    SlotNumber through;
    Epoch epoch;
    std::vector<std::string> parts;
};

/**
 * Reads and writes the snapshots of one shard: the parts first, then the head by compare-and-swap.
 *
 * Thread safety: one thread at a time.
 */
class SnapshotWriter
{
public:
    /** Nullopt inside when the shard has no snapshot; an error when the store gave no answer. */
    using LoadHandler = std::function<void(tl::expected<std::optional<ShardSnapshot>, StoreError>)>;

    /** Precondition: @p context outlives the object. */
    SnapshotWriter(ShardId shard, Context &context);

    void load(LoadHandler then);
    /** Writes @p snapshot, with retries. Precondition: isWriting() is false. */
    void write(const ShardSnapshot &snapshot);
    /** Slot through which the newest snapshot that is known to be stored reaches; 0 when there is none. */
    [[nodiscard]] SlotNumber through() const;
    [[nodiscard]] bool isWriting() const;

private:
    void loadParts(const SnapshotHead &head, LoadHandler then);
    void loadPart(const SnapshotHead &head, ShardSnapshot snapshot, std::size_t index, LoadHandler then);
    void putPart(std::size_t index);
    void putHead();
    void finish();
    void retry();
    void checkHead();
    void removeParts(const std::vector<std::string> &parts);
    [[nodiscard]] std::string headKey() const;

    ShardId m_shard;
    Context &m_context;
    Lifetime m_lifetime;
    StoreVersion m_headVersion;
    SnapshotHead m_head;
    bool m_writing = false;
    SnapshotHead m_newHead;
    std::vector<std::string> m_newParts;
};

} // namespace currantring
