#include "randomschedule.h"

#include <cstdlib>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

/** First seed and number of schedules; CURRANTRING_SEED replays one, CURRANTRING_SCHEDULES sets the number. */
constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t scheduleCount = 300;

} // namespace

BOOST_AUTO_TEST_SUITE(RandomSchedules, *boost::unit_test::label("promise-random-schedule"))

BOOST_AUTO_TEST_CASE(everyPromiseHolds)
{
    const char *replayed = std::getenv("CURRANTRING_SEED");
    const std::uint64_t from = replayed == nullptr ? firstSeed : std::strtoull(replayed, nullptr, 10);
    const char *wanted = std::getenv("CURRANTRING_SCHEDULES");
    const std::uint64_t most = wanted == nullptr ? scheduleCount : std::strtoull(wanted, nullptr, 10);
    const std::uint64_t count = replayed == nullptr ? most : 1;
    ScheduleResult total;
    for (std::uint64_t seed = from; seed < from + count; ++seed) {
        const ScheduleResult result = runRandomSchedule(seed);
        for (const std::string &violation : result.violations) {
            BOOST_ERROR("seed " << seed << ": " << violation);
        }
        total.tasksAccepted += result.tasksAccepted;
        total.requestsAnswered += result.requestsAnswered;
        total.faults += result.faults;
    }
    BOOST_TEST_MESSAGE("schedules=" << count << " tasks=" << total.tasksAccepted
                                    << " answers=" << total.requestsAnswered << " faults=" << total.faults);
    BOOST_TEST(total.tasksAccepted > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
