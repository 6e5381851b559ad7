#include "faulttable.h"
#include "ledgerrecord.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

/** Holds every "not run" that was said against what the workers ran; returns how many attempts were said so. */
std::size_t checkNotRun(VirtualCluster &cluster)
{
    std::size_t attempts = 0;
    const StandinTruth &truth = cluster.platform().truth();
    std::map<TaskId, bool> onlyNotRun;
    for (const VirtualCall &call : cluster.calls()) {
        if (const auto *submit = std::get_if<SubmitTask>(&call.request)) {
            const bool saysNotRun = call.reply && call.reply->code == ReplyCode::NotRun;
            const auto known = onlyNotRun.emplace(makeTaskId(submit->owner, submit->key), true).first;
            known->second = known->second && saysNotRun;
        }
    }
    const HostId reader = servingHosts(cluster).at(0);
    for (const auto &[task, notRun] : onlyNotRun) {
        if (notRun) {
            BOOST_TEST(truth.startCount(task) == 0U, task.value() << " was refused as not run");
            BOOST_TEST((cluster.ask(reader, ReadTask { task }).code == ReplyCode::NotFound), task.value());
            continue;
        }
        const nlohmann::json account = cluster.askJson(reader, ReadAccount { task });
        for (const nlohmann::json &entry : account.value("entries", nlohmann::json::array())) {
            const nlohmann::json &record = entry.at("record");
            if (record.value("end", "") != attemptEndName(AttemptEnd::NotRun)) {
                continue;
            }
            ++attempts;
            const AttemptKey key { task, record.at("attempt").get<AttemptNumber>() };
            BOOST_TEST(std::ranges::none_of(truth.runs(), [&](const StandinRun &run) { return run.key == key; }),
                       task.value() << " attempt " << key.attempt.value() << " is recorded as not run");
        }
    }
    return attempts;
}

