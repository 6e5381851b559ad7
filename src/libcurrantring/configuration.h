#pragma once

#include "finding.h"
#include "ids.h"
#include "units.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace currantring {

/** The settings that hold for the whole fleet and may be overridden by exceptions. */
enum class Setting {
    ShardCount,
    GroupCommitTick,
    TaskLease,
    OutageTerm,
    ClockError,
    StartWindow,
    ReportInterval,
    HostListInterval,
    HeartbeatInterval,
    PeerSilence,
    RequestDeadline,
    RequestQueueLimit,
    TaskQueueLimit,
    RetryBudget,
    AttemptLimit,
    EndedRetention,
    SnapshotSlots,
};

/** Name, unit, range and meaning of one fleet setting. */
struct SettingSpec
{
    Setting setting;
    std::string_view name;
    /** `ms`, `s`, `percent` or empty for a count. */
    std::string_view unit;
    std::int64_t minimum;
    std::int64_t maximum;
    /** Value when the document doesn't name the setting. */
    std::int64_t builtIn;
    std::string_view help;
};

/** All fleet settings in the order of Setting. Thread safety: reentrant. */
std::span<const SettingSpec> fleetSettings();

/** A customer, its share and its limits. */
struct OwnerEntry
{
    OwnerId id;
    /** Share of contended capacity in relation to other owners. */
    std::uint32_t weight = 1;
    /** Most that the owner's tasks may hold together. */
    Resources quota;
};

/** A latency-critical service whose endpoints are the workers that offer it. */
struct ServiceEntry
{
    ServiceName name;
    OwnerId owner;
    /** Deadline of requests that bring none. */
    Milliseconds deadline {};
    /** Whether requests may be repeated when the caller doesn't say. */
    bool idempotent = false;
};

/** What a setting is looked up for; an exception applies when its scope names one of these. */
struct Scope
{
    std::optional<OwnerId> owner;
    std::optional<ServiceName> service;
    std::optional<WorkerId> worker;
    std::optional<DataCentreId> dataCentre;
};

/** A deviation from the fleet defaults with the reason for it. */
struct ExceptionEntry
{
    /** `owner:ID`, `service:NAME`, `worker:ID` or `dataCentre:ID`. */
    std::string scope;
    Setting setting {};
    std::int64_t value = 0;
    std::string reason;
    std::string author;
    /** `standing` or an end date `YYYY-MM-DD`. */
    std::string until;
};

/** A setting's value for one scope and where it comes from. */
struct EffectiveValue
{
    std::int64_t value = 0;
    /** `built-in`, `defaults` or `exception N` counted from 1. */
    std::string source;
    /** The exception's written reason; empty otherwise. */
    std::string reason;
};

/**
 * One checked configuration document: fleet defaults, owners, services, exceptions.
 *
 * Immutable, and cheap to copy. Thread safety: all methods are reentrant.
 */
class Configuration
{
public:
    /** A document without owners and services, all settings built-in. */
    Configuration();

    /** Reads TOML @p text; findings name @p fileName with line and column. All mistakes are found in one pass. */
    static tl::expected<Configuration, Findings> parse(std::string_view text, std::string_view fileName);

    /** Value of @p setting for @p scope in the setting's unit. */
    [[nodiscard]] std::int64_t value(Setting setting, const Scope &scope = {}) const;
    /** Value of a setting with the unit ms. Precondition: the unit of @p setting is ms. */
    [[nodiscard]] Milliseconds duration(Setting setting, const Scope &scope = {}) const;
    /** Value of @p setting for @p scope with its origin. */
    [[nodiscard]] EffectiveValue effective(Setting setting, const Scope &scope) const;
    /** The owner's entry, or null when unknown. */
    [[nodiscard]] const OwnerEntry *owner(const OwnerId &id) const;
    /** The service's entry, or null when unknown. */
    [[nodiscard]] const ServiceEntry *service(const ServiceName &name) const;
    [[nodiscard]] const std::vector<OwnerEntry> &owners() const;
    [[nodiscard]] const std::vector<ServiceEntry> &services() const;
    [[nodiscard]] const std::vector<ExceptionEntry> &exceptions() const;
    /** The text that was parsed. */
    [[nodiscard]] const std::string &text() const;

private:
    struct Data;
    std::shared_ptr<const Data> m_data;
};

/** One accepted version of the configuration document, as stored and as passed between hosts. */
struct ConfigurationRecord
{
    ConfigurationVersion version;
    ChangeId change;
    std::string author;
    /** The TOML document. */
    std::string text;

    bool operator==(const ConfigurationRecord &) const = default;
};

void to_json(nlohmann::json &json, const ConfigurationRecord &record);
void from_json(const nlohmann::json &json, ConfigurationRecord &record);

} // namespace currantring
