#define BOOST_TEST_MODULE libnet
#include <boost/test/unit_test.hpp>
