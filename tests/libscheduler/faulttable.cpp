#include "faulttable.h"

#include <boost/test/unit_test.hpp>

namespace currantring {

namespace {

using Strike = std::function<void(VirtualCluster &, const FaultScene &)>;

Strike thrown(const nlohmann::json &fault)
{
    return [fault](VirtualCluster &cluster, const FaultScene &) {
        cluster.throwFault(fault);
    };
}

Strike thrownAtWorker(const nlohmann::json &fault)
{
    return [fault](VirtualCluster &cluster, const FaultScene &scene) {
        nlohmann::json placed = fault;
        placed["worker"] = scene.worker;
        cluster.throwFault(placed);
    };
}

bool isOver(const std::string &state)
{
    return state == "succeeded" || state == "failed" || state == "cancelled" || state == "expired";
}

} // namespace

const std::vector<FaultCase> &faultTable()
{
    using Cluster = VirtualCluster;
    using Scene = FaultScene;
    static const std::vector<FaultCase> table {
        { "none",
          [](Cluster &, const Scene &) {
          } },
        { "store-out", thrown({ { "fault", "outage" }, { "on", true } }) },
        { "store-slow", thrown({ { "fault", "slowness" }, { "ms", 700 } }) },
        { "store-replies-lost", thrown({ { "fault", "loseReply" }, { "count", 3 }, { "keyPrefix", "ledger/" } }) },
        { "leases-lapsed", thrown({ { "fault", "lapseLease" }, { "lease", "all" } }) },
        { "worker-frozen", thrownAtWorker({ { "fault", "freezeWorker" }, { "on", true } }) },
        { "worker-failing", thrownAtWorker({ { "fault", "failing" }, { "on", true } }) },
        { "worker-refusing", thrownAtWorker({ { "fault", "failing" }, { "on", true }, { "refuse", true } }) },
        { "worker-replies-lost",
          [](Cluster &c, const Scene &) {
              c.loseWorkerReplies(3);
          } },
        { "writer-killed",
          [](Cluster &c, const Scene &s) {
              c.killHost(s.writer);
          } },
        { "writer-paused",
          [](Cluster &c, const Scene &s) {
              c.pauseHost(s.writer);
          } },
        { "writer-stopped",
          [](Cluster &c, const Scene &s) {
              c.stopHost(s.writer);
          } },
        { "writer-cut-from-store",
          [](Cluster &c, const Scene &s) {
              c.cutFromStore(s.writer, true);
          } },
        { "writer-cut-from-worker",
          [](Cluster &c, const Scene &s) {
              c.cutFromWorker(s.writer, s.worker, true);
          } },
        { "writer-cut-from-entry",
          [](Cluster &c, const Scene &s) {
              c.cutBetween(s.writer, s.entry, true);
          } },
        { "writer-alone",
          [](Cluster &c, const Scene &s) {
              c.cutBetween(s.writer, s.entry, true);
              c.cutBetween(s.writer, s.other, true);
              c.cutFromStore(s.writer, true);
          } },
        { "entry-cut-from-store",
          [](Cluster &c, const Scene &s) {
              c.cutFromStore(s.entry, true);
          } },
        { "writer-clock-ahead",
          [](Cluster &c, const Scene &s) {
              c.stepWallClock(s.writer, Milliseconds(90'000));
          } },
        { "writer-clock-back",
          [](Cluster &c, const Scene &s) {
              c.stepWallClock(s.writer, Milliseconds(-90'000));
          } },
    };
    return table;
}

void healAll(VirtualCluster &cluster)
{
    cluster.throwFault({ { "fault", "outage" }, { "on", false } });
    cluster.throwFault({ { "fault", "slowness" }, { "ms", 0 } });
    cluster.throwFault({ { "fault", "loseReply" }, { "count", 0 } });
    cluster.loseWorkerReplies(0);
    for (const WorkerId &worker : cluster.workers()) {
        cluster.throwFault({ { "fault", "freezeWorker" }, { "worker", worker }, { "on", false } });
        cluster.throwFault({ { "fault", "failing" }, { "worker", worker }, { "on", false } });
    }
    for (const HostId &host : cluster.hosts()) {
        cluster.resumeHost(host);
        cluster.cutFromStore(host, false);
        for (const HostId &peer : cluster.hosts()) {
            cluster.cutBetween(host, peer, false);
        }
        for (const WorkerId &worker : cluster.workers()) {
            cluster.cutFromWorker(host, worker, false);
        }
    }
}

std::unique_ptr<VirtualCluster> servingCluster(std::uint64_t seed, const std::string &configuration)
{
    VirtualClusterOptions options;
    options.seed = seed;
    options.configuration = configuration;
    auto cluster = std::make_unique<VirtualCluster>(options);
    BOOST_REQUIRE(cluster->runUntil([&] { return cluster->allServing(); }, Milliseconds(10'000)));
    // Every shard has its writer, every writer has heard its workers, and the homes of requests have long been known.
    cluster->run(Milliseconds(12'000));
    return cluster;
}

void waitRunning(VirtualCluster &cluster, const TaskId &task)
{
    const HostId host = cluster.hosts().front();
    BOOST_REQUIRE(cluster.runUntil([&] { return cluster.taskState(host, task) == "running"; }, Milliseconds(20'000)));
}

FaultScene sceneOf(VirtualCluster &cluster, const TaskId &task)
{
    const nlohmann::json state = cluster.askJson(cluster.hosts().front(), ReadTask { task });
    FaultScene scene;
    scene.writer = cluster.writerOf(state.at("shard").get<ShardId>()).value();
    scene.worker = WorkerId(state.value("worker", "w1"));
    std::vector<HostId> others = cluster.hosts();
    std::erase(others, scene.writer);
    scene.entry = others.at(0);
    scene.other = others.at(1);
    return scene;
}

std::vector<HostId> servingHosts(const VirtualCluster &cluster)
{
    std::vector<HostId> serving = cluster.hosts();
    std::erase_if(serving, [&](const HostId &host) { return !cluster.isServing(host); });
    return serving;
}

nlohmann::json settledAccount(VirtualCluster &cluster, const TaskId &task)
{
    std::set<std::string> accounts;
    std::set<std::string> states;
    for (const HostId &host : servingHosts(cluster)) {
        BOOST_TEST(cluster.runUntil([&] { return isOver(cluster.taskState(host, task)); }, Milliseconds(150'000)),
                   "no end of " << task.value() << " through " << host);
        accounts.insert(cluster.ask(host, ReadAccount { task }).body);
        states.insert(cluster.ask(host, ReadTask { task }).body);
    }
    BOOST_TEST(accounts.size() == 1U);
    BOOST_TEST(states.size() == 1U);
    return accounts.empty() ? nlohmann::json() : nlohmann::json::parse(*accounts.begin());
}

void checkNoViolations(const VirtualCluster &cluster)
{
    for (const std::string &violation : cluster.violations()) {
        BOOST_ERROR(violation);
    }
}

} // namespace currantring
