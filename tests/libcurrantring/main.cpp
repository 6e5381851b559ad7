#define BOOST_TEST_MODULE libcurrantring
#include <boost/test/unit_test.hpp>
