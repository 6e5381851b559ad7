#include "virtualsite.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startTime { 1500 };
/** Covers the longest wait of a watch, so that each pending one belongs to the situation under test. */
constexpr Milliseconds longTime { 12'000 };
constexpr Milliseconds probeInterval { 100 };

VirtualSiteOptions siteOfSixHosts(std::uint64_t seed)
{
    VirtualSiteOptions options;
    options.seed = seed;
    options.hosts = 6;
    return options;
}

void configureNextVersion(VirtualSite &site)
{
    SiteConfiguration next = site.configuration();
    next.version = ConfigurationVersion(next.version.value() + 1);
    site.configure(next);
}

void setStoreFaultForAll(VirtualSite &site, StoreFault fault)
{
    for (const HostId &host : site.hosts()) {
        site.setStoreFault(host, fault);
    }
}

/** Some hosts that aren't the writer. */
std::vector<HostId> followers(const VirtualSite &site, std::size_t count)
{
    std::vector<HostId> found;
    for (const HostId &host : site.hosts()) {
        if (!site.isWriter(host) && found.size() < count) {
            found.push_back(host);
        }
    }
    return found;
}

void cutFromOthers(VirtualSite &site, const std::vector<HostId> &side)
{
    for (const HostId &host : side) {
        for (const HostId &other : site.hosts()) {
            if (std::ranges::find(side, other) == side.end()) {
                site.partitionHosts(host, other, true);
            }
        }
    }
}

/** Sends calls to all hosts for @p duration; the checker compares the versions that handle them. */
void probe(VirtualSite &site, Milliseconds duration)
{
    const TimePoint end = site.now() + duration;
    while (site.now() < end) {
        for (const HostId &host : site.hosts()) {
            site.send(host, CountWaiting { site.configuration().queues.front().name });
        }
        site.run(probeInterval);
    }
}

void requireNoViolations(VirtualSite &site, const std::string &context)
{
    // The first violation of each kind says what went wrong; the probes repeat it.
    for (std::size_t index = 0; index < std::min<std::size_t>(site.judge().violations().size(), 2); ++index) {
        BOOST_ERROR(context << ": " << site.judge().violations()[index]);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationReachesHosts)

BOOST_AUTO_TEST_CASE(hostCutFromTheWriterWhoseWatchesAreNeverAnsweredIsNotStale)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        VirtualSite site(siteOfSixHosts(seed));
        site.run(startTime);
        const std::vector<HostId> side = followers(site, 2);
        cutFromOthers(site, side);
        for (const HostId &host : side) {
            site.setStoreFault(host, StoreFault::WatchesSilent);
        }
        site.run(longTime);
        configureNextVersion(site);
        probe(site, longTime);
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
}

BOOST_AUTO_TEST_CASE(longWatchThatHangsAsTheWriterGetsOutOfReachDoesNotKeepAHostStale)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        VirtualSite site(siteOfSixHosts(seed));
        site.run(startTime);
        setStoreFaultForAll(site, StoreFault::WatchesSilent);
        // Long enough for a watch with the long wait to begin, too short for it to end.
        site.run(longTime);
        cutFromOthers(site, followers(site, 2));
        setStoreFaultForAll(site, StoreFault::None);
        configureNextVersion(site);
        probe(site, longTime);
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
}

BOOST_AUTO_TEST_CASE(writerWhoseWatchesAreNeverAnsweredDoesNotKeepAllHostsStale)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        VirtualSite site(siteOfSixHosts(seed));
        site.run(startTime);
        setStoreFaultForAll(site, StoreFault::WatchesSilent);
        site.run(longTime);
        configureNextVersion(site);
        probe(site, longTime);
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
}

BOOST_AUTO_TEST_CASE(hostThatBecomesTheWriterWithAHangingLongWatchDoesNotKeepAllHostsStale)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        VirtualSite site(siteOfSixHosts(seed));
        site.run(startTime);
        setStoreFaultForAll(site, StoreFault::WatchesSilent);
        site.run(longTime);
        const std::optional<HostId> former = site.writer();
        BOOST_REQUIRE(former.has_value());
        site.killHost(*former);
        BOOST_REQUIRE(site.runUntil([&site] { return site.writer().has_value(); }, longTime));
        configureNextVersion(site);
        probe(site, longTime);
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
}

BOOST_AUTO_TEST_CASE(versionSentWhileWatchesAreDeafReachesAHostThatThenLosesSightOfTheWriter)
{
    // Once the history is dropped, the store lets a watch from an earlier revision wait to its end, and refuses it
    // then.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        VirtualSite site(siteOfSixHosts(seed));
        site.run(startTime + Milliseconds(397 * static_cast<std::int64_t>(seed)));
        site.setWatchesDeaf(true);
        site.after(Milliseconds(146), [&site] { configureNextVersion(site); });
        site.after(Milliseconds(1000), [&site, seed] {
            site.setWatchesDeaf(false);
            if (seed % 2 == 0) {
                site.cutWatches();
            } else {
                site.dropWatches();
            }
            site.store().compact();
        });
        site.after(Milliseconds(500), [&site] { cutFromOthers(site, followers(site, 2)); });
        probe(site, longTime);
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
}

BOOST_AUTO_TEST_CASE(versionSentBeforeHistoryIsDroppedBehindANewWatchReachesAllHosts)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        VirtualSite site(siteOfSixHosts(seed));
        site.run(startTime + Milliseconds(397 * static_cast<std::int64_t>(seed)));
        site.setWatchesDeaf(true);
        site.after(Milliseconds(146), [&site] { configureNextVersion(site); });
        site.after(Milliseconds(1000), [&site] { site.cutWatches(); });
        // A host that repeats its watch at once does so before the history goes.
        site.after(Milliseconds(1150), [&site] {
            site.store().compact();
            site.setWatchesDeaf(false);
            cutFromOthers(site, followers(site, 2));
        });
        probe(site, longTime);
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
}

BOOST_AUTO_TEST_SUITE_END()
