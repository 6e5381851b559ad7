#include "faulttable.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

/** A host or worker stops while work is under way. */
struct StopCase
{
    std::string name;
    std::function<void(VirtualCluster &, const FaultScene &)> before;
    std::function<void(VirtualCluster &, const FaultScene &)> stop;
    /** Whether the writer's process ends by itself without healing. */
    bool exits;
};

const TaskId running = makeTaskId(OwnerId("alpha"), SubmissionKey("task0"));

std::vector<std::size_t> sendCalls(VirtualCluster &cluster, const std::string &name, int perHost)
{
    std::vector<std::size_t> sent;
    for (const HostId &host : cluster.hosts()) {
        for (int index = 0; index < perHost; ++index) {
            const Milliseconds time(20 + 97 * (index % 9));
            const std::string id = name + host.value() + "-" + std::to_string(index);
            sent.push_back(cluster.send(host, serviceCall(id, index % 2 == 0, time)));
        }
    }
    return sent;
}

/** Every call has its answer; @p mayBeRefused lets pass those, too, that no worker had begun and none ever did. */
void checkAnswered(VirtualCluster &cluster, const std::vector<std::size_t> &sent, bool mayBeRefused = false)
{
    for (const std::size_t index : sent) {
        const VirtualCall &call = cluster.calls().at(index);
        const RequestId &request = std::get<CallService>(call.request).request;
        const bool isRefused = mayBeRefused && call.reply && call.reply->code == ReplyCode::NotRun
            && cluster.platform().truth().executionCount(request) == 0;
        BOOST_TEST((isRefused || (call.reply && call.reply->code == ReplyCode::Ok)),
                   request.value() << " at " << call.host << ": " << (call.reply ? call.reply->body : "no reply"));
    }
}

std::size_t heldShards(VirtualCluster &cluster)
{
    std::size_t held = 0;
    for (std::uint32_t shard = 0; shard < 4; ++shard) {
        held += cluster.writerOf(ShardId(shard)).has_value() ? 1 : 0;
    }
    return held;
}

