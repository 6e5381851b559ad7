#include "configuration.h"

#include "configurationparser.h"

#include <algorithm>
#include <array>
#include <unordered_map>

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

constexpr std::size_t settingCount = 17;

/** Kinds of scope from the least to the most specific. */
enum class ScopeKind { DataCentre, Owner, Service, Worker };

struct IndexedException
{
    ScopeKind kind {};
    std::string id;
    std::size_t position = 0;
};

ScopeKind scopeKind(std::string_view name)
{
    if (name == "worker") {
        return ScopeKind::Worker;
    }
    if (name == "service") {
        return ScopeKind::Service;
    }
    return name == "owner" ? ScopeKind::Owner : ScopeKind::DataCentre;
}

bool applies(const IndexedException &exception, const Scope &scope)
{
    switch (exception.kind) {
    case ScopeKind::DataCentre:
        return scope.dataCentre && scope.dataCentre->value() == exception.id;
    case ScopeKind::Owner:
        return scope.owner && scope.owner->value() == exception.id;
    case ScopeKind::Service:
        return scope.service && scope.service->value() == exception.id;
    case ScopeKind::Worker:
        break;
    }
    return scope.worker && scope.worker->value() == exception.id;
}

} // namespace

struct Configuration::Data
{
    Data()
    {
        for (const SettingSpec &spec : fleetSettings()) {
            values.at(static_cast<std::size_t>(spec.setting)) = spec.builtIn;
        }
    }

    void index()
    {
        for (const ConfigurationContent::Default &entry : content.defaults) {
            values.at(static_cast<std::size_t>(entry.setting)) = entry.value;
            isDefault.at(static_cast<std::size_t>(entry.setting)) = true;
        }
        for (std::size_t position = 0; position < content.owners.size(); ++position) {
            owners.emplace(content.owners[position].id, position);
        }
        for (std::size_t position = 0; position < content.services.size(); ++position) {
            services.emplace(content.services[position].name, position);
        }
        for (std::size_t position = 0; position < content.exceptions.size(); ++position) {
            const ExceptionEntry &entry = content.exceptions[position];
            const std::size_t colon = entry.scope.find(':');
            exceptions.at(static_cast<std::size_t>(entry.setting))
                .push_back({ scopeKind(entry.scope.substr(0, colon)), entry.scope.substr(colon + 1), position });
        }
    }

    /** The exception that decides, or null. The most specific wins, then the last. */
    [[nodiscard]] const IndexedException *decisive(Setting setting, const Scope &scope) const
    {
        const IndexedException *best = nullptr;
        for (const IndexedException &exception : exceptions.at(static_cast<std::size_t>(setting))) {
            if (applies(exception, scope) && (best == nullptr || exception.kind >= best->kind)) {
                best = &exception;
            }
        }
        return best;
    }

    std::string text;
    ConfigurationContent content;
    std::array<std::int64_t, settingCount> values {};
    std::array<bool, settingCount> isDefault {};
    std::array<std::vector<IndexedException>, settingCount> exceptions;
    std::unordered_map<OwnerId, std::size_t> owners;
    std::unordered_map<ServiceName, std::size_t> services;
};

Configuration::Configuration()
    : m_data(std::make_shared<const Data>())
{
}

tl::expected<Configuration, Findings> Configuration::parse(std::string_view text, std::string_view fileName)
{
    tl::expected<ConfigurationContent, Findings> content = parseConfiguration(text, fileName);
    if (!content) {
        return tl::unexpected(std::move(content.error()));
    }
    auto data = std::make_shared<Data>();
    data->text = text;
    data->content = std::move(*content);
    data->index();
    Configuration configuration;
    configuration.m_data = std::move(data);
    return configuration;
}

std::int64_t Configuration::value(Setting setting, const Scope &scope) const
{
    const IndexedException *exception = m_data->decisive(setting, scope);
    return exception == nullptr ? m_data->values.at(static_cast<std::size_t>(setting))
                                : m_data->content.exceptions[exception->position].value;
}

Milliseconds Configuration::duration(Setting setting, const Scope &scope) const
{
    return Milliseconds(value(setting, scope));
}

EffectiveValue Configuration::effective(Setting setting, const Scope &scope) const
{
    const auto position = static_cast<std::size_t>(setting);
    if (const IndexedException *exception = m_data->decisive(setting, scope)) {
        const ExceptionEntry &entry = m_data->content.exceptions[exception->position];
        return { entry.value, "exception " + std::to_string(exception->position + 1), entry.reason };
    }
    return { m_data->values.at(position), m_data->isDefault.at(position) ? "defaults" : "built-in", "" };
}

const OwnerEntry *Configuration::owner(const OwnerId &id) const
{
    const auto found = m_data->owners.find(id);
    return found == m_data->owners.end() ? nullptr : &m_data->content.owners[found->second];
}

const ServiceEntry *Configuration::service(const ServiceName &name) const
{
    const auto found = m_data->services.find(name);
    return found == m_data->services.end() ? nullptr : &m_data->content.services[found->second];
}

const std::vector<OwnerEntry> &Configuration::owners() const
{
    return m_data->content.owners;
}

const std::vector<ServiceEntry> &Configuration::services() const
{
    return m_data->content.services;
}

const std::vector<ExceptionEntry> &Configuration::exceptions() const
{
    return m_data->content.exceptions;
}

const std::string &Configuration::text() const
{
    return m_data->text;
}

void to_json(nlohmann::json &json, const ConfigurationRecord &record)
{
    json = {
        { "version", record.version }, { "change", record.change }, { "author", record.author }, { "text", record.text }
    };
}

void from_json(const nlohmann::json &json, ConfigurationRecord &record)
{
    json.at("version").get_to(record.version);
    json.at("change").get_to(record.change);
    json.at("author").get_to(record.author);
    json.at("text").get_to(record.text);
}

} // namespace currantring
