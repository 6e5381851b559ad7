#include "virtualcluster.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

void checkNoViolations(const VirtualCluster &cluster)
{
    for (const std::string &violation : cluster.violations()) {
        BOOST_ERROR(violation);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Session)

BOOST_AUTO_TEST_CASE(threeHostsServe)
{
    VirtualCluster cluster({});
    BOOST_TEST(cluster.runUntil([&] { return cluster.allServing(); }, Milliseconds(10'000)));
    cluster.run(Milliseconds(3000));
    const std::vector<HostId> hosts = cluster.hosts();
    const nlohmann::json status = cluster.askJson(hosts.at(0), ReadStatus {});
    BOOST_TEST_MESSAGE(status.dump(1));
    const nlohmann::json accepted = cluster.askJson(hosts.at(1), batchTask("k1", Milliseconds(500)));
    BOOST_TEST_MESSAGE(accepted.dump());
    const TaskId task(accepted.value("task", ""));
    BOOST_TEST(
        cluster.runUntil([&] { return cluster.taskState(hosts.at(2), task) == "succeeded"; }, Milliseconds(20'000)));
    BOOST_TEST_MESSAGE(cluster.askJson(hosts.at(0), ReadAccount { task }).dump(1));
    const CallerReply answer = cluster.ask(hosts.at(0), serviceCall("r1", false));
    BOOST_TEST_MESSAGE(answer.body);
    BOOST_TEST((answer.code == ReplyCode::Ok));
    checkNoViolations(cluster);
}

BOOST_AUTO_TEST_CASE(urgentWorkStartsInTimeAlsoWithoutRoomAtHome)
{
    constexpr Milliseconds promised(1100);
    VirtualClusterOptions options;
    options.workers = 1; // So seven of the eight shards have none.
    options.configuration = testConfiguration(8);
    VirtualCluster cluster(options);
    BOOST_REQUIRE(cluster.runUntil([&] { return cluster.allServing(); }, Milliseconds(10'000)));
    cluster.run(Milliseconds(3000));
    for (int number = 0; number < 16; ++number) {
        SubmitTask urgent = batchTask("urgent-" + std::to_string(number), Milliseconds(100));
        urgent.spec.urgent = true;
        const TimePoint sent = cluster.now();
        const TaskId task(cluster.askJson(cluster.hosts().at(0), urgent).value("task", ""));
        const bool hasBegun = cluster.runUntil([&] { return cluster.platform().truth().startCount(task) > 0; },
                                               promised - (cluster.now() - sent));
        BOOST_TEST(hasBegun, "task " << number << " didn't start within 1.1 s");
        cluster.run(Milliseconds(1000));
    }
    checkNoViolations(cluster);
}

BOOST_AUTO_TEST_SUITE_END()
