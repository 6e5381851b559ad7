#include "configurationchange.h"

#include <algorithm>

namespace currantring {

namespace {

constexpr Milliseconds settleTime(5000);
constexpr std::int64_t firstRetryDelay = 100;
constexpr std::int64_t maximumRetryDelay = 2000;
constexpr std::string_view documentName = "configuration.toml";

std::string encodeRecord(const ConfigurationRecord &record)
{
    return nlohmann::json(record).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string configurationHistoryKey(ConfigurationVersion version)
{
    return "configuration/history/" + std::to_string(version.value());
}

std::optional<ConfigurationRecord> decodeConfigurationRecord(const std::string &value)
{
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    try {
        return json.get<ConfigurationRecord>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

Milliseconds retryDelay(Random &random, std::uint32_t trial)
{
    const std::int64_t bound = std::min(maximumRetryDelay, firstRetryDelay << std::min(trial, 8U));
    const std::int64_t half = bound / 2;
    return Milliseconds(half + static_cast<std::int64_t>(uniformBelow(random, static_cast<std::uint64_t>(half) + 1)));
}

ConfigurationChange::ConfigurationChange(Context &context, Hooks hooks, ApplyConfiguration change, ReplyHandler handler)
    : m_context(context)
    , m_hooks(std::move(hooks))
    , m_change(std::move(change))
    , m_handler(std::move(handler))
    , m_record { ConfigurationVersion(m_change.madeAgainst.value() + 1), m_change.change, m_change.author,
                 m_change.text }
{
}

void ConfigurationChange::start()
{
    if (const std::optional<Findings> findings = faults()) {
        finishInvalid(*findings);
        return;
    }
    const std::optional<ConfigurationRecord> inForce = m_hooks.inForce();
    if (inForce && settleBy(*inForce)) {
        return;
    }
    m_deadline = m_context.schedule(settleTime, [self = shared_from_this()] {
        self->finishUnknown("the store couldn't be asked or confirm in time; ask again with the same change id");
    });
    readCurrent();
}

std::optional<Findings> ConfigurationChange::faults() const
{
    auto parsed = Configuration::parse(m_change.text, documentName);
    Findings findings = parsed ? Findings {} : std::move(parsed.error());
    if (m_change.change.value().empty()) {
        findings.push_back({ "change", Severity::Error, "expected a change id, seen none" });
    }
    if (m_change.author.empty()) {
        findings.push_back({ "author", Severity::Error, "expected an author, seen none" });
    }
    if (const std::size_t size = encodeRecord(m_record).size(); size > maximumStoreValueBytes) {
        findings.push_back({ std::string(documentName), Severity::Error,
                             "expected at most " + std::to_string(maximumStoreValueBytes)
                                 + " bytes as a stored record, seen " + std::to_string(size) });
    }
    return findings.empty() ? std::nullopt : std::optional(std::move(findings));
}

void ConfigurationChange::readCurrent()
{
    call(StoreGet { std::string(configurationKey) }, [this](const StoreReply &reply) { handleCurrent(reply); });
}

void ConfigurationChange::handleCurrent(const StoreReply &reply)
{
    std::optional<ConfigurationRecord> stored;
    m_expected = StoreVersion();
    if (!reply.entries.empty()) {
        m_expected = reply.entries.front().version;
        stored = decodeConfigurationRecord(reply.entries.front().value);
        if (!stored) {
            finishUnknown("the stored record can't be read");
            return;
        }
        m_hooks.take(*stored);
    }
    // A store restored from an old copy may be behind the version in force, which then counts.
    const std::optional<ConfigurationRecord> inForce = m_hooks.inForce();
    ConfigurationRecord current = stored.value_or(ConfigurationRecord {});
    if (inForce && inForce->version > current.version) {
        current = *inForce;
    }
    if (settleBy(current)) {
        return;
    }
    if (current.version != m_change.madeAgainst) {
        readHistory(current);
    } else if (current.version.value() == 0) {
        put();
    } else {
        archive(current);
    }
}

bool ConfigurationChange::settleBy(const ConfigurationRecord &record)
{
    if (record.change != m_change.change) {
        return false;
    }
    if (record.text != m_change.text) {
        finishInvalid({ { "change", Severity::Error,
                          "expected a new change id, seen the one of another document, accepted as version "
                              + std::to_string(record.version.value()) } });
    } else {
        finish(ReplyCode::Ok, { { "version", record.version }, { "change", record.change } });
    }
    return true;
}

void ConfigurationChange::readHistory(const ConfigurationRecord &current)
{
    if (current.version <= m_record.version) {
        // Nothing was superseded after the version that the change would have had.
        finishConflict(current);
        return;
    }
    call(StoreGet { configurationHistoryKey(m_record.version) }, [this, current](const StoreReply &reply) {
        std::optional<ConfigurationRecord> past;
        if (!reply.entries.empty()) {
            past = decodeConfigurationRecord(reply.entries.front().value);
        }
        if (past && settleBy(*past)) {
            return;
        }
        if (!past && m_mayBeWritten) {
            finishUnknown("the history lacks the version that would tell whether the change was accepted");
        } else {
            finishConflict(current);
        }
    });
}

void ConfigurationChange::archive(const ConfigurationRecord &current)
{
    // Reading first settles an archive write whose reply was lost.
    call(StoreGet { configurationHistoryKey(current.version) }, [this, current](const StoreReply &reply) {
        if (reply.entries.empty()) {
            writeArchive(current);
        } else {
            put();
        }
    });
}

void ConfigurationChange::writeArchive(const ConfigurationRecord &current)
{
    StorePut request { configurationHistoryKey(current.version), encodeRecord(current), StoreVersion(0), {} };
    m_context.callStore(std::move(request), [self = shared_from_this()](const StoreResult &result) {
        if (self->m_finished) {
            return;
        }
        // Conflict: the record is there already.
        if (result || result.error() == StoreError::Conflict) {
            self->put();
        } else {
            self->retry();
        }
    });
}

void ConfigurationChange::put()
{
    StorePut request { std::string(configurationKey), encodeRecord(m_record), m_expected, {} };
    m_context.callStore(std::move(request),
                        [self = shared_from_this()](const StoreResult &result) { self->handlePut(result); });
}

void ConfigurationChange::handlePut(const StoreResult &result)
{
    if (result) {
        // In force also when the caller was answered before the store confirmed.
        m_hooks.take(m_record);
        m_context.callStore(
            StorePut { configurationHistoryKey(m_record.version), encodeRecord(m_record), StoreVersion(0), {} },
            [](const StoreResult &) {});
        finish(ReplyCode::Ok, { { "version", m_record.version }, { "change", m_record.change } });
        return;
    }
    switch (result.error()) {
    case StoreError::TooLarge:
        finishInvalid({ { std::string(documentName), Severity::Error, "expected a smaller document for the store" } });
        break;
    case StoreError::LeaseLapsed:
    case StoreError::Unknown:
        m_mayBeWritten = true;
        retry();
        break;
    case StoreError::Conflict:
    case StoreError::NotSent:
        // Reading again tells who came first.
        retry();
        break;
    }
}

void ConfigurationChange::call(StoreRequest request, std::function<void(const StoreReply &)> then)
{
    m_context.callStore(std::move(request),
                        [self = shared_from_this(), then = std::move(then)](const StoreResult &result) {
                            if (self->m_finished) {
                                return;
                            }
                            if (result) {
                                then(*result);
                            } else {
                                self->retry();
                            }
                        });
}

void ConfigurationChange::retry()
{
    if (m_finished) {
        return;
    }
    m_context.schedule(retryDelay(m_context.random(), m_trials++), [self = shared_from_this()] {
        if (!self->m_finished) {
            self->readCurrent();
        }
    });
}

void ConfigurationChange::finishInvalid(const Findings &findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Finding &finding : findings) {
        list.push_back({ { "place", finding.place },
                         { "severity", finding.severity == Severity::Error ? "error" : "warning" },
                         { "message", finding.message } });
    }
    finish(ReplyCode::Invalid, { { "findings", list } });
}

void ConfigurationChange::finishConflict(const ConfigurationRecord &current)
{
    finish(ReplyCode::Conflict,
           { { "version", current.version }, { "change", current.change }, { "author", current.author } });
}

void ConfigurationChange::finishUnknown(const std::string &cause)
{
    finish(ReplyCode::NotYetKnown, { { "error", cause } });
}

void ConfigurationChange::finish(ReplyCode code, const nlohmann::json &body)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    if (m_deadline) {
        m_context.cancel(*m_deadline);
    }
    m_handler({ code, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) });
}

} // namespace currantring
