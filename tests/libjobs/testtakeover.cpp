#include "jobevents.h"
#include "storelayout.h"
#include "virtualjobs.h"
#include "virtualsite.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startTime { 1500 };
constexpr std::uint64_t seeds = 10;

/** The hosts with the most processors in siteOfTwoSizes(). */
const std::vector<HostId> largeHosts { HostId("h0"), HostId("h3") };

VirtualSiteOptions siteOfTwoSizes(std::uint64_t seed, Millicores large = Millicores(500),
                                  Millicores small = Millicores(120))
{
    VirtualSiteOptions options;
    options.seed = seed;
    options.hosts = 6;
    options.processors = { large, small, small };
    return options;
}

/** Starts the site and returns its writer. */
HostId startSite(VirtualSite &site)
{
    site.run(startTime);
    const std::optional<HostId> writer = site.writer();
    BOOST_REQUIRE(writer.has_value());
    return *writer;
}

bool isLarge(const HostId &host)
{
    return std::ranges::find(largeHosts, host) != largeHosts.end();
}

std::size_t countLines(const VirtualSite &site, const std::string &part)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        site.transcript(), [&part](const std::string &line) { return line.find(part) != std::string::npos; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Takeovers)

BOOST_AUTO_TEST_CASE(largestHostReplacesAFailedWriter)
{
    constexpr std::uint64_t seeds = 30;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSite site(siteOfTwoSizes(seed));
        site.killHost(startSite(site));
        BOOST_TEST(site.runUntil([&site] { return site.logCount(events::shardActive) == 2; }, Milliseconds(6000)));
        BOOST_TEST((site.writer() && isLarge(*site.writer())), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(largestHostReplacesAWriterThatLosesTheStore)
{
    constexpr std::uint64_t seeds = 30;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSite site(siteOfTwoSizes(seed));
        const HostId first = startSite(site);
        site.setStoreFault(first, StoreFault::Silent);
        site.send(first, SubmitJob { std::make_shared<const JobSpec>(batchJob(seed)) });
        BOOST_TEST(site.runUntil([&site] { return site.logCount(events::shardActive) == 2; }, Milliseconds(6000)));
        for (const HostId &host : site.hosts()) {
            BOOST_TEST((host == first || isLarge(host) || !site.isWriter(host)),
                       "seed " << seed << " writer " << host.value());
        }
    }
}

BOOST_AUTO_TEST_CASE(smallWriterHandsOverToALargerHostThatReturns)
{
    constexpr std::uint64_t seeds = 10;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSite site(siteOfTwoSizes(seed));
        for (const HostId &host : largeHosts) {
            site.killHost(host);
        }
        startSite(site);
        const JobSpec job = batchJob(seed, 3, 4);
        BOOST_TEST(site.submit(job));
        for (const HostId &host : largeHosts) {
            site.restartHost(host);
        }
        const auto isWriterLarge = [&site] {
            return site.writer() && isLarge(*site.writer());
        };
        BOOST_TEST(site.runUntil(isWriterLarge, Milliseconds(12'000)), "seed " << seed);
        BOOST_TEST(
            site.runUntil([&site, &job] { return site.phaseOf(job.id) == JobPhase::Completed; }, Milliseconds(20'000)));
        site.run(Milliseconds(6000));
        // The hosts of equal size don't take the shard from each other.
        BOOST_TEST(site.logCount(events::shardHandedOver) == 1U);
        BOOST_TEST(site.judge().violations().empty());
    }
}

/** Hosts of equal size that claimed together took the shard from each other, each time with a new token. */
BOOST_AUTO_TEST_CASE(oneTakeoverHasOneClaim)
{
    constexpr std::uint64_t seeds = 30;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSiteOptions options;
        options.seed = seed;
        options.hosts = 9;
        VirtualSite site(options);
        // A claim takes longer than the random part of the delay before it.
        site.setStoreDelay(Milliseconds(40));
        const HostId first = startSite(site);
        BOOST_TEST(site.logCount(events::shardClaimed) == 1U, "at the start, seed " << seed);
        site.setStoreFault(first, StoreFault::Silent);
        site.send(first, SubmitJob { std::make_shared<const JobSpec>(batchJob(seed)) });
        site.run(Milliseconds(5000));
        BOOST_TEST(site.logCount(events::shardClaimed) == 2U, "after a cut, seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(writerIsReplacedWhenOnlyItLosesTheStore)
{
    VirtualSite site({});
    site.run(startTime);
    const HostId writer = site.writer().value_or(site.hosts().front());
    site.setStoreFault(writer, StoreFault::Silent);
    site.send(writer, SubmitJob { std::make_shared<const JobSpec>(batchJob(1)) });
    // The former writer doesn't know that it was superseded, but its commits fail from now on.
    BOOST_TEST(site.runUntil([&site] { return site.logCount(events::shardActive) == 2; }, Milliseconds(4000)));
}

/** The larger host sends heartbeats, and its last answer of the store is young, but it can't claim. */
BOOST_AUTO_TEST_CASE(shardIsNotHandedToAndFroWithAHostThatLostTheStore)
{
    std::size_t handOvers = 0;
    for (const StoreFault fault : { StoreFault::Refusing, StoreFault::Silent }) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            VirtualSite site(siteOfTwoSizes(seed));
            site.killHost(HostId("h0"));
            site.killHost(HostId("h3"));
            site.run(startTime);
            site.restartHost(HostId("h0"));
            site.run(Milliseconds(9500));
            site.setStoreFault(HostId("h0"), fault);
            const std::size_t claims = site.logCount(events::shardClaimed);
            Milliseconds withoutWriter {};
            for (int step = 0; step < 1000; ++step) {
                site.run(Milliseconds(10));
                withoutWriter += Milliseconds(site.writers() == 0 ? 10 : 0);
            }
            BOOST_TEST(site.logCount(events::shardHandedOver) <= 1U,
                       "seed " << seed << (fault == StoreFault::Silent ? " silent" : " refusing") << ": "
                               << site.logCount(events::shardHandedOver) << " hand-overs, "
                               << site.logCount(events::shardClaimed) - claims << " claims, " << withoutWriter.count()
                               << " ms without a writer in 10 s");
            handOvers += site.logCount(events::shardHandedOver);
        }
    }
    BOOST_TEST(handOvers > 0U);
}

/** A larger host that can't stay up gets the shard each time. */
BOOST_AUTO_TEST_CASE(shardIsNotHandedAgainAndAgainToAHostThatRestarts)
{
    VirtualSite site(siteOfTwoSizes(1));
    site.killHost(HostId("h0"));
    site.killHost(HostId("h3"));
    site.run(startTime);
    Milliseconds withoutWriter {};
    for (int round = 0; round < 6; ++round) {
        site.restartHost(HostId("h0"));
        for (int step = 0; step < 650; ++step) {
            if (step == 450) {
                site.killHost(HostId("h0"));
            }
            site.run(Milliseconds(10));
            withoutWriter += Milliseconds(site.writers() == 0 ? 10 : 0);
        }
    }
    BOOST_TEST(site.logCount(events::shardHandedOver) <= 2U,
               site.logCount(events::shardHandedOver)
                   << " hand-overs, " << withoutWriter.count() << " ms without a writer in 39 s");
}

/** The hand-over is decided for a larger host, and carried out with whoever is there after the flush. */
BOOST_AUTO_TEST_CASE(handOverForALargerHostGoesToALargerHostOnly)
{
    std::size_t handOvers = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (Milliseconds kill(9000); kill <= Milliseconds(11'000); kill += Milliseconds(100)) {
            VirtualSite site(siteOfTwoSizes(seed));
            site.killHost(HostId("h0"));
            site.killHost(HostId("h3"));
            site.run(startTime);
            const std::optional<HostId> writer = site.writer();
            site.setStoreDelay(Milliseconds(250));
            for (std::uint64_t number = 1; number <= 130; ++number) {
                site.after(Milliseconds(100 * number), [&site, &writer, number] {
                    site.send(*writer, SubmitJob { std::make_shared<const JobSpec>(batchJob(number)) });
                });
            }
            site.restartHost(HostId("h0"));
            site.record(true);
            site.run(kill);
            site.killHost(HostId("h0"));
            site.run(Milliseconds(4000));
            const std::size_t all = countLines(site, "event=shard_handed_over");
            handOvers += all;
            const std::size_t good = countLines(site, "event=shard_handed_over to=h0");
            BOOST_TEST(all == good,
                       "seed " << seed << " killed after " << kill.count() << " ms: " << all - good << " hand-overs, "
                               << countLines(site, "event=shard_handed_over to=anyone") << " of them to anyone");
        }
    }
    BOOST_TEST(handOvers > 0U);
}

/** A new writer that hasn't heard the others tells them that the largest host has no processors. */
BOOST_AUTO_TEST_CASE(largestHostReplacesAWriterThatFailsEarly)
{
    const auto isWriterLarge = [](const VirtualSite &site) {
        const std::vector<HostId> large { HostId("h0"), HostId("h2"), HostId("h4") };
        return site.writer() && std::ranges::find(large, *site.writer()) != large.end();
    };
    for (Milliseconds life(100); life <= Milliseconds(1500); life += Milliseconds(200)) {
        std::size_t small = 0;
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            VirtualSiteOptions options;
            options.seed = seed;
            options.hosts = 6;
            options.processors = { Millicores(500), Millicores(120) };
            VirtualSite site(options);
            site.run(Milliseconds(6000));
            site.killHost(*site.writer());
            site.runUntil([&site] { return site.writer().has_value(); }, Milliseconds(6000));
            site.run(life);
            if (!isWriterLarge(site)) {
                continue;
            }
            site.killHost(*site.writer());
            site.runUntil([&site] { return site.writer().has_value(); }, Milliseconds(6000));
            small += isWriterLarge(site) ? 0 : 1;
        }
        BOOST_TEST(small == 0U, small << " of 30 when the second writer lived for " << life.count() << " ms");
    }
}

/** The delay of smaller hosts grows with the largest host's size, also if that host can't claim. */
BOOST_AUTO_TEST_CASE(takeoverDoesNotWaitLongForALargeHostWithoutTheStore)
{
    VirtualSite site(siteOfTwoSizes(1, Millicores(4000), Millicores(250)));
    site.run(Milliseconds(6000));
    const HostId writer = site.writer().value();
    const HostId other = writer == HostId("h0") ? HostId("h3") : HostId("h0");
    site.setStoreFault(other, StoreFault::Refusing);
    site.run(Milliseconds(8000));
    const TimePoint before = site.now();
    site.killHost(writer);
    BOOST_TEST(site.runUntil([&site] { return site.writer().has_value(); }, Milliseconds(20'000)));
    BOOST_TEST((site.now() - before).count() < 2000);
}

/** A larger host whose process is late claims too late each time, and gets the shard again at once. */
BOOST_AUTO_TEST_CASE(shardIsNotHandedToAndFroWithAHostThatIsLate)
{
    for (Milliseconds late(100); late <= Milliseconds(500); late += Milliseconds(100)) {
        VirtualSite site(siteOfTwoSizes(1));
        site.killHost(HostId("h0"));
        site.killHost(HostId("h3"));
        site.run(startTime);
        site.restartHost(HostId("h0"));
        site.run(Milliseconds(500));
        site.throttleHost(HostId("h0"), late);
        const std::size_t claims = site.logCount(events::shardClaimed);
        Milliseconds withoutWriter {};
        for (int step = 0; step < 2000; ++step) {
            site.run(Milliseconds(10));
            withoutWriter += Milliseconds(site.writers() == 0 ? 10 : 0);
        }
        BOOST_TEST(site.logCount(events::shardHandedOver) <= 1U,
                   "late by " << late.count() << " ms: " << site.logCount(events::shardHandedOver) << " hand-overs, "
                              << site.logCount(events::shardClaimed) - claims << " claims, " << withoutWriter.count()
                              << " ms without a writer in 20 s");
    }
}

/**
 * A host that lost the race for a claim learns of the winner from the refusal. If its watch is late, it doesn't know
 * the winner's sign of life yet, and claims over the winner.
 */
BOOST_AUTO_TEST_CASE(loserOfARaceDoesNotClaimOverTheWinner)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        VirtualSiteOptions options;
        options.seed = seed;
        VirtualSite site(options);
        site.run(startTime);
        const HostId writer = site.writer().value();
        const HostId other = site.hosts().front() == writer ? site.hosts().back() : site.hosts().front();
        const std::size_t before = site.logCount(events::shardClaimed);
        site.killHost(writer);
        // The watch that is under way tells the end of the lease; the answer to the next one is lost.
        site.setStoreFault(other, StoreFault::Silent);
        const std::string aliveKey = StoreLayout().aliveKey();
        BOOST_TEST(site.runUntil([&site, &aliveKey] { return !site.store().read(aliveKey); }, Milliseconds(3000)));
        site.run(Milliseconds(10));
        site.setStoreFault(other, StoreFault::None);
        site.run(Milliseconds(4000));
        BOOST_TEST(site.logCount(events::shardClaimed) == before + 1,
                   "seed " << seed << ": " << site.logCount(events::shardClaimed) - before << " claims");
    }
}

/** A host that learnt of a claim without its liveness entry took the shard from the new writer, one after the other. */
BOOST_AUTO_TEST_CASE(oneTakeoverHasOneClaimWhileWatchesReportNothing)
{
    constexpr std::uint64_t seeds = 30;
    constexpr Milliseconds silence { 1500 };
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSiteOptions options;
        options.seed = seed;
        options.hosts = 9;
        VirtualSite site(options);
        site.run(startTime);
        const std::size_t before = site.logCount(events::shardClaimed);
        const std::optional<HostId> first = site.writer();
        BOOST_REQUIRE(first.has_value());
        site.setStoreFault(*first, StoreFault::Silent);
        site.send(*first, SubmitJob { std::make_shared<const JobSpec>(batchJob(seed)) });
        const std::string alive = StoreLayout { ShardId(0) }.aliveKey();
        BOOST_TEST(site.runUntil([&site, &alive] { return !site.store().read(alive); }, Milliseconds(3000)));
        // The hosts hear that the writer's lease is over, and nothing after that.
        site.run(Milliseconds(10));
        site.store().holdWatches(true);
        site.run(silence);
        site.store().holdWatches(false);
        site.run(Milliseconds(3000));
        BOOST_TEST(site.logCount(events::shardClaimed) == before + 1,
                   "seed " << seed << " claims " << site.logCount(events::shardClaimed) - before);
    }
}

/** One heartbeat that said so was enough to replace a writer that worked again, when its next ones were late. */
BOOST_AUTO_TEST_CASE(writerThatWorksAgainIsNotTakenForStuck)
{
    constexpr Milliseconds lateness { 850 };
    for (Milliseconds cutAfter(0); cutAfter <= Milliseconds(1000); cutAfter += Milliseconds(50)) {
        VirtualSite site({});
        site.run(startTime);
        const HostId writer = site.writer().value_or(site.hosts().front());
        for (const HostId &host : site.hosts()) {
            site.setStoreFault(host, StoreFault::Silent);
        }
        site.send(site.hosts().front(), SubmitJob { std::make_shared<const JobSpec>(batchJob(1)) });
        site.run(Milliseconds(4000));
        for (const HostId &host : site.hosts()) {
            site.setStoreFault(host, StoreFault::None);
        }
        site.record(true);
        site.run(cutAfter);
        const HostId other = site.hosts().back() == writer ? site.hosts().front() : site.hosts().back();
        site.partitionHosts(writer, other, true);
        site.run(lateness);
        site.partitionHosts(writer, other, false);
        site.run(Milliseconds(2500));
        const bool isTakenForStuck = std::ranges::any_of(site.transcript(), [](const std::string &line) {
            return line.find("event=claim_tried reason=writer-stuck") != std::string::npos;
        });
        BOOST_TEST(!isTakenForStuck, "cut after " << cutAfter.count() << " ms");
    }
}

/** The successor finds out that it doesn't reach the workers, gives the shard back, and isn't chosen again. */
BOOST_AUTO_TEST_CASE(shardStaysWithTheWriterThatReachesTheWorkers)
{
    VirtualSite site(siteOfTwoSizes(1));
    site.killHost(HostId("h0"));
    site.killHost(HostId("h3"));
    site.run(startTime);
    for (const WorkerId &worker : site.workers()) {
        site.partitionWorker(HostId("h0"), worker, true);
    }
    site.restartHost(HostId("h0"));
    site.run(Milliseconds(12'000));
    const JobSpec job = batchJob(1);
    BOOST_TEST(site.submit(job));
    BOOST_TEST(site.runUntil([&site] { return site.judge().starts() == 2; }, Milliseconds(20'000)),
               "the writer is " << site.writer().value_or(HostId()).value() << ", no task starts for 20 s");
    // To the larger host and back; it isn't chosen again while it declines the shard.
    site.run(Milliseconds(10'000));
    BOOST_TEST(site.logCount(events::shardHandedOver) == 2U);
}

/** When no host reaches the workers, the shard doesn't go round and round. */
BOOST_AUTO_TEST_CASE(shardIsNotHandedOnForEverWhileAllWorkersAreAway)
{
    VirtualSite site(siteOfTwoSizes(1));
    site.run(startTime);
    for (const WorkerId &worker : site.workers()) {
        site.isolateWorker(worker, true);
    }
    Milliseconds withoutWriter {};
    for (int step = 0; step < 2500; ++step) {
        site.run(Milliseconds(10));
        withoutWriter += Milliseconds(site.writers() == 0 ? 10 : 0);
    }
    BOOST_TEST(site.logCount(events::shardHandedOver) <= site.hosts().size());
    BOOST_TEST(withoutWriter.count() < 500, withoutWriter.count() << " ms without a writer in 25 s");
    for (const WorkerId &worker : site.workers()) {
        site.isolateWorker(worker, false);
    }
    const JobSpec job = batchJob(1);
    BOOST_TEST(site.submit(job));
    BOOST_TEST(site.runUntil([&site] { return site.judge().starts() == 2; }, Milliseconds(5000)));
}

/** A host that has just started has had no time to hear the writer. */
BOOST_AUTO_TEST_CASE(freshHostListensBeforeItClaimsOverAWriter)
{
    VirtualSite site({});
    site.run(startTime);
    const HostId writer = site.writer().value();
    const HostId other = site.hosts().front() == writer ? site.hosts().back() : site.hosts().front();
    site.setStoreFault(writer, StoreFault::Silent);
    site.run(Milliseconds(1500));
    site.killHost(other);
    site.restartHost(other);
    site.run(Milliseconds(100));
    site.setStoreFault(writer, StoreFault::None);
    site.run(Milliseconds(5000));
    BOOST_TEST((site.writer() == writer));
    BOOST_TEST(site.logCount(events::shardClaimed) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
