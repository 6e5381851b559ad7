#include "configurationkeeper.h"

#include "configurationchange.h"

namespace currantring {

namespace {

constexpr Milliseconds watchWait(10000);
constexpr Milliseconds pollInterval(3000);
/** Past this a call without result counts as lost. */
constexpr Milliseconds watchGuard(15000);
constexpr Milliseconds pollGuard(6000);
/** Least time between two watches, so that a service that answers at once isn't flooded. */
constexpr Milliseconds watchSpacing(100);
constexpr Milliseconds pullInterval(500);

} // namespace

struct ConfigurationKeeper::Private
{
    Private(Context &schedulerContext, ChangeHandler handler)
        : context(schedulerContext)
        , onChange(std::move(handler))
    {
    }

    void poll();
    void finishPoll(std::uint64_t serial, ConfigurationVersion floor, const StoreResult &result);
    void watch();
    void finishWatch(std::uint64_t serial, TimePoint begun, ConfigurationVersion floor, const StoreResult &result);
    /** Takes an entry that was read when @p floor was in force already; a lower version there is an error. */
    void takeEntry(const StoreEntry &entry, ConfigurationVersion floor);
    void take(const ConfigurationRecord &candidate, std::string_view origin, ConfigurationVersion floor = {});
    [[nodiscard]] ConfigurationVersion version() const;
    void callStore(StoreRequest request, Context::StoreContinuation then);
    void schedule(Milliseconds delay, std::function<void()> then);

