#include "shardlog.h"

#include <algorithm>
#include <utility>

// How a ShardLog loads its shard and claims it; the rest of the class stands in shardlog.cpp.

namespace currantring {

void ShardLog::claim()
{
    m_state = State::Loading;
    load();
}

void ShardLog::load()
{
    if (m_snapshots.isWriting()) {
        retryLoad();
        return;
    }
    m_snapshots.load([this](const tl::expected<std::optional<ShardSnapshot>, StoreError> &snapshot) {
        m_storeAnswers = snapshot.has_value();
        if (!snapshot) {
            retryLoad();
            return;
        }
        loadRing(*snapshot);
    });
}

void ShardLog::loadRing(std::optional<ShardSnapshot> snapshot)
{
    m_context.callStore(StoreList { slotPrefix() },
                        m_lifetime.guard([this, snapshot = std::move(snapshot)](const StoreResult &result) {
                            m_storeAnswers = result.has_value();
                            if (!result || !replay(*result, snapshot)) {
                                retryLoad();
                                return;
                            }
                            if (isRingFull()) {
                                // What was loaded is committed, so any host may write its snapshot.
                                m_snapshots.write(draftSnapshot(SlotNumber(m_nextSlot.value() - 1)));
                                retryLoad();
                                return;
                            }
                            writeClaim();
                        }));
}

void ShardLog::retryLoad()
{
    m_context.schedule(backoff(), m_lifetime.guard([this] {
        if (m_state == State::Loading) {
            load();
        }
    }));
}

bool ShardLog::replay(const StoreReply &reply, const std::optional<ShardSnapshot> &snapshot)
{
    m_ledger = TaskLedger(m_charts);
    m_versions.clear();
    m_epoch = snapshot ? snapshot->epoch : Epoch(0);
    m_nextSlot = SlotNumber(snapshot ? snapshot->through.value() + 1 : 1);
    for (const std::string &text : snapshot ? snapshot->tasks : std::vector<std::string> {}) {
        std::optional<TaskState> task = TaskLedger::decodeTask(nlohmann::json::parse(text, nullptr, false));
        if (!task) {
            return false;
        }
        m_ledger.restore(std::move(*task));
    }
    std::map<SlotNumber, LedgerSlot> slots;
    for (const StoreEntry &entry : reply.entries) {
        std::optional<LedgerSlot> slot = decodeSlot(entry.value);
        if (!slot) {
            return false;
        }
        m_versions[entry.key] = entry.version;
        const SlotNumber number = slot->number;
        slots.emplace(number, std::move(*slot));
    }
    slots.erase(slots.begin(), slots.lower_bound(m_nextSlot));
    for (const auto &[number, slot] : slots) {
        // A gap means that the ring moved on while it was being read.
        if (number != m_nextSlot) {
            return false;
        }
        for (const TimedRecord &timed : slot.records) {
            const RecordOrigin from { m_shard, number, slot.epoch, slot.writer, timed.at };
            static_cast<void>(m_ledger.apply(timed.record, from));
        }
        m_epoch = std::max(m_epoch, slot.epoch);
        m_nextSlot = SlotNumber(number.value() + 1);
    }
    return true;
}

void ShardLog::writeClaim()
{
    m_state = State::Claiming;
    m_epoch = Epoch(m_epoch.value() + 1);
    m_inFlight = LedgerSlot { m_nextSlot, m_epoch, m_self, m_nonce, {} };
    m_inFlightText = encodeSlot(*m_inFlight);
    m_firstSentAt = m_context.now();
    putSlot();
}

} // namespace currantring
