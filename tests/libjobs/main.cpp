#define BOOST_TEST_MODULE libjobs
#include <boost/test/unit_test.hpp>
