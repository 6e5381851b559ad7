#include "configurationparser.h"

#include "tomlcheck.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace currantring {

namespace {

constexpr TomlRange weightRange { 1, 1000, "" };
constexpr TomlRange millicoreRange { 0, 1'000'000'000, "millicores" };
constexpr TomlRange mebibyteRange { 0, 1'000'000'000, "mebibytes" };
constexpr TomlRange acceleratorRange { 0, 1'000'000, "accelerators" };
constexpr std::size_t maximumIdLength = 64;

const SettingSpec *findSetting(std::string_view name)
{
    const auto specs = fleetSettings();
    const auto found = std::ranges::find(specs, name, &SettingSpec::name);
    return found == specs.end() ? nullptr : &*found;
}

TomlRange rangeOf(const SettingSpec &spec)
{
    return { spec.minimum, spec.maximum, spec.unit };
}

/** Ids stand in keys of the store and in labels, so that only plain letters are let through. */
bool isPlainId(std::string_view id)
{
    return id.size() <= maximumIdLength && std::ranges::all_of(id, [](unsigned char letter) {
               return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
           });
}

std::optional<int> parseDigits(std::string_view text)
{
    int value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = error == std::errc() && end == text.data() + text.size() && text.front() != '-';
    return isWhole ? std::optional(value) : std::nullopt;
}

bool isDate(std::string_view text)
{
    if (text.size() != 10 || text[4] != '-' || text[7] != '-') {
        return false;
    }
    const auto year = parseDigits(text.substr(0, 4));
    const auto month = parseDigits(text.substr(5, 2));
    const auto day = parseDigits(text.substr(8, 2));
    return year && month && day
        && std::chrono::year_month_day(std::chrono::year(*year), std::chrono::month(static_cast<unsigned>(*month)),
                                       std::chrono::day(static_cast<unsigned>(*day)))
               .ok();
}

/** Builds the content of one document and checks how its parts refer to each other. */
class ConfigurationParser
{
public:
    explicit ConfigurationParser(std::string_view fileName)
        : m_check(fileName)
    {
    }

    tl::expected<ConfigurationContent, Findings> read(const toml::table &root)
    {
        m_check.checkKeys(root, { "defaults", "owners", "services", "exceptions" }, "the document");
        readDefaults(root);
        for (const toml::table *table : m_check.tables(root, "owners")) {
            readOwner(*table);
        }
        for (const toml::table *table : m_check.tables(root, "services")) {
            readService(*table);
        }
        for (const toml::table *table : m_check.tables(root, "exceptions")) {
            readException(*table);
        }
        Findings findings = m_check.takeFindings();
        if (hasErrors(findings)) {
            return tl::unexpected(std::move(findings));
        }
        return std::move(m_content);
    }

private:
    void readDefaults(const toml::table &root)
    {
        const toml::node *node = root.get("defaults");
        if (node == nullptr) {
            return;
        }
        const toml::table *table = node->as_table();
        if (table == nullptr) {
            m_check.report(node->source(), "expected a table for 'defaults'");
            return;
        }
        for (const auto &[key, value] : *table) {
            const SettingSpec *spec = findSetting(key.str());
            if (spec == nullptr) {
                m_check.reportUnknownKey(key, "[defaults], which takes names of settings");
            } else if (const auto number = m_check.integerValue(value, key.str(), rangeOf(*spec))) {
                m_content.defaults.push_back({ spec->setting, *number });
            }
        }
    }

    /** An id that is new in @p known; one that is duplicate or malformed is reported. */
    std::optional<std::string> readId(const toml::table &table, std::string_view key, std::string_view where,
                                      std::set<std::string> &known)
    {
        auto id = m_check.text(table, key, where);
        if (!id) {
            return std::nullopt;
        }
        const toml::source_region &place = table.get(key)->source();
        if (!isPlainId(*id)) {
            m_check.report(place, "expected at most 64 letters, digits, '-', '_', '.', seen '" + *id + "'");
        }
        if (!known.insert(*id).second) {
            m_check.report(place, "duplicate " + std::string(key) + " '" + *id + "' in " + std::string(where));
        }
        return id;
    }

    void readOwner(const toml::table &table)
    {
        constexpr std::string_view where = "[[owners]]";
        m_check.checkKeys(table, { "id", "weight", "quota" }, where);
        const auto id = readId(table, "id", where, m_owners);
        const auto weight = m_check.integer(table, "weight", weightRange, 1, where);
        const auto quota = readQuota(table);
        if (id && weight && quota) {
            m_content.owners.push_back({ OwnerId(*id), static_cast<std::uint32_t>(*weight), *quota });
        }
    }

    std::optional<Resources> readQuota(const toml::table &owner)
    {
        const toml::node *node = owner.get("quota");
        if (node == nullptr || !node->is_table()) {
            m_check.report(node == nullptr ? owner.source() : node->source(),
                           "expected the owner's 'quota' as a table with millicores, mebibytes and accelerators");
            return std::nullopt;
        }
        constexpr std::string_view where = "quota";
        const toml::table &table = *node->as_table();
        m_check.checkKeys(table, { "millicores", "mebibytes", "accelerators" }, where);
        const auto millicores = m_check.integer(table, "millicores", millicoreRange, std::nullopt, where);
        const auto mebibytes = m_check.integer(table, "mebibytes", mebibyteRange, std::nullopt, where);
        const auto accelerators = m_check.integer(table, "accelerators", acceleratorRange, 0, where);
        if (!millicores || !mebibytes || !accelerators) {
            return std::nullopt;
        }
        return Resources { Millicores(*millicores), Mebibytes(*mebibytes), AcceleratorCount(*accelerators) };
    }

    void readService(const toml::table &table)
    {
        constexpr std::string_view where = "[[services]]";
        m_check.checkKeys(table, { "name", "owner", "deadline", "idempotent" }, where);
        const auto name = readId(table, "name", where, m_services);
        const auto owner = m_check.text(table, "owner", where);
        if (owner && !m_owners.contains(*owner)) {
            m_check.report(table.get("owner")->source(), "expected a declared owner, seen '" + *owner + "'");
        }
        const SettingSpec &spec = *findSetting("request-deadline");
        const auto deadline = m_check.integer(table, "deadline", rangeOf(spec), defaultOf(spec), where);
        bool idempotent = false;
        if (const toml::node *node = table.get("idempotent")) {
            if (!node->is_boolean()) {
                m_check.report(node->source(), "expected true or false for 'idempotent'");
            }
            idempotent = node->value_or(false);
        }
        if (name && owner && deadline) {
            m_content.services.push_back({ ServiceName(*name), OwnerId(*owner), Milliseconds(*deadline), idempotent });
        }
    }

    [[nodiscard]] std::int64_t defaultOf(const SettingSpec &spec) const
    {
        const auto found = std::ranges::find(m_content.defaults, spec.setting, &ConfigurationContent::Default::setting);
        return found == m_content.defaults.end() ? spec.builtIn : found->value;
    }

    void readException(const toml::table &table)
    {
        constexpr std::string_view where = "[[exceptions]]";
        m_check.checkKeys(table, { "scope", "setting", "value", "reason", "author", "until" }, where);
        const auto scope = m_check.text(table, "scope", where);
        if (scope) {
            checkScope(*scope, table.get("scope")->source());
        }
        const auto name = m_check.text(table, "setting", where);
        const SettingSpec *spec = name ? findSetting(*name) : nullptr;
        if (name) {
            checkSetting(*name, spec, table.get("setting")->source());
        }
        constexpr TomlRange anyNumber { INT64_MIN, INT64_MAX, "" };
        const auto value =
            m_check.integer(table, "value", spec == nullptr ? anyNumber : rangeOf(*spec), std::nullopt, where);
        const auto reason = m_check.text(table, "reason", where);
        const auto author = m_check.text(table, "author", where);
        const auto until = m_check.text(table, "until", where);
        if (until && *until != "standing" && !isDate(*until)) {
            m_check.report(table.get("until")->source(),
                           "expected 'standing' or a date YYYY-MM-DD, seen '" + *until + "'");
        }
        if (scope && spec != nullptr && value && reason && author && until) {
            m_content.exceptions.push_back({ *scope, spec->setting, *value, *reason, *author, *until });
        }
    }

    void checkSetting(const std::string &name, const SettingSpec *spec, const toml::source_region &place)
    {
        if (spec == nullptr) {
            m_check.report(place, "unknown setting '" + name + "'");
        } else if (spec->setting == Setting::ShardCount) {
            m_check.report(place, "'shard-count' holds for the whole fleet; no exception may override it");
        }
    }

    void checkScope(const std::string &scope, const toml::source_region &place)
    {
        const std::size_t colon = scope.find(':');
        const std::string kind = scope.substr(0, colon);
        const std::string id = colon == std::string::npos ? "" : scope.substr(colon + 1);
        const bool isKnownKind = kind == "owner" || kind == "service" || kind == "worker" || kind == "dataCentre";
        if (!isKnownKind || id.empty()) {
            m_check.report(place, "expected owner:ID, service:NAME, worker:ID or dataCentre:ID, seen '" + scope + "'");
        } else if (kind == "owner" && !m_owners.contains(id)) {
            m_check.report(place, "the scope names the unknown owner '" + id + "'");
        } else if (kind == "service" && !m_services.contains(id)) {
            m_check.report(place, "the scope names the unknown service '" + id + "'");
        }
    }

    TomlCheck m_check;
    ConfigurationContent m_content;
    /** Every id that was met, also of entries with other faults, so that one fault gives one finding. */
    std::set<std::string> m_owners;
    std::set<std::string> m_services;
};

} // namespace

tl::expected<ConfigurationContent, Findings> parseConfiguration(std::string_view text, std::string_view fileName)
{
    if (text.size() > maximumDocumentBytes) {
        return tl::unexpected(Findings { { std::string(fileName) + ":1:1", Severity::Error,
                                           "expected at most " + std::to_string(maximumDocumentBytes) + " bytes, seen "
                                               + std::to_string(text.size()) } });
    }
    try {
        return ConfigurationParser(fileName).read(toml::parse(text));
    } catch (const toml::parse_error &error) {
        TomlCheck check(fileName);
        check.report(error.source(), "expected TOML, seen: " + std::string(error.description()));
        return tl::unexpected(check.takeFindings());
    }
}

} // namespace currantring
