#include "closedreports.h"

#include <boost/test/unit_test.hpp>

using namespace currantring::platform;

BOOST_AUTO_TEST_SUITE(ClosedReport)

/** Guards against a flood of clients that exceed a limit and fill the log. */
BOOST_AUTO_TEST_CASE(oneLineASecondStandsForAll)
{
    ClosedReports reports;
    const ClosedReports::TimePoint start {};
    const auto at = [start](int milliseconds) {
        return start + std::chrono::milliseconds(milliseconds);
    };
    BOOST_TEST(reports.note("callers", "memory", at(0)).value_or(0) == 1U);
    std::size_t lines = 0;
    for (int time = 1; time < 1000; ++time) {
        lines += reports.note("callers", "memory", at(time)) ? 1 : 0;
    }
    BOOST_TEST(lines == 0U);
    BOOST_TEST(reports.note("callers", "memory", at(1000)).value_or(0) == 1000U);
    BOOST_TEST(!reports.note("callers", "memory", at(1999)).has_value());
    BOOST_TEST(reports.note("callers", "memory", at(5000)).value_or(0) == 2U);
}

/** Guards against a port or reason that is never logged because another one was logged within the second. */
BOOST_AUTO_TEST_CASE(portsAndReasonsHaveLinesOfTheirOwn)
{
    ClosedReports reports;
    const ClosedReports::TimePoint start {};
    for (const char *port : { "callers", "metrics" }) {
        for (const char *reason : { "memory", "malformed" }) {
            BOOST_TEST(reports.note(port, reason, start).value_or(0) == 1U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
