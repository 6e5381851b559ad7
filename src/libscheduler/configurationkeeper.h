#pragma once

#include "configuration.h"
#include "context.h"

#include <functional>
#include <memory>
#include <optional>

namespace currantring {

/**
 * Keeps the newest accepted configuration: writes changes by compare-and-swap, learns of others' by watch, by poll
 * and from peers, and never goes back to an older version.
 *
 * Thread safety: one thread at a time.
 */
class ConfigurationKeeper
{
public:
    using ReplyHandler = std::function<void(CallerReply)>;
    using ChangeHandler = std::function<void(const Configuration &, const ConfigurationRecord &)>;

    /** Precondition: @p context outlives the keeper. @p onChange runs with each version that comes into force. */
    ConfigurationKeeper(Context &context, ChangeHandler onChange);
    ~ConfigurationKeeper();
    ConfigurationKeeper(const ConfigurationKeeper &) = delete;
    ConfigurationKeeper &operator=(const ConfigurationKeeper &) = delete;

    /** Starts reading and watching the store. */
    void start();
    /** Stops watching, so that the process can end. */
    void stop();
    /** Ensures that @p version is fetched from @p peer when it is newer than the one in force. */
    void noteVersion(const HostId &peer, ConfigurationVersion version);
    /** Answers a pull with a push, when there is a version. */
    void handlePull(const HostId &peer);
    /** Takes a document from a peer. */
    void handlePush(const ConfigurationPush &push);
    /** Writes a change. @p handler runs exactly once: Ok with the version, Conflict, Invalid or NotYetKnown. */
    void apply(const ApplyConfiguration &change, ReplyHandler handler);

    /** The record in force; nullopt before any is known. */
    [[nodiscard]] const std::optional<ConfigurationRecord> &record() const;
    /** Whether the store answered that it holds no configuration yet. */
    [[nodiscard]] bool isKnownEmpty() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace currantring
