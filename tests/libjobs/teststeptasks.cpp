#include "jobrecord.h"
#include "jobtable.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr std::uint32_t width = 10'000;
const JobId id("5c0e7a21d94b36f8");

JobTable tableWithJob(bool isGang = false)
{
    JobSpec spec;
    spec.id = id;
    spec.steps.resize(1);
    spec.steps.front().count = width;
    spec.steps.front().isGang = isGang;
    JobTable table;
    BOOST_REQUIRE(table.apply(JobAccepted { std::make_shared<const JobSpec>(spec), WallTime(1) }));
    return table;
}

RunRef run(std::uint32_t index, std::uint32_t number = 1)
{
    return { { { id, 0, 0 }, index }, RunNumber(number) };
}

RunPlaced placed(std::uint32_t index, std::uint32_t number = 1)
{
    return { run(index, number), WorkerId("w"), WorkerLife(3) };
}

const StepTasks &step(const JobTable &table)
{
    return table.find(id)->occurrences.front().steps.front();
}

/** The table of a process that reads a snapshot of the job. */
JobTable reloaded(const JobTable &table)
{
    const JobSlot slot { 1, 1, { JobSnapshot { std::make_shared<const Job>(*table.find(id)) } } };
    const std::optional<JobSlot> decoded = decodeJobSlot(encodeJobSlot(slot));
    BOOST_REQUIRE(decoded.has_value());
    JobTable next;
    BOOST_REQUIRE(next.apply(decoded->records.front()));
    return next;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StepsOfTasks)

/** Guards against an object for each task that waits or is over: 15 jobs of 100,000 took 178 MB. */
BOOST_AUTO_TEST_CASE(onlyTasksUnderWayAreKept)
{
    JobTable table = tableWithJob();
    BOOST_TEST(step(table).kept().empty());
    for (std::uint32_t index = 0; index < width; ++index) {
        BOOST_TEST(!table.task(run(index).task).isDone);
        BOOST_REQUIRE(table.apply(placed(index)));
        BOOST_TEST(step(table).kept().size() == 1U);
        BOOST_REQUIRE(table.apply(RunEnded { run(index), RunEnd::Done, CheckpointId("c") }));
        BOOST_TEST(table.task(run(index).task).isDone);
        BOOST_TEST(step(table).kept().empty());
    }
    BOOST_TEST(step(table).isDone());
}

BOOST_AUTO_TEST_CASE(recordsOfSettledTasksHaveNoEffectAgain)
{
    JobTable table = tableWithJob();
    BOOST_REQUIRE(table.apply(placed(5)));
    BOOST_REQUIRE(table.apply(RunEnded { run(5), RunEnd::Done, {} }));
    JobTable next = reloaded(table);
    for (JobTable *const each : { &table, &next }) {
        BOOST_TEST(!each->apply(placed(5)));
        BOOST_TEST(!each->apply(RunEnded { run(5), RunEnd::Done, {} }));
        each->setCheckpoint(run(5).task, CheckpointId("late"));
        BOOST_TEST(step(*each).doneCount() == 1U);
        BOOST_TEST(step(*each).isSettled(5));
        BOOST_TEST(step(*each).kept().empty());
    }
}

BOOST_AUTO_TEST_CASE(snapshotsKeepWhatIsUnderWay)
{
    JobTable table = tableWithJob();
    BOOST_REQUIRE(table.apply(placed(1)));
    BOOST_REQUIRE(table.apply(RunEnded { run(1), RunEnd::Failed, CheckpointId("c") }));
    BOOST_REQUIRE(table.apply(placed(2)));
    BOOST_REQUIRE(table.apply(placed(9)));
    BOOST_REQUIRE(table.apply(RunEnded { run(9), RunEnd::Done, {} }));
    const JobTable next = reloaded(table);
    BOOST_TEST(step(next).kept().size() == 2U);
    BOOST_TEST(next.task(run(1).task).failures == 1U);
    BOOST_TEST(next.task(run(1).task).lastRun.value() == 1U);
    BOOST_TEST(next.task(run(1).task).checkpoint.value() == "c");
    BOOST_TEST(next.task(run(2).task).runs.size() == 1U);
    BOOST_TEST(next.task(run(9).task).isDone);
    BOOST_TEST(!next.task(run(0).task).isDone);
    BOOST_TEST(step(next).doneCount() == 1U);
}

/** One end with the work done stands for all members; the others' ends come later, maybe with checkpoints. */
BOOST_AUTO_TEST_CASE(gangsSettleMemberByMember)
{
    constexpr std::uint32_t members = 4;
    JobTable table = tableWithJob(true);
    for (std::uint32_t index = 0; index < members; ++index) {
        BOOST_REQUIRE(table.apply(placed(index)));
    }
    BOOST_REQUIRE(table.apply(RunEnded { run(0), RunEnd::Done, {} }));
    BOOST_TEST(step(table).isDone());
    BOOST_TEST(step(table).kept().size() == members - 1);
    for (std::uint32_t index = 1; index < members; ++index) {
        BOOST_REQUIRE(table.apply(RunEnded { run(index), RunEnd::GangEnded, CheckpointId("late") }));
    }
    BOOST_TEST(step(table).kept().empty());
    BOOST_TEST(table.find(id)->liveRuns().empty());
}

BOOST_AUTO_TEST_SUITE_END()
