#include "faulttable.h"
#include "ledgerrecord.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

/** Number of the last entry that an answer about a task tells of; 0 when it tells of none. */
std::uint64_t lastEntryTold(const VirtualCall &call, const nlohmann::json &body)
{
    if (std::holds_alternative<ReadAccount>(call.request)) {
        return body.at("entries").size();
    }
    return std::holds_alternative<ReadTask>(call.request) ? body.at("entries").get<std::uint64_t>() : 0;
}

/**
 * No read may tell less than a read that was answered before it was sent, and the state told with entry N is the
 * state in entry N of the account.
 */
void checkOneStory(const VirtualCluster &cluster, const TaskId &task, const nlohmann::json &account)
{
    std::vector<std::pair<const VirtualCall *, std::uint64_t>> reads;
    for (const VirtualCall &call : cluster.calls()) {
        if (!call.reply || call.reply->code != ReplyCode::Ok) {
            continue;
        }
        const nlohmann::json body = nlohmann::json::parse(call.reply->body, nullptr, false);
        const std::uint64_t last = body.value("task", "") == task.value() ? lastEntryTold(call, body) : 0;
        if (last == 0) {
            continue;
        }
        if (std::holds_alternative<ReadTask>(call.request)) {
            BOOST_TEST(body.at("state") == account.at("entries").at(last - 1).at("state"));
        }
        reads.emplace_back(&call, last);
    }
    for (const auto &[late, told] : reads) {
        for (const auto &[early, before] : reads) {
            const bool isStale = early->repliedAt <= late->sentAt && before > told;
            BOOST_TEST(!isStale,
                       late->host << " told " << told << " entries after " << early->host << " told " << before);
        }
    }
    BOOST_TEST(reads.size() > 0U);
}

bool isOver(const std::string &state)
{
    return state == "succeeded" || state == "failed" || state == "cancelled" || state == "expired";
}

/** Waits for the task's end as every serving host tells it, then asks all of them; returns the one account. */
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

const TaskId victim = makeTaskId(OwnerId("alpha"), SubmissionKey("victim"));
const TaskId disturber = makeTaskId(OwnerId("beta"), SubmissionKey("disturber"));

/** Evicts a running task for another owner's, throws the faults, and reads through every host all the while. */
void tellStory(const FaultCase &first, const FaultCase &second, Milliseconds offset, std::uint64_t seed)
{
    const auto cluster = servingCluster(seed);
    const HostId host = cluster->hosts().front();
    cluster->ask(host, batchTask("victim", Milliseconds(4000)));
    cluster->ask(host, watcherTask("disturber"));
    waitRunning(*cluster, victim);
    const FaultScene scene = sceneOf(*cluster, victim);
    cluster->send(scene.entry, EvictTask { victim, disturber, "latency", {} });
    cluster->run(offset);
    first.strike(*cluster, scene);
    second.strike(*cluster, scene);
    const auto readEverywhere = [&] {
        for (const HostId &reader : cluster->hosts()) {
            cluster->send(reader, ReadAccount { victim });
            cluster->send(reader, ReadTask { victim });
        }
    };
    for (int round = 0; round < 24; ++round) {
        readEverywhere();
        cluster->run(Milliseconds(500));
    }
    healAll(*cluster);
    readEverywhere();
    cluster->addHost();
    cluster->run(Milliseconds(1000));
    checkOneStory(*cluster, victim, settledAccount(*cluster, victim));
    checkNoViolations(*cluster);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromiseOneStory, *boost::unit_test::label("promise-one-story"))

BOOST_AUTO_TEST_CASE(anEvictionIsToldOnce)
{
    for (const FaultCase &fault : faultTable()) {
        for (const int offset : { 0, 6, 40, 400 }) {
            BOOST_TEST_CONTEXT(fault.name << " " << offset << " ms after the eviction was asked for")
            {
                tellStory(fault, faultTable().front(), Milliseconds(offset), 1 + static_cast<std::uint64_t>(offset));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(twoFaultsAtOnceStillTellOneStory)
{
    const std::vector<FaultCase> &faults = faultTable();
    for (std::size_t first = 1; first < faults.size(); ++first) {
        for (std::size_t second = first + 1; second < faults.size(); ++second) {
            BOOST_TEST_CONTEXT(faults.at(first).name << " with " << faults.at(second).name)
            {
                tellStory(faults.at(first), faults.at(second), Milliseconds(12), 100 * first + second);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(anEvictionNamesItsCauseAndBothOwners)
{
    // Over some keys, so that the two tasks' records lie in one shard and in two.
    for (int index = 0; index < 8; ++index) {
        const auto cluster = servingCluster(static_cast<std::uint64_t>(index) + 1);
        const HostId host = cluster->hosts().at(1);
        const SubmitTask watcher = watcherTask("watcher" + std::to_string(index));
        const TaskId other = makeTaskId(watcher.owner, watcher.key);
        cluster->ask(host, watcher);
        cluster->ask(host, batchTask("victim", Milliseconds(3000)));
        waitRunning(*cluster, victim);
        const nlohmann::json before = cluster->askJson(host, ReadTask { victim });
        BOOST_TEST(
            (cluster->ask(host, EvictTask { victim, TaskId("none"), "latency", {} }).code == ReplyCode::Invalid));
        BOOST_TEST((cluster->ask(host, EvictTask { victim, other, "latency", {} }).code == ReplyCode::Ok));
        const nlohmann::json account = settledAccount(*cluster, victim);
        BOOST_TEST(account.at("owner") == "alpha");
        int evictions = 0;
        for (const nlohmann::json &entry : account.at("entries")) {
            const nlohmann::json &record = entry.at("record");
            if (record.contains("cause")) {
                ++evictions;
                BOOST_TEST(record.at("cause") == "latency");
                BOOST_TEST(record.at("onBehalfOf") == other.value());
                BOOST_TEST(record.at("onBehalfOfOwner") == "beta");
                BOOST_TEST(record.at("worker") == before.at("worker"));
                BOOST_TEST(!entry.at("writer").get<std::string>().empty());
            }
        }
        BOOST_TEST(evictions == 1);
        checkNoViolations(*cluster);
    }
}

BOOST_AUTO_TEST_SUITE_END()

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
        { "draining", "", [](VirtualCluster &c) { c.stopHost(c.hosts().at(1)); }, Milliseconds(60'000),
          ReplyCode::NotRun, "draining" },
        { "outage", "",
          [](VirtualCluster &c) {
              c.throwFault({ { "fault", "outage" }, { "on", true } });
              c.run(Milliseconds(3000));
          },
          Milliseconds(60'000), ReplyCode::NotRun, "store-unavailable" },
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
            if (row.code == ReplyCode::NotRun) {
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
