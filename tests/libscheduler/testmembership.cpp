#include "mesh.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

void startThree(Mesh &mesh)
{
    for (const char *name : { "a", "b", "c" }) {
        mesh.add(name);
    }
    mesh.run(Milliseconds(8000));
}

Milliseconds silence()
{
    return Configuration().duration(Setting::PeerSilence);
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipOfHosts)

BOOST_AUTO_TEST_CASE(hostsFindEachOtherThroughTheStore)
{
    Mesh mesh;
    startThree(mesh);
    BOOST_TEST(mesh.live("a") == "bc");
    BOOST_TEST(mesh.live("b") == "ac");
    BOOST_TEST(mesh.live("c") == "ab");
    BOOST_TEST(mesh["a"].membership.isLive(HostId("a")));
    BOOST_TEST(mesh["a"].membership.storeReachable());
    BOOST_TEST(mesh["a"].membership.isSettled());
    BOOST_TEST(mesh["a"].links.at(HostId("b")) == Address("b:7001"));
}

BOOST_AUTO_TEST_CASE(aLoneHostSettlesTwoHeartbeatIntervalsAfterItIsListed)
{
    Mesh mesh;
    mesh.add("a");
    mesh.run(step);
    BOOST_TEST(!mesh["a"].membership.isSettled());
    // The list that is read at the start doesn't name the host yet; the next one, an interval later, does.
    mesh.run(Configuration().duration(Setting::HeartbeatInterval) * 2);
    BOOST_TEST(!mesh["a"].membership.isSettled());
    mesh.run(Configuration().duration(Setting::HeartbeatInterval) + step * 2);
    BOOST_TEST(mesh["a"].membership.isSettled());
}

BOOST_AUTO_TEST_CASE(aSilentHostIsNotLiveAndComesBack)
{
    Mesh mesh;
    startThree(mesh);
    mesh["c"].isFrozen = true;
    mesh.run(silence() + step * 10);
    BOOST_TEST(mesh.live("a") == "b");
    BOOST_TEST(mesh.links("a") == "bc");
    mesh["c"].isFrozen = false;
    mesh.run(Milliseconds(2000));
    BOOST_TEST(mesh.live("a") == "bc");
    BOOST_TEST(mesh.live("c") == "ab");
}

