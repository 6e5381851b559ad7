#define BOOST_TEST_MODULE currantringd
#include "thread.h"

#include <httplib.h>

#include <boost/test/unit_test.hpp>

namespace {

/**
 * Has the HTTP library serve one request before the first test, so that it has built its tables.
 *
 * It builds them at the first request, safely for its threads. The thread sanitizer doesn't see how, as the library
 * isn't built for it, and reported a race where two first requests came together.
 */
struct ServedRequest
{
    ServedRequest()
    {
        httplib::Server server;
        const int port = server.bind_to_any_port("127.0.0.1");
        currantring::Thread thread("first", [&server] { server.listen_after_bind(); });
        const httplib::Result answer = httplib::Client("127.0.0.1", port).Get("/");
        BOOST_REQUIRE(answer);
        server.stop();
        thread.join();
    }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(ServedRequest);
