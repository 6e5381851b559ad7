#define BOOST_TEST_MODULE libscheduler
#include <boost/test/unit_test.hpp>
