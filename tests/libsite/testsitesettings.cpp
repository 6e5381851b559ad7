#include "sitesettings.h"
#include "sitewire.h"

#include <string>

#include <boost/test/unit_test.hpp>

using namespace currantring;
using namespace currantring::platform;

namespace {

/** A settings file with @p bounds in its table of bounds. */
std::string settingsWith(const std::string &bounds)
{
    return "nodeName = \"h\"\nzone = \"z\"\nip = \"10.0.0.1\"\nportRange = [7000, 7009]\n"
           "[listen]\nfront = \"10.0.0.1:80\"\nready = \"10.0.0.1:81\"\n"
           "[platform]\naddress = \"10.0.0.2:90\"\n[limits]\nmemoryMb = 160\n[bounds]\n"
        + bounds;
}

std::optional<Milliseconds> evacuationBoundIn(const std::string &bounds)
{
    const auto settings = parseSiteSettings(settingsWith(bounds), "settings");
    BOOST_REQUIRE(settings.has_value());
    return settings->evacuationBound;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SiteSettingsFile)

/** Guards against a watch on deployments that have no evacuations: it would cost calls to the store. */
BOOST_AUTO_TEST_CASE(withoutTheBoundThereIsNoPrefix)
{
    const std::optional<Milliseconds> bound = evacuationBoundIn("harmMs = 4000\n");
    BOOST_TEST(!bound.has_value());
    BOOST_TEST(siteFormats(bound).evacuationPrefix.empty());
}

/** Guards against evacuations that are ignored although the settings have a bound for them. */
BOOST_AUTO_TEST_CASE(withTheBoundTheOperatorsKeysAreRead)
{
    const std::optional<Milliseconds> bound = evacuationBoundIn("evacuateMs = 5000\n");
    BOOST_REQUIRE(bound.has_value());
    BOOST_TEST(bound->count() == 5000);
    BOOST_TEST(siteFormats(bound).evacuationPrefix == "op/evacuate/");
    BOOST_TEST(siteFormats(bound).evacuationBound.count() == 5000);
}

/** Guards against a mistyped bound that silently turns evacuations off. */
BOOST_AUTO_TEST_CASE(aBoundThatIsNoNumberIsAFinding)
{
    BOOST_TEST(!parseSiteSettings(settingsWith("evacuateMs = \"soon\"\n"), "settings").has_value());
}

/**
 * Guards against a factor that is cut to a whole number, so that a run elsewhere looks cheap, and against a default
 * where there is none.
 */
BOOST_AUTO_TEST_CASE(farFactorIsReadAsItStands)
{
    struct Case
    {
        std::string bounds;
        std::optional<double> factor;
    };
    for (const Case &one : { Case { "harmMs = 4000\n", std::nullopt }, Case { "farX = 1.5\n", 1.5 },
                             Case { "farX = 3\n", 3.0 }, Case { "farX = 1\n", 1.0 } }) {
        const auto settings = parseSiteSettings(settingsWith(one.bounds), "settings.toml");
        BOOST_TEST_REQUIRE(settings.has_value(), one.bounds);
        BOOST_TEST((settings->farFactor == one.factor), one.bounds);
    }
}

/** Guards against a factor that makes running elsewhere free, faster or infinitely expensive. */
BOOST_AUTO_TEST_CASE(wrongFarFactorsAreFindings)
{
    for (const char *const bounds :
         { "farX = 0.5\n", "farX = -2\n", "farX = \"2\"\n", "farX = nan\n", "farX = inf\n", "farX = [2]\n" }) {
        const auto settings = parseSiteSettings(settingsWith(bounds), "settings.toml");
        BOOST_TEST_REQUIRE(!settings.has_value(), bounds);
        BOOST_TEST(settings.error().front().message.find("farX") != std::string::npos, bounds);
    }
}

BOOST_AUTO_TEST_SUITE_END()
