#pragma once

// What cmake/precompiled.h has, and the test framework.

#include "precompiled.h"

#include <boost/test/unit_test.hpp>
