#include "entryhosts.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds heartbeatInterval { 400 };

} // namespace

BOOST_AUTO_TEST_SUITE(OtherHosts)

/** A large configuration, sent to each host that lagged with each of its heartbeats, filled the writer's link. */
BOOST_AUTO_TEST_CASE(configurationIsNotOfferedWithEachHeartbeat)
{
    EntryHosts hosts;
    TimePoint now { Milliseconds(1'000'000) };
    std::size_t offers = 0;
    constexpr int heartbeats = 25;
    for (int beat = 0; beat < heartbeats; ++beat) {
        hosts.recordHeartbeat(HostId("slow"), HostHeartbeat {}, now);
        offers += hosts.beginOffer(HostId("slow"), now) ? 1 : 0;
        now += heartbeatInterval;
    }
    // A text that was lost is sent again, within 10 s several times.
    BOOST_TEST(offers >= 3U);
    BOOST_TEST(offers <= 8U);
    BOOST_TEST(hosts.beginOffer(HostId("other"), now));
}

BOOST_AUTO_TEST_SUITE_END()
