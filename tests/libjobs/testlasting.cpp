#include "jobevents.h"
#include "virtualjobs.h"
#include "virtualsite.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startTime { 1500 };
constexpr Milliseconds step { 10 };
/** A lasting task has to run again this long after its last run, where a worker has room for it. */
constexpr Milliseconds restartLimit { 6000 };
constexpr std::uint64_t seeds = 10;

std::vector<TaskRef> tasksOf(const JobSpec &job)
{
    std::vector<TaskRef> tasks;
    for (std::uint32_t index = 0; index < job.steps.front().count; ++index) {
        tasks.push_back({ { job.id, 0, 0 }, index });
    }
    return tasks;
}

std::size_t countRunning(VirtualSite &site, const std::vector<TaskRef> &tasks)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(tasks, [&site](const TaskRef &task) { return site.isRunning(task); }));
}

std::size_t countOn(VirtualSite &site, const WorkerId &worker, const std::vector<TaskRef> &tasks)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(tasks, [&site, &worker](const TaskRef &task) { return site.worker(worker).runs(task); }));
}

/** The worker that runs most of @p tasks. */
WorkerId busiestWorker(VirtualSite &site, const std::vector<TaskRef> &tasks)
{
    const std::vector<WorkerId> workers = site.workers();
    return *std::ranges::max_element(workers, {}, [&](const WorkerId &worker) { return countOn(site, worker, tasks); });
}

/** Starts the site with a lasting job whose tasks all run, and returns the tasks. */
std::vector<TaskRef> startLastingJob(VirtualSite &site, const JobSpec &job)
{
    site.run(startTime);
    BOOST_REQUIRE(site.submit(job));
    std::vector<TaskRef> tasks = tasksOf(job);
    BOOST_REQUIRE(
        site.runUntil([&site, &tasks] { return countRunning(site, tasks) == tasks.size(); }, Milliseconds(3000)));
    site.run(Milliseconds(2000));
    return tasks;
}

/** Time until all @p tasks run; more than the limit when they still don't. */
Milliseconds timeUntilAllRun(VirtualSite &site, const std::vector<TaskRef> &tasks)
{
    constexpr Milliseconds limit { 20'000 };
    const TimePoint from = site.now();
    site.runUntil([&site, &tasks] { return countRunning(site, tasks) == tasks.size(); }, limit);
    return site.now() - from;
}

HostId otherThan(const VirtualSite &site, const HostId &host)
{
    return site.hosts().front() == host ? site.hosts().back() : site.hosts().front();
}

/**
 * Cuts the writer, which then is the only one to reach @p worker, from the store and the other hosts; returns the host
 * that replaces it. The former writer goes on to extend the worker's lease for a while.
 */
HostId replaceWriterThatReachesAlone(VirtualSite &site, const WorkerId &worker)
{
    const HostId first = site.writer().value();
    for (const HostId &host : site.hosts()) {
        site.partitionWorker(host, worker, host != first);
        site.partitionHosts(host, first, host != first);
    }
    site.setStoreFault(first, StoreFault::Silent);
    const auto successor = [&site, &first] {
        const std::vector<HostId> hosts = site.hosts();
        const auto found = std::ranges::find_if(
            hosts, [&site, &first](const HostId &host) { return host != first && site.isWriter(host); });
        return found == hosts.end() ? std::optional<HostId>() : *found;
    };
    BOOST_REQUIRE(site.runUntil([&successor] { return successor().has_value(); }, Milliseconds(5000)));
    return *successor();
}

} // namespace

BOOST_AUTO_TEST_SUITE(LastingTasks)

/** The former writer reached the worker up to the hand-over, and extended its lease until then. */
BOOST_AUTO_TEST_CASE(restartSoonWhenTheirWorkerFailsAtAHandOver)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSite site({ .seed = seed });
        const std::vector<TaskRef> tasks = startLastingJob(site, lastingJob(seed, 4));
        site.stopHost(site.writer().value());
        site.crashWorker(busiestWorker(site, tasks), true);
        const Milliseconds away = timeUntilAllRun(site, tasks);
        BOOST_TEST((away <= restartLimit), "seed " << seed << ": away for " << away.count() << " ms");
        BOOST_TEST(site.judge().violations().empty());
    }
}

/** The former writer knew how long the silent worker's lease lasts; it had not been extended for some time. */
BOOST_AUTO_TEST_CASE(restartSoonWhenTheirWorkerWasSilentBeforeAHandOver)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSite site({ .seed = seed });
        const std::vector<TaskRef> tasks = startLastingJob(site, lastingJob(seed, 4));
        site.crashWorker(busiestWorker(site, tasks), true);
        const TimePoint goneAt = site.now();
        site.run(Milliseconds(3000));
        site.stopHost(site.writer().value());
        timeUntilAllRun(site, tasks);
        const Milliseconds away = site.now() - goneAt;
        BOOST_TEST((away <= restartLimit), "seed " << seed << ": away for " << away.count() << " ms");
        BOOST_TEST(site.judge().violations().empty());
    }
}

