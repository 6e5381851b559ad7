#include "faulttable.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds inForceWithin(6000);

ApplyConfiguration changeTo(const std::string &id, std::uint64_t madeAgainst)
{
    const std::string text = "# " + id + "\n" + testConfiguration();
    return ApplyConfiguration { ChangeId(id), "tests", ConfigurationVersion(madeAgainst), text };
}

std::uint64_t storedVersion(VirtualCluster &cluster)
{
    StandinStore &store = cluster.platform().store();
    const StoreResult stored = store.apply(StoreGet { "configuration/current" }, cluster.now());
    return nlohmann::json::parse(stored->entries.front().value).at("version").get<std::uint64_t>();
}

bool isInForce(const VirtualCluster &cluster, const std::vector<HostId> &hosts, std::uint64_t version)
{
    return std::ranges::all_of(
        hosts, [&](const HostId &host) { return cluster.versionOn(host) >= ConfigurationVersion(version); });
}

/** A serving host never has less than the other live hosts had when it began to serve. */
void checkServingVersions(VirtualCluster &cluster, std::uint64_t least, Milliseconds duration)
{
    cluster.runUntil(
        [&] {
            for (const HostId &host : servingHosts(cluster)) {
                BOOST_REQUIRE_MESSAGE(cluster.versionOn(host) >= ConfigurationVersion(least),
                                      host << " serves with an older configuration");
            }
            return false;
        },
        duration);
}

/** Applies a change at the entry host around the faults; it is in force in time, and its author learns its fate. */
void changeUnder(const FaultCase &first, const FaultCase &second, bool strikeAfter, std::uint64_t seed)
{
    const auto cluster = servingCluster(seed);
    const std::vector<HostId> all = cluster->hosts();
    const FaultScene scene { all.at(0), all.at(1), all.at(2), WorkerId("w1") };
    const auto strike = [&] {
        first.strike(*cluster, scene);
        second.strike(*cluster, scene);
    };
    if (!strikeAfter) {
        strike();
    }
    const std::size_t sent = cluster->send(scene.entry, changeTo("c2", 1));
    const bool accepted = cluster->runUntil([&] { return storedVersion(*cluster) == 2; }, Milliseconds(12'000));
    if (strikeAfter) {
        strike();
    }
    // Who stands still or is dying isn't live.
    std::vector<HostId> live = cluster->hosts();
    std::erase_if(live, [&](const HostId &host) { return host == scene.writer && first.name + second.name != "none"; });
    if (accepted) {
        BOOST_TEST(cluster->runUntil([&] { return isInForce(*cluster, live, 2); }, inForceWithin));
    }
    cluster->run(Milliseconds(12'000));
    BOOST_REQUIRE(cluster->calls().at(sent).reply.has_value());
    const ReplyCode told = cluster->calls().at(sent).reply->code;
    BOOST_TEST((told == ReplyCode::Ok || told == ReplyCode::NotYetKnown));
    BOOST_TEST((accepted || told != ReplyCode::Ok));
    healAll(*cluster);
    BOOST_TEST((cluster->ask(scene.entry, changeTo("c2", 1)).code == ReplyCode::Ok));
    BOOST_TEST(cluster->runUntil([&] { return isInForce(*cluster, cluster->hosts(), 2); }, inForceWithin));
    BOOST_TEST(storedVersion(*cluster) == 2U);
    checkNoViolations(*cluster);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromiseConfiguration, *boost::unit_test::label("promise-configuration"))

BOOST_AUTO_TEST_CASE(anAcceptedChangeIsInForceInTime)
{
    std::vector<FaultCase> faults = faultTable();
    for (const int count : { 1, 2, 3, 5 }) {
        faults.push_back({ "replies-lost-" + std::to_string(count), [count](VirtualCluster &cluster, const auto &) {
                              cluster.throwFault(
                                  { { "fault", "loseReply" }, { "count", count }, { "keyPrefix", "configuration/" } });
                          } });
    }
    for (std::size_t first = 0; first < faults.size(); ++first) {
        for (std::size_t second = first; second < faults.size(); ++second) {
            for (const bool after : { false, true }) {
                BOOST_TEST_CONTEXT(faults.at(first).name << " with " << faults.at(second).name
                                                         << (after ? " after" : " before") << " the acceptance")
                {
                    changeUnder(faults.at(first), second == first ? faults.front() : faults.at(second), after,
                                100 * first + second + 1);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(ofTwoOperatorsOneWins)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const int lost : { 0, 1, 2, 4 }) {
            BOOST_TEST_CONTEXT("seed " << seed << ", " << lost << " replies lost")
            {
                const auto cluster = servingCluster(seed);
                const std::vector<HostId> hosts = cluster->hosts();
                cluster->throwFault({ { "fault", "loseReply" }, { "count", lost }, { "keyPrefix", "configuration/" } });
                cluster->send(hosts.at(0), changeTo("left", 1));
                cluster->send(hosts.at(1), changeTo("right", 1));
                cluster->run(Milliseconds(15'000));
                const auto verdict = [&](std::size_t index) {
                    return cluster->calls().at(index).reply.value_or(CallerReply { ReplyCode::NotYetKnown, "" }).code;
                };
                const ReplyCode left = cluster->ask(hosts.at(2), changeTo("left", 1)).code;
                const ReplyCode right = cluster->ask(hosts.at(2), changeTo("right", 1)).code;
                BOOST_TEST(((left == ReplyCode::Ok && right == ReplyCode::Conflict)
                            || (left == ReplyCode::Conflict && right == ReplyCode::Ok)));
                BOOST_TEST((verdict(0) == left || verdict(0) == ReplyCode::NotYetKnown));
                BOOST_TEST((verdict(1) == right || verdict(1) == ReplyCode::NotYetKnown));
                BOOST_TEST((lost > 0 || verdict(0) != ReplyCode::NotYetKnown));
                BOOST_TEST(storedVersion(*cluster) == 2U);
                checkNoViolations(*cluster);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(aReplacedHostServesNothingOlder)
{
    for (const FaultCase &fault : faultTable()) {
        BOOST_TEST_CONTEXT(fault.name)
        {
            const auto cluster = servingCluster(5);
            const std::vector<HostId> hosts = cluster->hosts();
            const FaultScene scene { hosts.at(0), hosts.at(1), hosts.at(2), WorkerId("w1") };
            cluster->ask(scene.entry, changeTo("c2", 1));
            cluster->runUntil([&] { return isInForce(*cluster, hosts, 2); }, inForceWithin);
            fault.strike(*cluster, scene);
            cluster->killHost(scene.other);
            const HostId added = cluster->addHost();
            checkServingVersions(*cluster, 2, Milliseconds(8000));
            healAll(*cluster);
            BOOST_TEST(cluster->runUntil([&] { return cluster->isServing(added); }, Milliseconds(20'000)));
            checkServingVersions(*cluster, 2, Milliseconds(1000));
            checkNoViolations(*cluster);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