void stopUnderWork(const StopCase &row, Milliseconds offset, int perHost, std::uint64_t seed)
{
    const auto cluster = servingCluster(seed);
    for (int index = 0; index < 6; ++index) {
        cluster->ask(cluster->hosts().front(), batchTask("task" + std::to_string(index), Milliseconds(6000)));
    }
    waitRunning(*cluster, running);
    const FaultScene scene = sceneOf(*cluster, running);
    row.before(*cluster, scene);
    std::vector<std::size_t> inFlight = sendCalls(*cluster, "early", perHost);
    cluster->run(offset);
    row.stop(*cluster, scene);
    cluster->run(Milliseconds(4000));
    checkAnswered(*cluster, inFlight);
    const auto isGone = [&] {
        return std::ranges::count(cluster->hosts(), scene.writer) == 0;
    };
    if (row.exits) {
        BOOST_TEST(cluster->runUntil(isGone, Milliseconds(6000)), "the stopped host doesn't exit");
    } else {
        BOOST_TEST(!isGone(), "the host has gone though its shards can't be handed over");
        healAll(*cluster);
        BOOST_TEST(cluster->runUntil(isGone, Milliseconds(20'000)));
    }
    BOOST_TEST(cluster->runUntil([&] { return heldShards(*cluster) == 4; }, Milliseconds(5000)));
    BOOST_TEST(cluster->logCount("shard_handed_over") > 0U);
    for (int index = 0; index < 6; ++index) {
        const TaskId task = makeTaskId(OwnerId("alpha"), SubmissionKey("task" + std::to_string(index)));
        const HostId reader = servingHosts(*cluster).front();
        BOOST_TEST(
            cluster->runUntil([&] { return cluster->taskState(reader, task) == "succeeded"; }, Milliseconds(30'000)));
        BOOST_TEST(cluster->platform().truth().startCount(task) == 1U);
    }
    checkNoViolations(*cluster);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromiseGracefulStop, *boost::unit_test::label("promise-graceful-stop"))

BOOST_AUTO_TEST_CASE(aStoppingHostCutsNothingOff)
{
    const auto nothing = [](VirtualCluster &, const FaultScene &) {
    };
    const auto stop = [](VirtualCluster &c, const FaultScene &s) {
        c.stopHost(s.writer);
    };
    const std::vector<StopCase> table {
        { "alone", nothing, stop, true },
        { "store out before", faultTable().at(1).strike, stop, false },
        { "store out just after", nothing,
          [](VirtualCluster &c, const FaultScene &s) {
              c.stopHost(s.writer);
              c.throwFault({ { "fault", "outage" }, { "on", true } });
          },
          false },
        { "store slow", faultTable().at(2).strike, stop, true },
        { "store replies lost", faultTable().at(3).strike, stop, true },
        { "leases lapsed", faultTable().at(4).strike, stop, true },
        { "asked twice", nothing,
          [](VirtualCluster &c, const FaultScene &s) {
              c.stopHost(s.writer);
              c.stopHost(s.writer);
          },
          true },
        { "a second host stops", nothing,
          [](VirtualCluster &c, const FaultScene &s) {
              c.stopHost(s.writer);
              c.stopHost(s.other);
          },
          true },
        { "a successor is added", nothing,
          [](VirtualCluster &c, const FaultScene &s) {
              c.stopHost(s.writer);
              c.addHost();
          },
          true },
    };
    // With 14 calls for each host more than the 32 slots are wanted, so that some wait in queues.
    for (const StopCase &row : table) {
        for (const int perHost : { 5, 14 }) {
            for (const int offset : { 0, 2, 5, 20, 150 }) {
                BOOST_TEST_CONTEXT(row.name << ", " << perHost << " calls for each host, stop after " << offset)
                {
                    stopUnderWork(row, Milliseconds(offset), perHost, 20 + static_cast<std::uint64_t>(offset));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(aStoppingEndpointCutsNothingOff)
{
    for (const int offset : { 0, 5, 20, 150, 700 }) {
        BOOST_TEST_CONTEXT("leaving after " << offset)
        {
            const auto cluster = servingCluster(40 + static_cast<std::uint64_t>(offset));
            cluster->ask(cluster->hosts().front(), batchTask("task0", Milliseconds(6000)));
            waitRunning(*cluster, running);
            const FaultScene scene = sceneOf(*cluster, running);
            const std::vector<std::size_t> sent = sendCalls(*cluster, "early", 7);
            cluster->run(Milliseconds(offset));
            cluster->throwFault({ { "fault", "leaving" }, { "worker", scene.worker }, { "on", true } });
            BOOST_TEST(cluster->runUntil([&] { return cluster->taskState(scene.entry, running) == "succeeded"; },
                                         Milliseconds(30'000)));
            checkAnswered(*cluster, sent, offset == 0); // Then none has reached its endpoint yet.
            const std::vector<StandinRun> &runs = cluster->platform().truth().runs();
            BOOST_REQUIRE(runs.size() == 2U);
            BOOST_TEST((runs.at(0).phase == AttemptPhase::Checkpointed));
            BOOST_TEST(!runs.at(1).resumedFrom.value().empty());
            BOOST_TEST((runs.at(1).worker != scene.worker));
            checkNoViolations(*cluster);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr Milliseconds knownToLeaveAfter(5000);

/**
 * Lines by which new work was sent to @p worker after the time in which its leaving must be known. Hosts that were
 * paused or cut off until @p healed may for a while still ask and be refused; nothing may be run.
 */
std::vector<std::string> lateWork(const VirtualCluster &cluster, const WorkerId &worker, TimePoint left,
                                  TimePoint healed)
{
    std::vector<std::string> found;
    for (const std::string &line : cluster.transcript()) {
        const bool isWork = line.find(" worker " + worker.value() + " start ") != std::string::npos
            || line.find(" endpoint " + worker.value() + " ") != std::string::npos;
        const TimePoint when { Milliseconds(std::stoll(line)) };
        const bool isRelearning = when >= healed && when < healed + Milliseconds(2000);
        const bool isExempt = line.ends_with(" unheard") || (isRelearning && line.ends_with(" refused"));
        if (isWork && when > left + knownToLeaveAfter && !isExempt) {
            found.push_back(line);
        }
    }
    return found;
}

/** A worker leaves under steady work while the faults strike. */
void leaveUnder(const FaultCase &first, const FaultCase &second, bool strikeAfter, std::uint64_t seed)
{
    const auto cluster = servingCluster(seed);
    cluster->ask(cluster->hosts().front(), batchTask("task0", Milliseconds(30'000)));
    waitRunning(*cluster, running);
    const FaultScene scene = sceneOf(*cluster, running);
    cluster->recordTranscript(true);
    int serial = 0;
    const auto workFor = [&](Milliseconds duration) {
        for (const TimePoint end = cluster->now() + duration; cluster->now() < end;) {
            for (const HostId &host : cluster->hosts()) {
                const std::string name = std::to_string(++serial);
                cluster->send(host, serviceCall("r" + name, serial % 2 == 0));
                if (serial % 5 == 0) {
                    cluster->send(host, batchTask("b" + name, Milliseconds(300)));
                }
            }
            cluster->run(Milliseconds(100));
        }
    };
    const auto strike = [&] {
        first.strike(*cluster, scene);
        second.strike(*cluster, scene);
    };
    workFor(Milliseconds(1000));
    BOOST_TEST(!lateWork(*cluster, scene.worker, TimePoint {}, TimePoint {}).empty());
    if (!strikeAfter) {
        strike();
    }
    cluster->throwFault({ { "fault", "leaving" }, { "worker", scene.worker }, { "on", true } });
    const TimePoint left = cluster->now();
    if (strikeAfter) {
        cluster->run(Milliseconds(300));
        strike();
    }
    workFor(Milliseconds(12'000));
    const TimePoint healed = cluster->now();
    healAll(*cluster);
    workFor(Milliseconds(4000));
    const std::vector<std::string> late = lateWork(*cluster, scene.worker, left, healed);
    BOOST_TEST(late.size() == 0U, late.size() << " pieces of work, the first: " << (late.empty() ? "" : late.front()));
    checkNoViolations(*cluster);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromiseLeavingEndpoint, *boost::unit_test::label("promise-leaving-endpoint"))

BOOST_AUTO_TEST_CASE(noNewWorkReachesALeavingWorker)
{
    for (const FaultCase &fault : faultTable()) {
        for (const bool after : { false, true }) {
            BOOST_TEST_CONTEXT(fault.name << (after ? " after" : " before") << " the worker leaves")
            {
                leaveUnder(fault, faultTable().front(), after, 9);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(pairsOfFaultsLetNoneThrough)
{
    const std::vector<FaultCase> &faults = faultTable();
    for (std::size_t first = 1; first < faults.size(); ++first) {
        for (std::size_t second = first + 1; second < faults.size(); ++second) {
            BOOST_TEST_CONTEXT(faults.at(first).name << " with " << faults.at(second).name)
            {
                leaveUnder(faults.at(first), faults.at(second), false, 10 * first + second);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
