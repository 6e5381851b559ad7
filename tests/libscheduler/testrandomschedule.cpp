#include "randomschedule.h"

#include <cstdlib>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr std::uint64_t defaultFirstSeed = 1;
constexpr std::uint64_t defaultCount = 40;

/** Value of an environment variable: CURRANTRING_SEED is the first seed, CURRANTRING_SCHEDULES the number. */
std::uint64_t fromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RandomSchedules, *boost::unit_test::label("promise-random-schedule"))

BOOST_AUTO_TEST_CASE(everyPromiseHolds)
{
    const std::uint64_t from = fromEnvironment("CURRANTRING_SEED", defaultFirstSeed);
    const std::uint64_t count = fromEnvironment("CURRANTRING_SCHEDULES", defaultCount);
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
