#include "taskcase.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

/** Past the task lease of 4 s and the clock error; a silent worker is given up. */
constexpr Milliseconds pastLease(8000);
/** Past the outage term of 60 s too, for which a successor waits when it never reached a worker. */
constexpr Milliseconds pastOutageTerm(75'000);
constexpr int crowd = 60;

struct Totals
{
    std::size_t cases = 0;
    std::size_t struck = 0;
    std::size_t resumes = 0;
};

void runRow(const TaskCase &row, Totals &totals)
{
    const TaskCaseResult result = runTaskCase(row);
    ++totals.cases;
    totals.struck += result.struck ? 1 : 0;
    totals.resumes += result.resumes;
    for (const std::string &problem : result.problems) {
        BOOST_ERROR(row.name << ", shards " << row.shards << ", seed " << row.seed << ": " << problem);
    }
}

/** Runs each row with one shard and with four, under the seeds 1 to @p seeds; every row must meet its step. */
void runTable(const std::vector<TaskCase> &table, std::uint64_t seeds)
{
    Totals totals;
    for (TaskCase row : table) {
        const std::size_t struckBefore = totals.struck;
        for (row.seed = 1; row.seed <= seeds; ++row.seed) {
            for (const std::uint32_t shards : { 1U, 4U }) {
                row.shards = shards;
                runRow(row, totals);
            }
        }
        BOOST_TEST(totals.struck > struckBefore, row.name << ": the step was never met");
    }
    BOOST_TEST_MESSAGE("fault cases=" << totals.cases << " struck=" << totals.struck << " resumes=" << totals.resumes);
}

TaskCase makeCase(const std::string &step, const std::vector<std::string> &faults)
{
    TaskCase row;
    row.step = step;
    row.faults = faults;
    for (const std::string &fault : faults) {
        row.name += fault + ", ";
    }
    row.name += "at " + step;
    return row;
}

std::vector<TaskCase> makeTable(const std::vector<std::string> &steps,
                                const std::vector<std::vector<std::string>> &faults, Milliseconds hold)
{
    std::vector<TaskCase> table;
    for (const std::string &step : steps) {
        for (const std::vector<std::string> &together : faults) {
            table.push_back(makeCase(step, together));
            table.back().hold = hold;
        }
    }
    return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TasksNoOvercommit, *boost::unit_test::label("promise-no-overcommit"))

BOOST_AUTO_TEST_CASE(crowdUnderFaults)
{
    std::vector<TaskCase> table = makeTable({ "submitted", "start command" },
                                            { {},
                                              { "writer killed" },
                                              { "writer paused" },
                                              { "writer cut from store", "writer cut from peers" },
                                              { "worker frozen" },
                                              { "store reply lost", "worker reply lost" } },
                                            pastLease);
    for (TaskCase &row : table) {
        row.crowd = crowd;
    }
    runTable(table, 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TasksOnePlace, *boost::unit_test::label("promise-one-place"))

BOOST_AUTO_TEST_CASE(startsAndSilence)
{
    const std::vector<std::string> steps { "attempt-placed", "start command", "attempt-started" };
    runTable(makeTable(steps,
                       { { "worker reply lost" },
                         { "worker frozen" },
                         { "writer paused" },
                         { "writer paused", "worker frozen" },
                         { "writer cut from store", "writer cut from peers" } },
                       pastLease),
             3);
}

BOOST_AUTO_TEST_CASE(formerWriterAloneReachesTheWorker)
{
    const std::vector<std::string> steps { "attempt-placed", "start command", "attempt-started" };
    const std::vector<std::vector<std::string>> faults {
        { "writer cut from store", "writer cut from peers", "others cut from workers" },
        { "writer paused", "others cut from workers" },
        { "writer killed", "others cut from workers" },
        { "writer's side cut off", "others cut from workers" },
    };
    runTable(makeTable(steps, faults, pastLease), 2);
    runTable(makeTable(steps, faults, pastOutageTerm), 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TasksResumeOnce, *boost::unit_test::label("promise-resume-once"))

BOOST_AUTO_TEST_CASE(everyStepOfAnEviction)
{
    const std::vector<std::string> steps { "before eviction", "eviction-requested", "checkpoint command",
                                           "attempt-ended",   "placed again",       "resume command" };
    runTable(makeTable(steps,
                       { { "store reply lost" },
                         { "worker reply lost" },
                         { "store outage" },
                         { "writer killed" },
                         { "store outage", "writer killed" },
                         { "store reply lost", "writer killed" },
                         { "store reply lost", "worker reply lost" },
                         { "writer paused", "worker reply lost" } },
                       Milliseconds(3000)),
             3);
}

BOOST_AUTO_TEST_SUITE_END()

/** The product of faults and steps; it holds the accounts against the workers, as the suites above do. */
BOOST_AUTO_TEST_SUITE(TasksProduct, *boost::unit_test::label("promise-one-place"))

BOOST_AUTO_TEST_CASE(singles)
{
    std::vector<std::vector<std::string>> faults;
    for (const std::string &fault : taskFaults()) {
        faults.push_back({ fault });
    }
    runTable(makeTable(taskSteps(), faults, Milliseconds(6000)), 1);
}

BOOST_AUTO_TEST_CASE(pairs)
{
    const std::vector<std::string> names = taskFaults();
    std::vector<std::vector<std::string>> faults;
    for (auto first = names.begin(); first != names.end(); ++first) {
        for (auto second = first + 1; second != names.end(); ++second) {
            faults.push_back({ *first, *second });
        }
    }
    Totals totals;
    for (TaskCase row : makeTable(taskSteps(), faults, Milliseconds(6000))) {
        row.shards = row.step == "moved-out" || totals.cases % 2 == 0 ? 4 : 1;
        row.seed = 1 + totals.cases;
        runRow(row, totals);
    }
    BOOST_TEST_MESSAGE("fault cases=" << totals.cases << " struck=" << totals.struck << " resumes=" << totals.resumes);
}

BOOST_AUTO_TEST_SUITE_END()
