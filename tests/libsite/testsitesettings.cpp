#include "sitesettings.h"

#include <string>

#include <boost/test/unit_test.hpp>

using namespace currantring;
using namespace currantring::platform;

namespace {

/** A settings file with @p bounds as the content of its table of bounds. */
std::string settingsWith(const std::string &bounds)
{
    return "nodeName = \"edge-1\"\nzone = \"z1\"\nip = \"10.0.0.1\"\nportRange = [7000, 7010]\n"
           "[listen]\nfront = \"10.0.0.1:80\"\nready = \"10.0.0.1:81\"\n"
           "[platform]\naddress = \"10.0.0.9:2379\"\n[limits]\ncpuShare = 0.25\n[bounds]\n"
        + bounds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SiteSettingsFile)

/** A factor cut to a whole number would make a run elsewhere look cheap, and one that is missing must not be made up.
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
