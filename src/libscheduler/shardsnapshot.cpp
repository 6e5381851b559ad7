#include "shardsnapshot.h"

namespace currantring {

namespace {

/** Bytes of tasks in one part; leaves room below the store's limit. */
constexpr std::size_t partBytes = 700'000;
/** Wait before a snapshot that failed is written again. */
constexpr Milliseconds retryDelay(1000);

std::string encodeHead(const SnapshotHead &head)
{
    const nlohmann::json json = { { "through", head.through }, { "epoch", head.epoch }, { "parts", head.parts } };
    return json.dump();
}

std::optional<SnapshotHead> decodeHead(const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        return SnapshotHead { json.at("through").get<SlotNumber>(), json.at("epoch").get<Epoch>(),
                              json.at("parts").get<std::vector<std::string>>() };
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

/** Packs @p tasks into JSON arrays of at most partBytes each. */
std::vector<std::string> packParts(const std::vector<std::string> &tasks)
{
    std::vector<std::string> parts;
    std::string part;
    for (const std::string &task : tasks) {
        if (!part.empty() && part.size() + task.size() > partBytes) {
            parts.push_back("[" + part + "]");
            part.clear();
        }
        part += (part.empty() ? "" : ",") + task;
    }
    if (!part.empty()) {
        parts.push_back("[" + part + "]");
    }
    return parts;
}

bool unpackPart(const std::string &text, std::vector<std::string> &tasks)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_array()) {
        return false;
    }
    for (const nlohmann::json &task : json) {
        tasks.push_back(task.dump());
    }
    return true;
}

} // namespace

SnapshotWriter::SnapshotWriter(ShardId shard, Context &context)
    : m_shard(shard)
    , m_context(context)
{
}

std::string SnapshotWriter::headKey() const
{
    return "ledger/" + std::to_string(m_shard.value()) + "/snapshot";
}

void SnapshotWriter::load(LoadHandler then)
{
    m_context.callStore(
        StoreGet { headKey() }, m_lifetime.guard([this, then = std::move(then)](const StoreResult &result) {
            if (!result) {
                then(tl::unexpected(result.error()));
                return;
            }
            if (result->entries.empty()) {
                then(std::optional<ShardSnapshot> {});
                return;
            }
            const std::optional<SnapshotHead> head = decodeHead(result->entries.front().value);
            if (!head) {
                m_context.log(LogLevel::Error, "snapshot_unreadable", { { "shard", std::to_string(m_shard.value()) } });
                then(tl::unexpected(StoreError::Unknown));
                return;
            }
            m_headVersion = result->entries.front().version;
            m_head = *head;
            loadParts(*head, then);
        }));
}

void SnapshotWriter::loadParts(const SnapshotHead &head, LoadHandler then)
{
    loadPart(head, ShardSnapshot { head.through, head.epoch, {} }, 0, std::move(then));
}

void SnapshotWriter::loadPart(const SnapshotHead &head, ShardSnapshot snapshot, std::size_t index, LoadHandler then)
{
    if (index == head.parts.size()) {
        then(std::optional<ShardSnapshot>(std::move(snapshot)));
        return;
    }
    m_context.callStore(StoreGet { head.parts.at(index) },
                        m_lifetime.guard([this, head, snapshot = std::move(snapshot), index,
                                          then = std::move(then)](const StoreResult &result) mutable {
                            const bool isThere = result && !result->entries.empty();
                            // A part that is gone belongs to a snapshot that was replaced meanwhile; the load starts
                            // again.
                            if (!isThere || !unpackPart(result->entries.front().value, snapshot.tasks)) {
                                then(tl::unexpected(result ? StoreError::Unknown : result.error()));
                                return;
                            }
                            loadPart(head, std::move(snapshot), index + 1, then);
                        }));
}

void SnapshotWriter::write(const ShardSnapshot &snapshot)
{
    m_writing = true;
    m_newParts = packParts(snapshot.tasks);
    m_newHead = SnapshotHead { snapshot.through, snapshot.epoch, {} };
    const std::string prefix = "ledger/" + std::to_string(m_shard.value()) + "/part/"
        + std::to_string(snapshot.through.value()) + "-" + std::to_string(snapshot.epoch.value()) + "-";
    for (std::size_t index = 0; index < m_newParts.size(); ++index) {
        m_newHead.parts.push_back(prefix + std::to_string(index));
    }
    putPart(0);
}

void SnapshotWriter::putPart(std::size_t index)
{
    if (index == m_newParts.size()) {
        putHead();
        return;
    }
    m_context.callStore(StorePut { m_newHead.parts.at(index), m_newParts.at(index), std::nullopt, std::nullopt },
                        m_lifetime.guard([this, index](const StoreResult &result) {
                            if (result) {
                                putPart(index + 1);
                            } else {
                                retry();
                            }
                        }));
}

void SnapshotWriter::putHead()
{
    m_context.callStore(StorePut { headKey(), encodeHead(m_newHead), m_headVersion, std::nullopt },
                        m_lifetime.guard([this](const StoreResult &result) {
                            if (result) {
                                m_headVersion = result->version;
                                finish();
                            } else {
                                checkHead();
                            }
                        }));
}

void SnapshotWriter::checkHead()
{
    // The write may have taken effect without its reply.
    m_context.callStore(StoreGet { headKey() }, m_lifetime.guard([this](const StoreResult &result) {
        if (!result) {
            retry();
            return;
        }
        const bool isThere = !result->entries.empty();
        const std::optional<SnapshotHead> head = isThere ? decodeHead(result->entries.front().value) : std::nullopt;
        if (head && head->epoch > m_newHead.epoch) {
            return; // Another writer has the shard; this one will learn so with its next slot.
        }
        m_headVersion = isThere ? result->entries.front().version : StoreVersion(0);
        if (head && head->epoch == m_newHead.epoch && head->through == m_newHead.through) {
            finish();
        } else {
            retry();
        }
    }));
}

void SnapshotWriter::retry()
{
    m_context.schedule(retryDelay, m_lifetime.guard([this] { putPart(0); }));
}

void SnapshotWriter::finish()
{
    m_writing = false;
    m_newParts.clear();
    removeParts(m_head.parts);
    m_head = m_newHead;
}

void SnapshotWriter::removeParts(const std::vector<std::string> &parts)
{
    for (const std::string &part : parts) {
        m_context.callStore(StoreDelete { part }, [](const StoreResult &) {});
    }
}

SlotNumber SnapshotWriter::through() const
{
    return m_head.through;
}

bool SnapshotWriter::isWriting() const
{
    return m_writing;
}

} // namespace currantring
