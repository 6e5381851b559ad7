#include "ids.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

BOOST_AUTO_TEST_SUITE(Ids)

BOOST_AUTO_TEST_CASE(sameOwnerAndKeyGiveTheSameTask)
{
    BOOST_TEST(makeTaskId(OwnerId("a"), SubmissionKey("k")) == makeTaskId(OwnerId("a"), SubmissionKey("k")));
}

BOOST_AUTO_TEST_CASE(ownerAndKeyDontRunTogether)
{
    BOOST_TEST(makeTaskId(OwnerId("a"), SubmissionKey("b/c")) != makeTaskId(OwnerId("a/b"), SubmissionKey("c")));
}

BOOST_AUTO_TEST_SUITE_END()
