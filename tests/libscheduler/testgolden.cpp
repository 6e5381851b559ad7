#include "faulttable.h"

#include <algorithm>
#include <fstream>
#include <string_view>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

const std::string goldenFile = CURRANTRING_GOLDEN "/session.txt";

/** Whether the program was called as `test-libscheduler -- --bless`, which rewrites the file. */
bool isBlessing()
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    for (int index = 1; index < suite.argc; ++index) {
        if (std::string_view(suite.argv[index]) == "--bless") {
            return true;
        }
    }
    return false;
}

/** One session with every kind of work, on two hosts and three workers. */
std::vector<std::string> playSession()
{
    VirtualClusterOptions options;
    options.seed = 11;
    options.hosts = 2;
    options.workers = 3;
    options.configuration = testConfiguration(2);
    VirtualCluster cluster(options);
    cluster.recordTranscript(true);
    cluster.runUntil([&] { return cluster.allServing(); }, Milliseconds(10'000));
    cluster.run(Milliseconds(12'000));
    const HostId first = cluster.hosts().at(0);
    const HostId second = cluster.hosts().at(1);
    cluster.ask(first, serviceCall("request-1", false));

    const SubmitTask batch = batchTask("job-1", Milliseconds(700));
    const SubmitTask watcher = watcherTask("watch-1");
    const TaskId batchId = makeTaskId(batch.owner, batch.key);
    const TaskId watcherId = makeTaskId(watcher.owner, watcher.key);
    cluster.ask(first, batch);
    cluster.ask(second, batch);
    cluster.ask(second, watcher);
    waitRunning(cluster, watcherId);
    cluster.ask(first, EvictTask { watcherId, batchId, "latency", {} });
    cluster.run(Milliseconds(1000));
    waitRunning(cluster, watcherId);
    cluster.ask(first, CancelTask { watcherId, "no longer wanted" });
    cluster.run(Milliseconds(1000));
    cluster.ask(first, ReadAccount { watcherId });
    cluster.ask(second, ReadAccount { batchId });

    const std::string changed = testConfiguration(2) + "# changed\n";
    cluster.ask(second, ApplyConfiguration { ChangeId("change-1"), "operator", ConfigurationVersion(1), changed });
    cluster.run(Milliseconds(1000));
    cluster.stopHost(first);
    cluster.run(Milliseconds(3000));
    cluster.ask(second, ReadTask { batchId });
    checkNoViolations(cluster);
    return cluster.transcript();
}

std::vector<std::string> readLines(const std::string &path)
{
    std::vector<std::string> lines;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Golden)

BOOST_AUTO_TEST_CASE(aWholeSessionIsAsRecorded)
{
    const std::vector<std::string> played = playSession();
    if (isBlessing()) {
        std::ofstream file(goldenFile);
        for (const std::string &line : played) {
            file << line << '\n';
        }
        BOOST_REQUIRE(file.flush().good());
        return;
    }
    const std::vector<std::string> wanted = readLines(goldenFile);
    for (std::size_t index = 0; index < std::min(wanted.size(), played.size()); ++index) {
        BOOST_REQUIRE_MESSAGE(wanted.at(index) == played.at(index),
                              goldenFile << ":" << index + 1 << " says\n  " << wanted.at(index) << "\nbut seen was\n  "
                                         << played.at(index));
    }
    BOOST_TEST(wanted.size() == played.size());
}

BOOST_AUTO_TEST_SUITE_END()
