#include "faulttable.h"

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
