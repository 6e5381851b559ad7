#include "storehealth.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

BOOST_AUTO_TEST_SUITE(StoreHealthTests)

BOOST_AUTO_TEST_CASE(singleUnansweredCallIsNotALoss)
{
    StoreHealth health;
    BOOST_TEST((health.recordOutcome(false, TimePoint(Milliseconds(10))) == StoreHealth::Change::None));
    BOOST_TEST((health.recordOutcome(true, TimePoint(Milliseconds(20))) == StoreHealth::Change::None));
}

BOOST_AUTO_TEST_CASE(lossAndRecoveryAreReportedOnce)
{
    StoreHealth health;
    BOOST_TEST((health.recordOutcome(false, TimePoint(Milliseconds(10))) == StoreHealth::Change::None));
    BOOST_TEST((health.recordOutcome(false, TimePoint(Milliseconds(20))) == StoreHealth::Change::Lost));
    BOOST_TEST((health.recordOutcome(false, TimePoint(Milliseconds(30))) == StoreHealth::Change::None));
    BOOST_TEST((health.recordOutcome(true, TimePoint(Milliseconds(520))) == StoreHealth::Change::Regained));
    BOOST_TEST(health.outageDuration(TimePoint(Milliseconds(520))).count() == 500);
    BOOST_TEST((health.recordOutcome(true, TimePoint(Milliseconds(530))) == StoreHealth::Change::None));
}

BOOST_AUTO_TEST_SUITE_END()