/** Submits, cancels and lets expire while the faults strike, then checks after all has come to rest. */
std::size_t claimNotRun(const FaultCase &first, const FaultCase &second, Milliseconds offset, std::uint64_t seed)
{
    const auto cluster = servingCluster(seed);
    const HostId host = cluster->hosts().front();
    cluster->ask(host, batchTask("long", Milliseconds(30'000)));
    const TaskId task = makeTaskId(OwnerId("alpha"), SubmissionKey("long"));
    waitRunning(*cluster, task);
    const FaultScene scene = sceneOf(*cluster, task);
    const auto work = [&](const std::string &name) {
        for (const HostId &entry : cluster->hosts()) {
            cluster->send(entry, batchTask(name + entry.value(), Milliseconds(800)));
            cluster->send(entry, batchTask(name + "short" + entry.value(), Milliseconds(800), Milliseconds(9000)));
        }
        const SubmitTask cancelled = batchTask(name + "cancelled", Milliseconds(800));
        cluster->send(scene.entry, cancelled);
        cluster->run(Milliseconds(3));
        cluster->send(scene.other, CancelTask { makeTaskId(cancelled.owner, cancelled.key), "test" });
    };
    work("before");
    cluster->run(offset);
    first.strike(*cluster, scene);
    second.strike(*cluster, scene);
    for (int round = 0; round < 4; ++round) {
        work("during" + std::to_string(round));
        cluster->run(Milliseconds(1500));
    }
    healAll(*cluster);
    cluster->addHost();
    cluster->run(Milliseconds(90'000));
    checkNoViolations(*cluster);
    return checkNotRun(*cluster);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromiseTruthfulNotRun, *boost::unit_test::label("promise-truthful-not-run"))

BOOST_AUTO_TEST_CASE(whatIsSaidNotToHaveRunNeverRan)
{
    std::size_t attempts = 0;
    std::vector<FaultCase> faults = faultTable();
    faults.push_back({ "start-replies-lost-then-cut", [](VirtualCluster &cluster, const FaultScene &scene) {
                          cluster.loseWorkerReplies(20);
                          cluster.run(Milliseconds(110));
                          for (const WorkerId &worker : cluster.workers()) {
                              cluster.cutFromWorker(scene.writer, worker, true);
                          }
                      } });
    for (const FaultCase &fault : faults) {
        for (const int offset : { 0, 4, 9, 30 }) {
            BOOST_TEST_CONTEXT(fault.name << " " << offset << " ms after the submissions")
            {
                attempts += claimNotRun(fault, faultTable().front(), Milliseconds(offset),
                                        7 + static_cast<std::uint64_t>(offset));
            }
        }
    }
    BOOST_TEST(attempts > 0U);
}

BOOST_AUTO_TEST_CASE(pairsOfFaultsDontMakeItUntrue)
{
    const std::vector<FaultCase> &faults = faultTable();
    for (std::size_t first = 1; first < faults.size(); ++first) {
        for (std::size_t second = first + 1; second < faults.size(); ++second) {
            BOOST_TEST_CONTEXT(faults.at(first).name << " with " << faults.at(second).name)
            {
                claimNotRun(faults.at(first), faults.at(second), Milliseconds(5), 1000 * first + second);
            }
        }
    }
}

/** One way to be told that a task wasn't run. */
struct RefusalCase
{
    std::string name;
    std::string settings;
    std::function<void(VirtualCluster &)> prepare;
    Milliseconds deadline;
    ReplyCode code;
    /** Reason in the refusal, or state of the task in the end. */
    std::string said;
};

BOOST_AUTO_TEST_CASE(eachRefusalIsSaidByItsName)
{
    const auto allLeave = [](VirtualCluster &cluster) {
        for (const WorkerId &worker : cluster.workers()) {
            cluster.throwFault({ { "fault", "leaving" }, { "worker", worker }, { "on", true } });
        }
        cluster.run(Milliseconds(3000));
    };
    const std::vector<RefusalCase> table {
        { "outage", "",
          [](VirtualCluster &c) {
              c.throwFault({ { "fault", "outage" }, { "on", true } });
              c.run(Milliseconds(3000));
          },
          Milliseconds(60'000), ReplyCode::NotYetKnown, "store-unavailable" },
        { "queue full", "task-queue-limit = 1",
          [](VirtualCluster &c) {
              for (int index = 0; index < 12; ++index) {
                  c.ask(c.hosts().at(0), batchTask("fill" + std::to_string(index), Milliseconds(15'000)));
              }
          },
          Milliseconds(60'000), ReplyCode::NotRun, "task-queue-full" },
        { "expired", "", allLeave, Milliseconds(10'000), ReplyCode::Ok, "expired" },
        { "cancelled", "", allLeave, Milliseconds(60'000), ReplyCode::Ok, "cancelled" },
    };
    const TaskId task = makeTaskId(OwnerId("alpha"), SubmissionKey("refused"));
    for (const RefusalCase &row : table) {
        BOOST_TEST_CONTEXT(row.name)
        {
            std::string document = testConfiguration();
            document.insert(document.find("task-lease"), row.settings + "\n");
            const auto cluster = servingCluster(3, document);
            row.prepare(*cluster);
            const HostId entry = cluster->hosts().at(1);
            const HostId reader = cluster->hosts().at(0);
            const CallerReply reply = cluster->ask(entry, batchTask("refused", Milliseconds(100), row.deadline));
            BOOST_TEST((reply.code == row.code), reply.body);
            if (row.code != ReplyCode::Ok) {
                BOOST_TEST(nlohmann::json::parse(reply.body).value("reason", "") == row.said);
            } else if (row.said == "cancelled") {
                cluster->ask(reader, CancelTask { task, "test" });
            }
            healAll(*cluster);
            cluster->run(Milliseconds(20'000));
            if (row.code == ReplyCode::Ok) {
                BOOST_TEST(cluster->taskState(reader, task) == row.said);
            }
            BOOST_TEST(cluster->platform().truth().startCount(task) == 0U);
            checkNotRun(*cluster);
            checkNoViolations(*cluster);
        }
    }
}

BOOST_AUTO_TEST_CASE(aStoppingHostPassesSubmissionsOn)
{
    const auto cluster = servingCluster(5);
    cluster->stopHost(cluster->hosts().at(1));
    const CallerReply reply = cluster->ask(cluster->hosts().at(1), batchTask("late", Milliseconds(100)));
    BOOST_TEST((reply.code == ReplyCode::Ok), reply.body);
    const TaskId task = makeTaskId(OwnerId("alpha"), SubmissionKey("late"));
    const HostId reader = cluster->hosts().at(0);
    BOOST_TEST(
        cluster->runUntil([&] { return cluster->taskState(reader, task) == "succeeded"; }, Milliseconds(30'000)));
    checkNoViolations(*cluster);
}

BOOST_AUTO_TEST_CASE(aWriteWhoseReplyWasLostIsNotSaidNotRun)
{
    for (std::uint32_t lost = 1; lost <= 8; ++lost) {
        for (const bool thenOutage : { false, true }) {
            BOOST_TEST_CONTEXT(lost << " replies lost, outage after: " << thenOutage)
            {
                const auto cluster = servingCluster(lost);
                cluster->throwFault({ { "fault", "loseReply" }, { "count", lost }, { "keyPrefix", "ledger/" } });
                const std::size_t sent = cluster->send(cluster->hosts().at(0), batchTask("k", Milliseconds(100)));
                cluster->run(Milliseconds(20));
                cluster->throwFault({ { "fault", "outage" }, { "on", thenOutage } });
                cluster->run(Milliseconds(1500)); // The writer knows by now that its write has no answer.
                const std::size_t again = cluster->send(cluster->hosts().at(1), batchTask("k", Milliseconds(100)));
                cluster->run(Milliseconds(8000));
                for (const std::size_t index : { sent, again }) {
                    BOOST_REQUIRE(cluster->calls().at(index).reply.has_value());
                    BOOST_TEST((cluster->calls().at(index).reply->code != ReplyCode::NotRun));
                }
                healAll(*cluster);
                const TaskId task = makeTaskId(OwnerId("alpha"), SubmissionKey("k"));
                settledAccount(*cluster, task);
                BOOST_TEST(cluster->platform().truth().startCount(task) == 1U);
                checkNoViolations(*cluster);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(aRefusalDoesntDenyAnEarlierTry)
{
    // The writer takes the task and its reply is lost; a former writer without the store is asked next.
    const auto cluster = servingCluster(2);
    cluster->ask(cluster->hosts().front(), batchTask("long", Milliseconds(60'000)));
    const TaskId known = makeTaskId(OwnerId("alpha"), SubmissionKey("long"));
    waitRunning(*cluster, known);
    const FaultScene scene = sceneOf(*cluster, known);
    SubmitTask submit = batchTask("0", Milliseconds(100));
    const auto shard = homeShard(known, 4);
    for (int index = 1; homeShard(makeTaskId(submit.owner, submit.key), 4) != shard; ++index) {
        submit.key = SubmissionKey(std::to_string(index));
    }
    cluster->cutBetween(scene.writer, scene.entry, true);
    cluster->cutBetween(scene.writer, scene.other, true);
    cluster->cutFromStore(scene.writer, true);
    BOOST_REQUIRE(cluster->runUntil(
        [&] {
            return cluster->askJson(scene.entry, ReadStatus {}).at("shards").at(shard.value()).at("writer")
                == scene.other.value();
        },
        Milliseconds(20'000)));
    const std::size_t sent = cluster->send(scene.entry, submit);
    cluster->run(Milliseconds(4));
    cluster->cutBetween(scene.entry, scene.other, true);
    cluster->cutBetween(scene.entry, scene.writer, false);
    BOOST_TEST(cluster->runUntil([&] { return cluster->calls().at(sent).reply.has_value(); }, Milliseconds(10'000)));
    BOOST_TEST(cluster->platform().truth().startCount(makeTaskId(submit.owner, submit.key)) == 1U);
    BOOST_TEST((cluster->calls().at(sent).reply->code == ReplyCode::NotYetKnown),
               cluster->calls().at(sent).reply->body);
    checkNoViolations(*cluster);
}

BOOST_AUTO_TEST_SUITE_END()
