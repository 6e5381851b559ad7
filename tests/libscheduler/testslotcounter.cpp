#include "slotcounter.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint(Milliseconds(milliseconds));
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlotCounters, *boost::unit_test::label("promise-no-overcommit"))

BOOST_AUTO_TEST_CASE(noMoreThanAllSlotsAreTaken)
{
    SlotCounter counter(2);
    BOOST_TEST(counter.tryTake(at(0)));
    BOOST_TEST(counter.tryTake(at(0)));
    BOOST_TEST(!counter.tryTake(at(0)));
    counter.release();
    BOOST_TEST(counter.free(at(0)) == 1U);
    counter.resize(1);
    BOOST_TEST(!counter.tryTake(at(0)));
}

BOOST_AUTO_TEST_CASE(afterATakeoverReportsAndTimeFreeSlots)
{
    struct Row
    {
        const char *name;
        std::int64_t reportAt;
        std::uint32_t active;
        std::int64_t askedAt;
        std::uint32_t free;
    };
    const std::vector<Row> rows {
        { "no report yet", 1000, 0, 99, 0 },
        { "the longest deadline has passed", 1000, 0, 100, 4 },
        { "a report too fresh to be complete", 49, 0, 60, 0 },
        { "a report shows all free", 50, 0, 60, 4 },
        { "a report shows three taken", 50, 3, 60, 1 },
        { "a report shows more than all taken", 50, 9, 60, 0 },
    };
    for (const Row &row : rows) {
        SlotCounter counter(4);
        counter.markAllUnaccounted(at(50), at(100));
        if (row.reportAt < row.askedAt) {
            counter.applyReport(at(row.reportAt), row.active);
        }
        BOOST_TEST(counter.free(at(row.askedAt)) == row.free, row.name);
    }
}

BOOST_AUTO_TEST_CASE(anAnswerOnItsWayDoesNotFreeAnotherSlot)
{
    // One slot is unaccounted and still runs; this host's own request has ended at the worker, its answer is under way.
    SlotCounter counter(2);
    counter.markAllUnaccounted(at(50), at(1000));
    counter.applyReport(at(60), 1);
    BOOST_TEST(counter.tryTake(at(60)));
    counter.applyReport(at(70), 1);
    BOOST_TEST(!counter.tryTake(at(70)));
}

BOOST_AUTO_TEST_CASE(anAbandonedSlotStaysTakenUntilItsEnd)
{
    SlotCounter counter(1);
    BOOST_TEST(counter.tryTake(at(0)));
    counter.abandon(at(60), at(200));
    counter.applyReport(at(30), 0);
    BOOST_TEST(!counter.tryTake(at(199)));
    BOOST_TEST((counter.nextFree(at(30)) == at(200)));
    BOOST_TEST(counter.tryTake(at(200)));
}

BOOST_AUTO_TEST_SUITE_END()
