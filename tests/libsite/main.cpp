#define BOOST_TEST_MODULE libsite
#include <boost/test/unit_test.hpp>