BOOST_AUTO_TEST_CASE(aSilentHostIsDroppedOnceItsEntryIsGone)
{
    Mesh mesh;
    startThree(mesh);
    mesh.remove("c");
    mesh.run(silence() * 9);
    BOOST_TEST(mesh.links("a") == "bc");
    mesh.run(silence() + Milliseconds(12'000));
    BOOST_TEST(mesh.links("a") == "b");
}

BOOST_AUTO_TEST_CASE(aStoreOutageKeepsTheMesh)
{
    Mesh mesh;
    startThree(mesh);
    mesh.store.isDown = true;
    mesh.run(Milliseconds(600'000));
    BOOST_TEST(mesh.live("a") == "bc");
    BOOST_TEST(!mesh["a"].membership.storeReachable());
    BOOST_TEST(!mesh["b"].membership.livePeers().front().heartbeat.storeReachable);
    mesh.remove("c");
    mesh.run(silence() * 20);
    BOOST_TEST(mesh.live("a") == "b");
    // The last list that was read still names it.
    BOOST_TEST(mesh.links("a") == "bc");
    mesh.store.isDown = false;
    mesh.run(Milliseconds(20'000));
    BOOST_TEST(mesh["a"].membership.storeReachable());
    BOOST_TEST(mesh.store.holds("a", mesh.now()));
    BOOST_TEST(mesh.links("a") == "b");
}

BOOST_AUTO_TEST_CASE(aHostSettlesThroughAPeerWhileTheStoreIsDown)
{
    Mesh mesh;
    mesh.store.isDown = true;
    TestHost &host = mesh.add("a");
    mesh.run(Milliseconds(10'000));
    BOOST_TEST(!host.membership.isSettled());
    Heartbeat heartbeat;
    heartbeat.host = HostId("b");
    heartbeat.peerAddress = Address("b:7001");
    host.membership.handleHeartbeat(heartbeat);
    BOOST_TEST(!host.membership.isSettled());
    mesh.run(Configuration().duration(Setting::HeartbeatInterval) * 2);
    BOOST_TEST(host.membership.isSettled());
    BOOST_TEST(mesh.links("a") == "b");
}

BOOST_AUTO_TEST_CASE(aReplacedHostTakesTheOldOnesPlace)
{
    Mesh mesh;
    startThree(mesh);
    mesh.remove("c");
    mesh.add("d", "c:7001");
    mesh.run(silence() + Milliseconds(8000));
    BOOST_TEST(mesh.live("a") == "bd");
    BOOST_TEST(mesh.links("a") == "bd");
    BOOST_TEST(mesh.links("d") == "ab");
}

BOOST_AUTO_TEST_CASE(aMovedPeerIsLinkedAnew)
{
    Mesh mesh;
    startThree(mesh);
    Heartbeat heartbeat;
    heartbeat.host = HostId("b");
    heartbeat.peerAddress = Address("b:7002");
    mesh["a"].membership.handleHeartbeat(heartbeat);
    mesh.run(step);
    BOOST_TEST(mesh["a"].links.at(HostId("b")) == Address("b:7002"));
}

BOOST_AUTO_TEST_CASE(aLeavingHostWithdrawsAndFallsSilent)
{
    Mesh mesh;
    startThree(mesh);
    mesh["c"].membership.leave();
    mesh.run(step);
    BOOST_TEST(mesh.live("a") == "bc");
    BOOST_TEST(!mesh.store.holds("c", mesh.now()));
    for (std::uint32_t shard = 0; shard < 64; ++shard) {
        BOOST_TEST(mesh["a"].membership.preferredWriter(ShardId(shard)).value() != HostId("c"));
        BOOST_TEST(mesh["c"].membership.preferredWriter(ShardId(shard)).value() != HostId("c"));
    }
    mesh.run(silence() + step * 10);
    BOOST_TEST(mesh.live("a") == "b");
    BOOST_TEST(!mesh.store.holds("c", mesh.now()));
}

BOOST_AUTO_TEST_CASE(aDrainingHostStaysLiveButIsNotPreferred)
{
    Mesh mesh;
    startThree(mesh);
    mesh["c"].digest.leaving = true;
    mesh["c"].membership.announce();
    mesh.run(step);
    BOOST_TEST(mesh["a"].membership.isLive(HostId("c")));
    for (std::uint32_t shard = 0; shard < 64; ++shard) {
        BOOST_TEST(mesh["a"].membership.preferredWriter(ShardId(shard)).value() != HostId("c"));
    }
}

BOOST_AUTO_TEST_CASE(aLapsedLeaseGivesAFreshEntry)
{
    Mesh mesh;
    startThree(mesh);
    mesh.store.lapseAll();
    BOOST_TEST(!mesh.store.holds("a", mesh.now()));
    mesh.run(Milliseconds(10'000));
    for (const char *name : { "a", "b", "c" }) {
        BOOST_TEST(mesh.store.holds(name, mesh.now()));
        BOOST_TEST(mesh[name].membership.storeReachable());
    }
    mesh.run(Milliseconds(60'000));
    BOOST_TEST(mesh.store.holds("a", mesh.now()));
}

BOOST_AUTO_TEST_CASE(allHostsAgreeOnWritersAndFewMoveWhenOneLeaves)
{
    constexpr std::uint32_t shards = 256;
    Mesh mesh;
    const std::vector<std::string> names { "a", "b", "c", "d", "e", "f", "g", "h" };
    for (const std::string &name : names) {
        mesh.add(name);
    }
    mesh.run(Milliseconds(12'000));
    std::map<std::uint32_t, HostId> before;
    std::map<HostId, int> load;
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        before[shard] = mesh["a"].membership.preferredWriter(ShardId(shard)).value();
        ++load[before[shard]];
        for (const std::string &name : names) {
            BOOST_TEST(mesh[name].membership.preferredWriter(ShardId(shard)).value() == before[shard]);
        }
    }
    BOOST_TEST(load.size() == names.size());
    mesh.remove("h");
    mesh.run(silence() + step * 10);
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        const HostId after = mesh["a"].membership.preferredWriter(ShardId(shard)).value();
        BOOST_TEST((before[shard] == HostId("h") ? after != HostId("h") : after == before[shard]));
    }
}

BOOST_AUTO_TEST_CASE(theClaimOfTheHighestEpochCounts)
{
    Mesh mesh;
    startThree(mesh);
    const ShardId shard(5);
    BOOST_TEST(!mesh["a"].membership.claimant(shard).has_value());
    mesh["a"].digest.claims = { { shard, Epoch(3), {} } };
    mesh["a"].membership.announce();
    BOOST_TEST(mesh["a"].membership.claimant(shard).value() == HostId("a"));
    mesh["b"].digest.claims = { { shard, Epoch(4), {} }, { ShardId(6), Epoch(9), {} } };
    mesh["b"].membership.announce();
    mesh.run(Milliseconds(1000));
    BOOST_TEST(mesh["a"].membership.claimant(shard).value() == HostId("b"));
    BOOST_TEST(mesh["c"].membership.claimant(shard).value() == HostId("b"));
    mesh["b"].isFrozen = true;
    mesh.run(silence() + step * 10);
    BOOST_TEST(mesh["a"].membership.claimant(shard).value() == HostId("a"));
    BOOST_TEST(!mesh["a"].membership.claimant(ShardId(6)).has_value());
}

BOOST_AUTO_TEST_CASE(malformedEntriesAreSkipped)
{
    Mesh mesh;
    const StoreReply lease = mesh.store.call(StoreGrantLease { Milliseconds(60'000) }, mesh.now()).value();
    for (const char *value : { "", "{", "3", "{\"peerAddress\":4}" }) {
        mesh.store.call(StorePut { std::string("hosts/x") + value, value, {}, lease.lease }, mesh.now());
    }
    startThree(mesh);
    BOOST_TEST(mesh.links("a") == "bc");
    BOOST_TEST(mesh["a"].membership.isSettled());
}

BOOST_AUTO_TEST_SUITE_END()