    Context &context;
    ChangeHandler onChange;
    std::optional<ConfigurationRecord> record;
    bool knownEmpty = false;
    bool running = false;
    /** Numbers the polls and watches; a result or guard of an older one doesn't go on. */
    std::uint64_t pollSerial = 0;
    std::uint64_t watchSerial = 0;
    std::uint32_t pollErrors = 0;
    std::uint32_t watchErrors = 0;
    StoreRevision watchedRevision;
    std::optional<TimePoint> lastPull;
    /** Expires with the keeper; outstanding calls and timers then do nothing. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

void ConfigurationKeeper::Private::callStore(StoreRequest request, Context::StoreContinuation then)
{
    context.callStore(std::move(request),
                      [guard = std::weak_ptr(alive), then = std::move(then)](const StoreResult &result) {
                          if (!guard.expired()) {
                              then(result);
                          }
                      });
}

void ConfigurationKeeper::Private::schedule(Milliseconds delay, std::function<void()> then)
{
    context.schedule(delay, [this, guard = std::weak_ptr(alive), then = std::move(then)] {
        if (!guard.expired() && running) {
            then();
        }
    });
}

void ConfigurationKeeper::Private::poll()
{
    const std::uint64_t serial = ++pollSerial;
    schedule(pollGuard, [this, serial] {
        if (serial == pollSerial) {
            poll();
        }
    });
    callStore(StoreGet { std::string(configurationKey) },
              [this, serial, floor = version()](const StoreResult &result) { finishPoll(serial, floor, result); });
}

void ConfigurationKeeper::Private::finishPoll(std::uint64_t serial, ConfigurationVersion floor,
                                              const StoreResult &result)
{
    if (result) {
        pollErrors = 0;
        for (const StoreEntry &entry : result->entries) {
            takeEntry(entry, floor);
        }
        if (result->entries.empty()) {
            knownEmpty = !record;
            if (floor.value() > 0) {
                context.log(LogLevel::Error, "configuration_missing_in_store",
                            { { "in_force", std::to_string(version().value()) } });
            }
        }
    }
    if (serial != pollSerial || !running) {
        return;
    }
    ++pollSerial; // Disarms the guard.
    const Milliseconds delay = result ? pollInterval : retryDelay(context.random(), pollErrors++);
    schedule(delay, [this, next = pollSerial] {
        if (next == pollSerial) {
            poll();
        }
    });
}

void ConfigurationKeeper::Private::watch()
{
    const std::uint64_t serial = ++watchSerial;
    schedule(watchGuard, [this, serial] {
        if (serial == watchSerial) {
            watch();
        }
    });
    // The prefix is the entry itself: the history beside it would be sent along, a whole document for each version.
    callStore(StoreWatch { std::string(configurationKey), watchedRevision, watchWait },
              [this, serial, begun = context.now(), floor = version()](const StoreResult &result) {
                  finishWatch(serial, begun, floor, result);
              });
}

void ConfigurationKeeper::Private::finishWatch(std::uint64_t serial, TimePoint begun, ConfigurationVersion floor,
                                               const StoreResult &result)
{
    if (result) {
        watchErrors = 0;
        watchedRevision = result->revision;
        for (const StoreEntry &entry : result->entries) {
            takeEntry(entry, floor);
        }
    }
    if (serial != watchSerial || !running) {
        return;
    }
    ++watchSerial; // Disarms the guard.
    const Milliseconds spent = context.now() - begun;
    const Milliseconds delay =
        result ? watchSpacing - std::min(spent, watchSpacing) : retryDelay(context.random(), watchErrors++);
    schedule(delay, [this, next = watchSerial] {
        if (next == watchSerial) {
            watch();
        }
    });
}

void ConfigurationKeeper::Private::takeEntry(const StoreEntry &entry, ConfigurationVersion floor)
{
    if (entry.key != configurationKey) {
        return;
    }
    const std::optional<ConfigurationRecord> candidate = decodeConfigurationRecord(entry.value);
    if (candidate) {
        take(*candidate, "store", floor);
    } else {
        context.log(LogLevel::Error, "configuration_record_malformed", { { "key", entry.key } });
    }
}

ConfigurationVersion ConfigurationKeeper::Private::version() const
{
    return record ? record->version : ConfigurationVersion();
}

void ConfigurationKeeper::Private::take(const ConfigurationRecord &candidate, std::string_view origin,
                                        ConfigurationVersion floor)
{
    const std::string seen = std::to_string(candidate.version.value());
    if (candidate.version <= version()) {
        // Pushes and reads may simply be late. A read that began afterwards sees less only in a restored store.
        if (candidate.version < floor || (candidate.version == version() && candidate != *record)) {
            context.log(LogLevel::Error, "configuration_version_went_back",
                        { { "origin", std::string(origin) },
                          { "seen", seen },
                          { "in_force", std::to_string(version().value()) } });
        }
        return;
    }
    const auto parsed = Configuration::parse(candidate.text, configurationKey);
    if (!parsed) {
        context.log(LogLevel::Error, "configuration_not_understood",
                    { { "version", seen }, { "first", formatFinding(parsed.error().front()) } });
        return;
    }
    record = candidate;
    knownEmpty = false;
    context.log(LogLevel::Info, "configuration_in_force",
                { { "version", seen },
                  { "change", candidate.change.value() },
                  { "author", candidate.author },
                  { "origin", std::string(origin) } });
    onChange(*parsed, candidate);
}

ConfigurationKeeper::ConfigurationKeeper(Context &context, ChangeHandler onChange)
    : m_d(std::make_unique<Private>(context, std::move(onChange)))
{
}

ConfigurationKeeper::~ConfigurationKeeper() = default;

void ConfigurationKeeper::start()
{
    if (m_d->running) {
        return;
    }
    m_d->running = true;
    m_d->poll();
    m_d->watch();
}

void ConfigurationKeeper::stop()
{
    m_d->running = false;
}

void ConfigurationKeeper::noteVersion(const HostId &peer, ConfigurationVersion version)
{
    if (version <= m_d->version() || (m_d->lastPull && m_d->context.now() - *m_d->lastPull < pullInterval)) {
        return;
    }
    m_d->lastPull = m_d->context.now();
    m_d->context.sendPeer(peer, ConfigurationPull {});
}

void ConfigurationKeeper::handlePull(const HostId &peer)
{
    if (m_d->record) {
        m_d->context.sendPeer(peer, ConfigurationPush { *m_d->record });
    }
}

void ConfigurationKeeper::handlePush(const ConfigurationPush &push)
{
    m_d->take(push.record, "peer");
}

void ConfigurationKeeper::apply(const ApplyConfiguration &change, ReplyHandler handler)
{
    const std::weak_ptr<bool> guard = m_d->alive;
    ConfigurationChange::Hooks hooks {
        [priv = m_d.get(), guard] { return guard.expired() ? std::nullopt : priv->record; },
        [priv = m_d.get(), guard](const ConfigurationRecord &record) {
            if (!guard.expired()) {
                priv->take(record, "store");
            }
        },
    };
    std::make_shared<ConfigurationChange>(m_d->context, std::move(hooks), change, std::move(handler))->start();
}

const std::optional<ConfigurationRecord> &ConfigurationKeeper::record() const
{
    return m_d->record;
}

bool ConfigurationKeeper::isKnownEmpty() const
{
    return m_d->knownEmpty;
}

} // namespace currantring
