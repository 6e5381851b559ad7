#include "timerlateness.h"

#include <vector>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

struct Round
{
    /** Times in ms. */
    int begin;
    /** When the first timer was due; negative for a round without a timer. */
    int due;
    int end;
};

struct Case
{
    const char *name;
    std::vector<Round> rounds;
    int reports;
    /** Of the last report. */
    int worst;
    std::uint64_t lateRounds;
    int longestRound;
};

constexpr int never = -1;
constexpr int bound = static_cast<int>(lateTimerBound.count());

TimePoint at(int ms)
{
    return TimePoint(Milliseconds(ms));
}

const std::vector<Case> cases {
    { "no report before a second has passed", { { 0, never, 0 }, { 500, 100, 999 } }, 0, 0, 0, 0 },
    { "on time", { { 0, never, 0 }, { 500, 500, 501 }, { 1000, 998, 1000 } }, 1, 2, 0, 1 },
    { "a little late isn't a late round", { { 0, never, 0 }, { 1000, 1001 - bound, 1000 } }, 1, bound - 1, 0, 0 },
    { "late by the bound", { { 0, never, 0 }, { 1000, 1000 - bound, 1000 } }, 1, bound, 1, 0 },
    { "the worst of several, and their number",
      { { 0, never, 0 }, { 300, 200, 310 }, { 600, 300, 720 }, { 900, 899, 901 }, { 1000, 999, 1000 } },
      1,
      300,
      2,
      120 },
    { "a timer that isn't due yet is never late", { { 0, never, 0 }, { 1000, 4000, 1000 } }, 1, 0, 0, 0 },
    { "what was reported isn't reported again",
      { { 0, never, 0 }, { 1000, 600, 1100 }, { 1900, 1890, 1901 }, { 2100, 2100, 2101 } },
      2,
      10,
      0,
      1 },
    { "one report a second, however late", { { 0, never, 0 }, { 900, 0, 1000 }, { 1400, 900, 1900 } }, 1, 900, 1, 100 },
    { "the time between rounds isn't part of one", { { 0, never, 5 }, { 3000, 10, 3004 } }, 1, 2990, 1, 5 },
};

} // namespace

BOOST_AUTO_TEST_SUITE(TimerLatenessReports)

BOOST_AUTO_TEST_CASE(casesByName)
{
    for (const Case &row : cases) {
        TimerLateness lateness;
        std::optional<TimerLatenessReport> last;
        int reports = 0;
        for (const Round &round : row.rounds) {
            lateness.beginRound(at(round.begin));
            if (round.due != never) {
                lateness.noteDue(at(round.due), at(round.begin));
            }
            if (const auto report = lateness.endRound(at(round.end))) {
                last = report;
                ++reports;
            }
        }
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST(reports == row.reports);
            const TimerLatenessReport report = last.value_or(TimerLatenessReport {});
            BOOST_TEST(report.worst.count() == row.worst);
            BOOST_TEST(report.lateRounds == row.lateRounds);
            BOOST_TEST(report.longestRound.count() == row.longestRound);
        }
    }
}

/** What a round does in several parts is counted once, and waits aren't counted as busy. */
BOOST_AUTO_TEST_CASE(busyTimeIsTheTimeInRounds)
{
    TimerLateness lateness;
    lateness.beginRound(at(100));
    static_cast<void>(lateness.endRound(at(130)));
    static_cast<void>(lateness.endRound(at(150)));
    lateness.beginRound(at(2600));
    const auto report = lateness.endRound(at(2607));
    BOOST_REQUIRE(report);
    BOOST_TEST(report->rounds == 2U);
    BOOST_TEST(report->longestRound.count() == 50);
    BOOST_TEST(report->busy.count() == 57);
    BOOST_TEST(report->span.count() == 2507);
}

BOOST_AUTO_TEST_SUITE_END()
