#include "settings.h"

#include <cstdlib>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

const std::vector<OptionSpec> specs {
    { "host", OptionKind::Text, "", 0, 0, "", true, "name of the host" },
    { "listen", OptionKind::AddressAndPort, "", 0, 0, "127.0.0.1:7001", false, "where to listen" },
    { "peers", OptionKind::AddressList, "", 0, 0, "", false, "peers" },
    { "poll-time", OptionKind::Integer, "ms", 10, 1000, "100", false, "time between polls" },
    { "verbose", OptionKind::Flag, "", 0, 0, "", false, "more output" },
};

struct Case
{
    std::string name;
    std::vector<const char *> words;
    Settings::Outcome outcome;
    /** Places of the findings in order. */
    std::vector<std::string> places;
};

Settings::Outcome readWords(Settings &settings, std::vector<const char *> words)
{
    words.insert(words.begin(), "program");
    return settings.read(static_cast<int>(words.size()), words.data());
}

struct Variable
{
    explicit Variable(const char *value)
    {
        setenv("CURRANTRING_POLL_TIME", value, 1);
    }
    ~Variable()
    {
        unsetenv("CURRANTRING_POLL_TIME");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsReading)

BOOST_AUTO_TEST_CASE(everyMistakeIsFoundWithItsPlace)
{
    using enum Settings::Outcome;
    const std::vector<Case> cases {
        { "plain", { "--host", "a", "--peers", "127.0.0.1:1,[::1]:2" }, Run, {} },
        { "missing required", {}, Invalid, { "--host" } },
        { "unknown flag", { "--host=a", "--hots=b" }, Invalid, { "--hots" } },
        { "lacks its value", { "--host", "a", "--poll-time" }, Invalid, { "--poll-time" } },
        { "flag as value", { "--host", "--verbose" }, Invalid, { "--host" } },
        { "several", { "--poll-time=x", "--listen=localhost:1" }, Invalid, { "--host", "--listen", "--poll-time" } },
        { "out of range", { "--host=a", "--poll-time=5000" }, Invalid, { "--poll-time" } },
        { "port too large", { "--host=a", "--listen=127.0.0.1:70000" }, Invalid, { "--listen" } },
        { "one bad peer of two", { "--host=a", "--peers=127.0.0.1:1,b:2" }, Invalid, { "--peers" } },
        { "help", { "--help", "--nonsense" }, PrintedHelp, {} },
        { "version", { "--version" }, PrintedVersion, {} },
    };
    for (const Case &row : cases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Settings settings("program", "summary", specs);
            BOOST_TEST((readWords(settings, row.words) == row.outcome));
            std::vector<std::string> places;
            for (const Finding &finding : settings.findings()) {
                places.push_back(finding.place);
            }
            BOOST_TEST(places == row.places, boost::test_tools::per_element());
        }
    }
}

BOOST_AUTO_TEST_CASE(flagsWinOverVariablesOverDefaults)
{
    Settings byDefault("program", "summary", specs);
    BOOST_REQUIRE((readWords(byDefault, { "--host=a" }) == Settings::Outcome::Run));
    BOOST_TEST(byDefault.integer("poll-time") == 100);
    BOOST_TEST(!byDefault.isGiven("poll-time"));
    const Variable variable("200");
    Settings byVariable("program", "summary", specs);
    BOOST_REQUIRE((readWords(byVariable, { "--host=a" }) == Settings::Outcome::Run));
    BOOST_TEST(byVariable.duration("poll-time").count() == 200);
    Settings byFlag("program", "summary", specs);
    BOOST_REQUIRE((readWords(byFlag, { "--host=a", "--poll-time=300" }) == Settings::Outcome::Run));
    BOOST_TEST(byFlag.integer("poll-time") == 300);
}

BOOST_AUTO_TEST_CASE(aBadVariableIsNamedWithRangeAndUnit)
{
    const Variable variable("5");
    Settings settings("program", "summary", specs);
    BOOST_REQUIRE((readWords(settings, { "--host=a" }) == Settings::Outcome::Invalid));
    BOOST_TEST(settings.findings().front().place == "CURRANTRING_POLL_TIME");
    BOOST_TEST(settings.findings().front().message == "out of range: expected 10 to 1000 ms, seen 5");
}

BOOST_AUTO_TEST_CASE(helpListsVariableUnitRangeAndDefault)
{
    Settings settings("program", "summary", specs);
    readWords(settings, { "--help" });
    for (const std::string part : { "CURRANTRING_POLL_TIME", "ms", "10 to 1000", "100", "required" }) {
        BOOST_TEST(settings.output().find(part) != std::string::npos, part);
    }
}

BOOST_AUTO_TEST_CASE(otherWordsArePositional)
{
    Settings settings("program", "summary", specs);
    BOOST_REQUIRE(
        (readWords(settings, { "apply", "--host=a", "file", "--verbose", "--", "--odd" }) == Settings::Outcome::Run));
    const std::vector<std::string> expected { "apply", "file", "--odd" };
    BOOST_TEST(settings.positional() == expected, boost::test_tools::per_element());
    BOOST_TEST(settings.flag("verbose"));
}

BOOST_AUTO_TEST_SUITE_END()
