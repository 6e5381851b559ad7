#pragma once

#include "configuration.h"
#include "context.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace currantring {

/** Entry that holds the record in force. */
inline constexpr std::string_view configurationKey = "configuration/current";
/** Entry that keeps the record of @p version after it was superseded. Thread safety: reentrant. */
std::string configurationHistoryKey(ConfigurationVersion version);
/** The record in an entry's value, or nullopt when it is malformed. Thread safety: reentrant. */
std::optional<ConfigurationRecord> decodeConfigurationRecord(const std::string &value);
/** The wait before trial @p trial (from 0) after errors: doubling, bounded, with jitter. */
Milliseconds retryDelay(Random &random, std::uint32_t trial);

/**
 * Brings one change of the configuration into the store and finds out whether it took effect.
 *
 * A put whose reply was lost is settled by reading back and, while the entry is unchanged, by the same put again:
 * both expect the same entry version, so that at most one of them takes effect. Each record is archived before it
 * is superseded; hence the change made against version N, if it was ever accepted, is found under N + 1.
 * Thread safety: one thread at a time.
 */
class ConfigurationChange : public std::enable_shared_from_this<ConfigurationChange>
{
public:
    using ReplyHandler = std::function<void(CallerReply)>;

    /** What the change needs from its keeper; both must be callable after the keeper's end. */
    struct Hooks
    {
        /** Copy of the record in force. */
        std::function<std::optional<ConfigurationRecord>()> inForce;
        /** Takes a record that was read or written. */
        std::function<void(const ConfigurationRecord &)> take;
    };

    /** Precondition: @p context outlives the change, which keeps itself alive until its calls are complete. */
    ConfigurationChange(Context &context, Hooks hooks, ApplyConfiguration change, ReplyHandler handler);

    /** Starts the change. The handler runs exactly once. */
    void start();

private:
    void readCurrent();
    void handleCurrent(const StoreReply &reply);
    void readHistory(const ConfigurationRecord &current);
    void archive(const ConfigurationRecord &current);
    void writeArchive(const ConfigurationRecord &current);
    void put();
    void handlePut(const StoreResult &result);
    void retry();
    [[nodiscard]] bool settleBy(const ConfigurationRecord &record);
    [[nodiscard]] std::optional<Findings> faults() const;
    void finishInvalid(const Findings &findings);
    void finishConflict(const ConfigurationRecord &current);
    void finishUnknown(const std::string &cause);
    void finish(ReplyCode code, const nlohmann::json &body);
    /** Calls the store; @p then runs on success, a retry on failure, and nothing once the change is finished. */
    void call(StoreRequest request, std::function<void(const StoreReply &)> then);

    Context &m_context;
    Hooks m_hooks;
    ApplyConfiguration m_change;
    ReplyHandler m_handler;
    ConfigurationRecord m_record;
    /** Version of the store's entry that the put expects; 0 when absent. */
    StoreVersion m_expected;
    std::uint32_t m_trials = 0;
    bool m_mayBeWritten = false;
    bool m_finished = false;
    std::optional<TimerId> m_deadline;
};

} // namespace currantring
