#include "eventlimiter.h"
#include "log.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

BOOST_AUTO_TEST_SUITE(LogLines)

BOOST_AUTO_TEST_CASE(valuesAreQuotedWhereNeeded)
{
    const std::vector<std::pair<std::string, std::string>> cases {
        { "plain", "event=e k=plain" },     { "two words", "event=e k=\"two words\"" },
        { "", "event=e k=\"\"" },           { "a\"b", "event=e k=\"a\\\"b\"" },
        { "a=b", "event=e k=\"a=b\"" },     { "a\nb", "event=e k=\"a\\nb\"" },
        { "a\\b", "event=e k=\"a\\\\b\"" }, { "a\x1b[0m", "event=e k=\"a?[0m\"" },
    };
    for (const auto &[value, line] : cases) {
        BOOST_TEST(formatLogEvent({ LogLevel::Info, "e", { { "k", value } } }) == line);
    }
}

BOOST_AUTO_TEST_CASE(eventsPastTheLimitAreCountedPerName)
{
    EventLimiter limiter;
    SuppressedCounts suppressed;
    std::uint64_t admitted = 0;
    for (std::uint64_t event = 0; event < eventLimitPerSecond + 7; ++event) {
        admitted += limiter.admit("often", 1, suppressed) ? 1 : 0;
    }
    BOOST_TEST(admitted == eventLimitPerSecond);
    BOOST_TEST(limiter.admit("seldom", 1, suppressed));
    BOOST_TEST(suppressed.empty());
    BOOST_TEST(limiter.admit("seldom", 2, suppressed));
    BOOST_REQUIRE(suppressed.size() == 1U);
    BOOST_TEST(suppressed.front().first == "often");
    BOOST_TEST(suppressed.front().second == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
