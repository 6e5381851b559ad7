#define BOOST_TEST_MODULE currantringd
#include <boost/test/unit_test.hpp>
