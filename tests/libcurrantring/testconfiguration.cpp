#include "configuration.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace currantring;

namespace {

const std::string owners = R"([[owners]]
id = "stable"
weight = 2
quota = { millicores = 64000, mebibytes = 256000, accelerators = 4 }
[[services]]
name = "booking"
owner = "stable"
deadline = 1500
)";

std::string exception(const std::string &scope, const std::string &setting, int value, const std::string &reason)
{
    return "[[exceptions]]\nscope = \"" + scope + "\"\nsetting = \"" + setting + "\"\nvalue = " + std::to_string(value)
        + "\nreason = \"" + reason + "\"\nauthor = \"a\"\nuntil = \"2027-03-01\"\n";
}

struct Case
{
    std::string name;
    std::string text;
    /** `line:column` and a part of the message of each finding, in order. */
    std::vector<std::pair<std::string, std::string>> findings;
};

const std::vector<Case> cases {
    { "empty", "", {} },
    { "sound", owners + exception("service:booking", "request-queue-limit", 50, "small heap"), {} },
    { "syntax stops", "a = \nb = [\n", { { "1:5", "expected TOML" } } },
    { "unknown table", "[extra]\nx = 1\n", { { "1:2", "unknown key 'extra'" } } },
    { "unknown setting", "[defaults]\ntask-leese = 1\n", { { "2:1", "unknown key 'task-leese'" } } },
    { "secret, not its value", "[defaults]\napi_token = \"x\"\n", { { "2:1", "names a secret" } } },
    { "wrong type", "[defaults]\ntask-lease = \"10 s\"\n", { { "2:14", "expected a whole number" } } },
    { "defaults no table", "defaults = 1\n", { { "1:12", "expected a table" } } },
    { "owners no array", "[owners]\nid = 'a'\n", { { "1:1", "expected [[owners]] entries" } } },
    { "range and unit", "[defaults]\ntask-lease = 1\n", { { "2:14", "expected 500 to 600000 ms, seen 1" } } },
    { "several at once",
      "[defaults]\ntask-lease = 1\nretry-budget = 101\n[[owners]]\nid = \"a/b\"\n",
      { { "2:14", "ms" }, { "3:16", "0 to 100 percent" }, { "4:1", "'quota'" }, { "5:6", "letters" } } },
    { "quota lacks memory",
      "[[owners]]\nid = \"a\"\nquota = { millicores = 1, gpu = 2 }\n",
      { { "3:9", "'mebibytes'" }, { "3:27", "unknown key 'gpu'" } } },
    { "duplicates", owners + owners, { { "10:6", "duplicate id" }, { "14:8", "duplicate name" } } },
    { "service of unknown owner",
      "[[services]]\nname = \"s\"\nowner = \"o\"\ndeadline = 1\n",
      { { "3:9", "declared owner" }, { "4:12", "10 to 600000 ms" } } },
    { "exception lacks all",
      "[[exceptions]]\n",
      { { "1:1", "'scope'" },
        { "1:1", "'setting'" },
        { "1:1", "'value'" },
        { "1:1", "'reason'" },
        { "1:1", "'author'" },
        { "1:1", "'until'" } } },
    { "blank reason", exception("worker:w", "task-lease", 1000, " "), { { "5:10", "seen an empty one" } } },
    { "malformed scope", exception("rack:r", "task-lease", 1000, "r"), { { "2:9", "expected owner:ID" } } },
    { "unknown owner", exception("owner:x", "task-lease", 1000, "r"), { { "2:9", "unknown owner 'x'" } } },
    { "unknown service",
      exception("service:x", "task-lease", 1, "r"),
      { { "2:9", "unknown service 'x'" }, { "4:9", "500 to 600000 ms" } } },
    { "shard count", exception("worker:w", "shard-count", 4, "r"), { { "3:11", "whole fleet" } } },
    { "exception's unknown setting", exception("worker:w", "nonsense", 4, "r"), { { "3:11", "unknown setting" } } },
    { "bad date",
      "[[exceptions]]\nscope=\"worker:w\"\nsetting=\"task-lease\"\nvalue=1000\nreason=\"r\"\nauthor=\"a\"\n"
      "until=\"2027-02-30\"\n",
      { { "7:7", "YYYY-MM-DD" } } },
    { "too large", std::string(1'000'001, '\n'), { { "1:1", "at most 1000000 bytes" } } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationDocuments)

BOOST_AUTO_TEST_CASE(everyMistakeIsFoundWithItsPlace)
{
    for (const Case &row : cases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            const auto parsed = Configuration::parse(row.text, "f.toml");
            const Findings findings = parsed ? Findings {} : parsed.error();
            BOOST_TEST(parsed.has_value() == row.findings.empty());
            BOOST_TEST(findings.size() == row.findings.size());
            for (std::size_t index = 0; index < std::min(findings.size(), row.findings.size()); ++index) {
                const Finding &finding = findings[index];
                BOOST_TEST(finding.place == "f.toml:" + row.findings[index].first, formatFinding(finding));
                BOOST_TEST(finding.message.find(row.findings[index].second) != std::string::npos,
                           formatFinding(finding));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(everySettingHasItsPlaceAndASoundBuiltIn)
{
    std::size_t position = 0;
    for (const SettingSpec &spec : fleetSettings()) {
        BOOST_TEST(static_cast<std::size_t>(spec.setting) == position++);
        BOOST_TEST((spec.builtIn >= spec.minimum && spec.builtIn <= spec.maximum), spec.name);
    }
    BOOST_TEST(position == static_cast<std::size_t>(Setting::SnapshotSlots) + 1);
}

BOOST_AUTO_TEST_CASE(theMostSpecificExceptionWinsThenTheLast)
{
    const std::string text = "[defaults]\nattempt-limit = 5\n" + owners
        + exception("worker:w", "attempt-limit", 10, "worker") + exception("owner:stable", "attempt-limit", 6, "first")
        + exception("owner:stable", "attempt-limit", 7, "last")
        + exception("service:booking", "attempt-limit", 8, "service")
        + exception("dataCentre:d", "attempt-limit", 9, "dataCentre");
    const auto parsed = Configuration::parse(text, "f");
    BOOST_REQUIRE(parsed.has_value());
    const OwnerId owner("stable");
    const ServiceName service("booking");
    const DataCentreId dataCentre("d");
    struct Row
    {
        Scope scope;
        std::int64_t value;
        std::string source;
        std::string reason;
    };
    const std::vector<Row> rows {
        { {}, 5, "defaults", "" },
        { { {}, {}, {}, dataCentre }, 9, "exception 5", "dataCentre" },
        { { owner, {}, {}, dataCentre }, 7, "exception 3", "last" },
        { { owner, service, {}, dataCentre }, 8, "exception 4", "service" },
        { { owner, service, WorkerId("w"), dataCentre }, 10, "exception 1", "worker" },
        { { OwnerId("other"), {}, WorkerId("x"), {} }, 5, "defaults", "" },
    };
    for (const Row &row : rows) {
        const EffectiveValue seen = parsed->effective(Setting::AttemptLimit, row.scope);
        BOOST_TEST(seen.value == row.value);
        BOOST_TEST(seen.source == row.source);
        BOOST_TEST(seen.reason == row.reason);
        BOOST_TEST(parsed->value(Setting::AttemptLimit, row.scope) == row.value);
    }
    BOOST_TEST(parsed->effective(Setting::TaskLease, {}).source == "built-in");
    BOOST_TEST(parsed->duration(Setting::TaskLease).count() == 10000);
}

BOOST_AUTO_TEST_CASE(entriesAreFoundById)
{
    const auto parsed = Configuration::parse(owners, "f");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_REQUIRE(parsed->owner(OwnerId("stable")) != nullptr);
    BOOST_TEST(parsed->owner(OwnerId("stable"))->quota.memory.value() == 256000);
    BOOST_REQUIRE(parsed->service(ServiceName("booking")) != nullptr);
    BOOST_TEST(parsed->service(ServiceName("booking"))->deadline.count() == 1500);
    BOOST_TEST(parsed->owner(OwnerId("booking")) == nullptr);
    BOOST_TEST(parsed->service(ServiceName("stable")) == nullptr);
    BOOST_TEST(parsed->text() == owners);
    BOOST_TEST(Configuration().owners().empty());
}

BOOST_AUTO_TEST_CASE(aRecordSurvivesJson)
{
    const ConfigurationRecord record { ConfigurationVersion(7), ChangeId("c"), "a", "# \"text\"\n" };
    const nlohmann::json json = record;
    BOOST_TEST((json.get<ConfigurationRecord>() == record));
}

BOOST_AUTO_TEST_SUITE_END()