/** A killed writer extends no lease; the next process on its host shows that it is over, whoever claims the shard. */
BOOST_AUTO_TEST_CASE(restartSoonWhenTheWriterIsKilledAndItsHostIsBack)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSite site({ .seed = seed });
        const std::vector<TaskRef> tasks = startLastingJob(site, lastingJob(seed, 4));
        const HostId writer = site.writer().value();
        site.crashWorker(busiestWorker(site, tasks), true);
        site.killHost(writer);
        const TimePoint goneAt = site.now();
        if (seed % 2 == 0) {
            BOOST_TEST(site.runUntil([&site] { return site.writer().has_value(); }, Milliseconds(4000)));
        } else {
            site.run(Milliseconds(500));
        }
        site.restartHost(writer);
        timeUntilAllRun(site, tasks);
        const Milliseconds away = site.now() - goneAt;
        // The next process starts up to 1.2 s after the end of the former one.
        BOOST_TEST((away <= restartLimit), "seed " << seed << ": away for " << away.count() << " ms");
        BOOST_TEST(site.judge().violations().empty());
    }
}

/** The worker lives and runs on, cut from the next writer only: nothing of it may start elsewhere before its lease. */
BOOST_AUTO_TEST_CASE(runOnceWhenOnlyTheNextWriterIsCutFromTheirWorker)
{
    for (const bool isKilled : { false, true }) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            VirtualSite site({ .seed = seed, .hosts = 2 });
            const std::vector<TaskRef> tasks = startLastingJob(site, lastingJob(seed, 4));
            const HostId writer = site.writer().value();
            const WorkerId worker = busiestWorker(site, tasks);
            site.partitionWorker(otherThan(site, writer), worker, true);
            if (isKilled) {
                site.killHost(writer);
                site.run(Milliseconds(1500));
                site.restartHost(writer);
            } else {
                site.stopHost(writer);
            }
            BOOST_TEST(timeUntilAllRun(site, tasks).count() < 20'000);
            site.run(Milliseconds(12'000));
            BOOST_TEST(countRunning(site, tasks) == tasks.size());
            for (const std::string &violation : site.judge().violations()) {
                BOOST_ERROR("seed " << seed << (isKilled ? " killed: " : " stopped: ") << violation);
            }
        }
    }
}

/** The former writer names what is left of the silent worker's lease; the worker runs on until that is over. */
BOOST_AUTO_TEST_CASE(runOnceWhenTheirWorkerWasCutOffBeforeAHandOver)
{
    for (Milliseconds before(500); before <= Milliseconds(4000); before += Milliseconds(500)) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            VirtualSite site({ .seed = seed });
            const std::vector<TaskRef> tasks = startLastingJob(site, lastingJob(seed, 4));
            const WorkerId worker = busiestWorker(site, tasks);
            site.isolateWorker(worker, true);
            site.run(before);
            site.stopHost(site.writer().value());
            site.run(Milliseconds(10'000));
            BOOST_TEST(countRunning(site, tasks) == tasks.size());
            site.isolateWorker(worker, false);
            site.run(Milliseconds(2000));
            for (const std::string &violation : site.judge().violations()) {
                BOOST_ERROR("seed " << seed << " cut off for " << before.count() << " ms: " << violation);
            }
        }
    }
}

/** The second writer knows that leases of the first may last; the third one has to know it too. */
BOOST_AUTO_TEST_CASE(runOnceWhenTwoWritersFailInARow)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSite site({ .seed = seed });
        const std::vector<TaskRef> tasks = startLastingJob(site, lastingJob(seed, 4));
        const HostId second = replaceWriterThatReachesAlone(site, busiestWorker(site, tasks));
        site.killHost(second);
        site.run(Milliseconds(50));
        site.restartHost(second);
        site.run(Milliseconds(14'000));
        for (const std::string &violation : site.judge().violations()) {
            BOOST_ERROR("seed " << seed << ": " << violation);
        }
    }
}

/** A heartbeat that an earlier process sent to an earlier writer says nothing about the former writer. */
BOOST_AUTO_TEST_CASE(runOnceWhenAnOldHeartbeatArrives)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSite site({ .seed = seed });
        const std::vector<TaskRef> tasks = startLastingJob(site, lastingJob(seed, 4));
        const HostId first = site.writer().value();
        const HostId second = replaceWriterThatReachesAlone(site, busiestWorker(site, tasks));
        HostHeartbeat old;
        old.uptime = Milliseconds(30'000);
        old.nonce = 1'000'000;
        old.writer = WriterToken(1);
        site.deliverMessage(second, first, old);
        site.run(Milliseconds(14'000));
        for (const std::string &violation : site.judge().violations()) {
            BOOST_ERROR("seed " << seed << ": " << violation);
        }
    }
}

/** A writer that was paused goes on to extend leases with a permission that has run out. */
BOOST_AUTO_TEST_CASE(runOnceWhenAPausedWriterWakes)
{
    for (Milliseconds pause(500); pause <= Milliseconds(9000); pause += Milliseconds(500)) {
        VirtualSite site({ .seed = static_cast<std::uint64_t>(pause.count()) });
        const std::vector<TaskRef> tasks = startLastingJob(site, lastingJob(1, 4));
        const HostId writer = site.writer().value();
        const WorkerId worker = busiestWorker(site, tasks);
        for (const HostId &host : site.hosts()) {
            site.partitionWorker(host, worker, host != writer);
        }
        site.pauseHost(writer);
        site.run(pause);
        site.setStoreFault(writer, StoreFault::Silent);
        site.resumeHost(writer);
        site.run(Milliseconds(14'000));
        for (const std::string &violation : site.judge().violations()) {
            BOOST_ERROR("paused for " << pause.count() << " ms: " << violation);
        }
    }
}

/** Lasting tasks leave a draining worker while it still runs them, few of a step at a time. */
BOOST_AUTO_TEST_CASE(leaveADrainingWorkerInWaves)
{
    constexpr Milliseconds remaining { 8000 };
    for (const std::uint32_t mayMiss : { 1U, 2U }) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            VirtualSite site({ .seed = seed });
            JobSpec job = lastingJob(seed, 6);
            job.steps.front().mayMiss = mayMiss;
            const std::vector<TaskRef> tasks = startLastingJob(site, job);
            const WorkerId worker = busiestWorker(site, tasks);
            BOOST_TEST(countOn(site, worker, tasks) > mayMiss);
            site.drainWorker(worker, remaining);
            const TimePoint leavesAt = site.now() + remaining;
            std::size_t fewest = tasks.size();
            while (site.now() < leavesAt) {
                site.run(step);
                fewest = std::min(fewest, countRunning(site, tasks));
            }
            BOOST_TEST(countOn(site, worker, tasks) == 0U, "seed " << seed << " mayMiss " << mayMiss);
            BOOST_TEST(fewest + mayMiss >= tasks.size(),
                       "seed " << seed << ": " << tasks.size() - fewest << " of a step away, allowed " << mayMiss);
            BOOST_TEST(countRunning(site, tasks) == tasks.size());
        }
    }
}

/** Of two draining workers, the tasks of the one that leaves first go first. */
BOOST_AUTO_TEST_CASE(leaveTheWorkerThatLeavesFirst)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSite site({ .seed = seed, .workers = 3 });
        JobSpec job = lastingJob(seed, 8);
        job.steps.front().mayMiss = 1;
        job.steps.front().spreadLimit = 4;
        const std::vector<TaskRef> tasks = startLastingJob(site, job);
        std::vector<WorkerId> leaving;
        for (const WorkerId &worker : site.workers()) {
            if (countOn(site, worker, tasks) > 0 && leaving.size() < 2) {
                leaving.push_back(worker);
            }
        }
        BOOST_REQUIRE(leaving.size() == 2);
        std::ranges::reverse(leaving);
        site.drainWorker(leaving.front(), Milliseconds(6000));
        site.drainWorker(leaving.back(), Milliseconds(8000));
        const std::size_t before = countOn(site, leaving.back(), tasks);
        BOOST_TEST(site.runUntil([&] { return countOn(site, leaving.front(), tasks) == 0; }, Milliseconds(6000)),
                   "seed " << seed);
        BOOST_TEST(countOn(site, leaving.back(), tasks) == before, "seed " << seed);
    }
}

