#include "indexset.h"

#include <algorithm>
#include <random>
#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace currantring;

BOOST_AUTO_TEST_SUITE(IndexSets)

BOOST_AUTO_TEST_CASE(holdsWhatAPlainSetHolds)
{
    for (unsigned seed = 0; seed < 50; ++seed) {
        std::mt19937 random(seed);
        IndexSet set;
        std::set<std::uint32_t> plain;
        for (int change = 0; change < 300; ++change) {
            const std::uint32_t number = random() % 40;
            if (random() % 2 == 0) {
                set.insert(number);
                plain.insert(number);
            } else {
                set.erase(number);
                plain.erase(number);
            }
            std::vector<std::uint32_t> numbers;
            for (const std::uint32_t held : set) {
                numbers.push_back(held);
            }
            BOOST_REQUIRE(std::ranges::equal(numbers, plain));
            BOOST_REQUIRE(set.size() == plain.size());
            BOOST_REQUIRE(set.empty() == plain.empty());
            BOOST_REQUIRE(set.contains(number) == plain.contains(number));
        }
    }
}

/** Guards against an entry for each task that waits. */
BOOST_AUTO_TEST_CASE(takesMemoryByRanges)
{
    IndexSet set;
    for (std::uint32_t number = 0; number < 10'000; ++number) {
        set.insert(number);
    }
    BOOST_TEST(set.ranges() == 1U);
    for (std::uint32_t number = 0; number < 5000; ++number) {
        set.erase(number);
    }
    BOOST_TEST(set.ranges() == 1U);
    set.erase(7000);
    BOOST_TEST(set.ranges() == 2U);
    set.insert(7000);
    BOOST_TEST(set.ranges() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
