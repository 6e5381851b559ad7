#include "jobevents.h"
#include "virtualjobs.h"
#include "virtualsite.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startTime { 1500 };
constexpr Millicores halfWorker { 4000 };

JobSpec jobOfHalves(std::uint64_t number, std::uint32_t width, Milliseconds work)
{
    return batchJob(number, 1, width, work, halfWorker);
}

WorkerId workerOf(VirtualSite &site, const TaskRef &task)
{
    const std::vector<WorkerId> workers = site.workers();
    return *std::ranges::find_if(workers,
                                 [&site, &task](const WorkerId &worker) { return site.worker(worker).runs(task); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Copies)

/** A copy may not run on the worker of its task's run; the tasks behind it in the step waited although they may. */
BOOST_AUTO_TEST_CASE(tasksAreNotHeldUpByACopyWithoutAPlace)
{
    VirtualSite site({ .workers = 2 });
    site.run(startTime);
    const JobSpec elsewhere = jobOfHalves(1, 2, Milliseconds(30'000));
    BOOST_REQUIRE(site.submit(elsewhere));
    site.run(Milliseconds(300));
    const JobSpec beside = jobOfHalves(2, 1, Milliseconds(6000));
    BOOST_REQUIRE(site.submit(beside));
    site.run(Milliseconds(300));
    JobSpec copied = jobOfHalves(3, 2, Milliseconds(20'000));
    copied.steps.front().mayRunCopies = true;
    BOOST_REQUIRE(site.submit(copied));
    site.run(Milliseconds(300));
    const TaskRef first { { copied.id, 0, 0 }, 0 };
    const TaskRef second { { copied.id, 0, 0 }, 1 };
    const WorkerId worker = workerOf(site, first);
    BOOST_REQUIRE((worker == workerOf(site, { { beside.id, 0, 0 }, 0 })));
    BOOST_REQUIRE(!site.isRunning(second));
    site.isolateWorker(worker, true);
    site.run(Milliseconds(3000));
    site.isolateWorker(worker, false);
    site.run(Milliseconds(500));
    BOOST_REQUIRE(site.logCount(events::runCopied) == 1U);
    // The worker has room once the other job's task has ended.
    BOOST_TEST(site.runUntil([&site, &second] { return site.isRunning(second); }, Milliseconds(4000)));
    BOOST_TEST(site.isRunning(first));
    BOOST_TEST(site.judge().violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
