#include "virtualjobs.h"
#include "virtualsite.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startTime { 1500 };
constexpr Milliseconds step { 10 };
/** A lasting task has to run again this long after its last run, where a worker has room for it, with 3 s of room. */
constexpr Milliseconds restartLimit { 9000 };
constexpr std::uint64_t seeds = 4;
constexpr Milliseconds submissionInterval { 40 };
constexpr Milliseconds submissionTime { 6000 };
/** Longer than any lease, and than the limit. */
constexpr Milliseconds watchTime { 12'000 };

/** What happens to a worker that loses its power. */
struct WorkerFate
{
    std::string name;
    /** How long the worker is without power; zero when it doesn't return. */
    Milliseconds withoutPower {};
    /** How long the worker then can be reached; zero when it stays. */
    Milliseconds reached {};
    /** Whether it runs on, cut off, after that; otherwise it is lost for good. */
    bool isCutOff = false;
    /** Whether it is slow after its return, so that answers to orders don't come before it is disturbed again. */
    bool isSlow = false;
};

const std::vector<WorkerFate> &workerFates()
{
    static const std::vector<WorkerFate> fates {
        { "lost", {}, {}, false, false },
        { "lost and back", Milliseconds(600), {}, false, false },
        { "slowly back for a moment and cut off", Milliseconds(300), Milliseconds(150), true, true },
        { "slowly back and cut off", Milliseconds(300), Milliseconds(350), true, true },
        { "back for a moment and cut off", Milliseconds(300), Milliseconds(150), true, false },
        { "back and cut off", Milliseconds(600), Milliseconds(350), true, false },
        { "back for long and cut off", Milliseconds(600), Milliseconds(900), true, false },
        { "back for a moment and lost", Milliseconds(300), Milliseconds(150), false, false },
        { "back and lost", Milliseconds(600), Milliseconds(600), false, false },
        { "back for long and lost", Milliseconds(600), Milliseconds(2500), false, false },
    };
    return fates;
}

/** What happens to the writer after the worker's last change. */
enum class WriterFate { Stays, IsKilled, HandsOver };

std::string nameOf(WriterFate fate)
{
    return fate == WriterFate::Stays ? "writer stays" : fate == WriterFate::IsKilled ? "writer killed" : "handed over";
}

void submitRegularly(VirtualSite &site)
{
    std::uint64_t number = 100;
    for (Milliseconds delay {}; delay < submissionTime; delay += submissionInterval) {
        site.after(delay, [&site, job = ++number] {
            JobSpec spec = batchJob(job, 1, 1, Milliseconds(8000));
            spec.steps.front().need = { Millicores(50), Mebibytes(16), AcceleratorCount(0) };
            site.send(site.hosts().back(), SubmitJob { std::make_shared<const JobSpec>(spec) });
        });
    }
}

bool doAllRun(VirtualSite &site, const JobSpec &job)
{
    for (std::uint32_t index = 0; index < job.steps.front().count; ++index) {
        if (!site.isRunning({ { job.id, 0, 0 }, index })) {
            return false;
        }
    }
    return true;
}

/** The worker that runs most; the writer packs tasks, so that it starts more there. */
WorkerId busiestWorker(VirtualSite &site)
{
    const std::vector<WorkerId> workers = site.workers();
    return *std::ranges::max_element(workers, {},
                                     [&site](const WorkerId &worker) { return site.worker(worker).runningCount(); });
}

void disturbWorker(VirtualSite &site, const WorkerFate &fate)
{
    const WorkerId disturbed = busiestWorker(site);
    site.crashWorker(disturbed, true);
    if (fate.withoutPower.count() == 0) {
        return;
    }
    site.run(fate.withoutPower);
    site.restartWorker(disturbed);
    if (fate.reached.count() == 0) {
        return;
    }
    site.loseOrderAnswers(fate.isSlow ? 1 : 0);
    site.run(fate.reached);
    site.loseOrderAnswers(0);
    if (fate.isCutOff) {
        site.isolateWorker(disturbed, true);
    } else {
        site.crashWorker(disturbed, true);
    }
}

void disturbWriter(VirtualSite &site, WriterFate fate)
{
    if (const std::optional<HostId> writer = site.writer(); writer && fate == WriterFate::IsKilled) {
        site.killHost(*writer);
        site.after(Milliseconds(1200), [&site, writer] { site.restartHost(*writer); });
    } else if (writer && fate == WriterFate::HandsOver) {
        site.stopHost(*writer);
    }
}

/** Plays one row; returns the longest time during which a lasting task hadn't been running. */
Milliseconds play(const WorkerFate &workerFate, WriterFate writerFate, std::uint64_t seed)
{
    VirtualSite site({ .seed = seed, .workers = 4 });
    site.run(startTime);
    const JobSpec lasting = lastingJob(seed, 6);
    BOOST_REQUIRE(site.submit(lasting));
    BOOST_REQUIRE(site.runUntil([&site, &lasting] { return doAllRun(site, lasting); }, Milliseconds(3000)));
    submitRegularly(site);
    site.run(Milliseconds(2000 + 37 * static_cast<std::int64_t>(seed)));
    disturbWorker(site, workerFate);
    disturbWriter(site, writerFate);
    Milliseconds away {};
    Milliseconds longest {};
    for (Milliseconds played {}; played < watchTime; played += step) {
        site.run(step);
        away = doAllRun(site, lasting) ? Milliseconds(0) : away + step;
        longest = std::max(longest, away);
    }
    for (const std::string &violation : site.judge().violations()) {
        BOOST_ERROR(workerFate.name << ", " << nameOf(writerFate) << ", seed " << seed << ": " << violation);
    }
    return longest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerLives)

/**
 * A worker that restarts under its name knows no lease and counts its clock anew. Starts that name a time on the former
 * clock let it run tasks longer than its writer knew (two runs at once); answers with the new clock let the writer
 * compare that with the former one and wait for the difference (lasting tasks that stayed away).
 */
BOOST_AUTO_TEST_CASE(tasksOfARestartedWorkerRunOnceAndAreStartedAgain)
{
    for (const WorkerFate &workerFate : workerFates()) {
        for (const WriterFate writerFate : { WriterFate::Stays, WriterFate::IsKilled, WriterFate::HandsOver }) {
            Milliseconds longest {};
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                longest = std::max(longest, play(workerFate, writerFate, seed));
            }
            BOOST_TEST_MESSAGE(workerFate.name << ", " << nameOf(writerFate) << ": started again after "
                                               << longest.count() << " ms at most");
            BOOST_TEST((longest <= restartLimit),
                       workerFate.name << ", " << nameOf(writerFate) << ": a task was away for " << longest.count()
                                       << " ms");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