/** Where there is time, the tasks stay for a while, as no other task may use what they use there. */
BOOST_AUTO_TEST_CASE(stayOnAWorkerThatLeavesLate)
{
    VirtualSite site({});
    const std::vector<TaskRef> tasks = startLastingJob(site, lastingJob(1, 4));
    const WorkerId worker = busiestWorker(site, tasks);
    const std::size_t before = countOn(site, worker, tasks);
    site.drainWorker(worker, Milliseconds(20'000));
    site.run(Milliseconds(15'000));
    BOOST_TEST(countOn(site, worker, tasks) == before);
    site.run(Milliseconds(5000));
    BOOST_TEST(countOn(site, worker, tasks) == 0U);
    BOOST_TEST(countRunning(site, tasks) == tasks.size());
}

/** A worker that is about to leave ends its tasks anyway, so the last of them move together. */
BOOST_AUTO_TEST_CASE(leaveAWorkerThatLeavesSoonAtOnce)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VirtualSite site({ .seed = seed });
        JobSpec job = lastingJob(seed, 4);
        job.steps.front().mayMiss = 1;
        const std::vector<TaskRef> tasks = startLastingJob(site, job);
        const WorkerId worker = busiestWorker(site, tasks);
        site.drainWorker(worker, Milliseconds(2200));
        site.run(Milliseconds(2200));
        BOOST_TEST(countOn(site, worker, tasks) == 0U, "seed " << seed);
        site.crashWorker(worker, true);
        const Milliseconds away = timeUntilAllRun(site, tasks);
        BOOST_TEST(away.count() < 1000, "seed " << seed << ": away for " << away.count() << " ms");
    }
}

BOOST_AUTO_TEST_SUITE_END()
