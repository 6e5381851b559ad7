#include "environmentnumber.h"
#include "jobevents.h"
#include "virtualclients.h"
#include "virtualjobs.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startTime { 1500 };
constexpr Milliseconds finishTime { 40'000 };
/** More occurrences than are stored in full, so that those that are over are forgotten. */
constexpr std::uint32_t manyOccurrences = 120;
constexpr Milliseconds hour { 3'600'000 };
constexpr Millicores wholeWorker { 8000 };

/** Job whose first occurrence runs one task on each of two workers, of which copies may run. */
JobSpec copiedOccurrences(const VirtualSite &site, std::uint32_t occurrences)
{
    JobSpec spec = repeatedJob(1, WallTime(site.wallNow().value() + 100), hour);
    spec.schedule->repetitions = occurrences;
    spec.payload = "work=5000";
    spec.steps.resize(1);
    spec.steps.front().count = 2;
    spec.steps.front().mayRunCopies = true;
    spec.steps.front().need.processors = wholeWorker;
    return spec;
}

/** Urgent job that takes all other workers, and of which tasks wait for more. */
JobSpec crowd(std::uint64_t number, Milliseconds work)
{
    JobSpec spec = batchJob(number, 1, 20, work, wholeWorker);
    spec.queue = QueueName("urgent");
    return spec;
}

void requireNoViolation(VirtualSite &site, const std::string &name)
{
    for (const std::string &violation : site.judge().violations()) {
        BOOST_ERROR(name << ": " << violation);
    }
}

std::vector<WorkerId> workersOf(VirtualSite &site, const JobSpec &job)
{
    std::vector<WorkerId> found;
    for (const WorkerId &worker : site.workers()) {
        for (std::uint32_t index = 0; index < job.steps.front().count; ++index) {
            if (site.worker(worker).runs({ { job.id, 0, 0 }, index })) {
                found.push_back(worker);
            }
        }
    }
    return found;
}

/** How the tasks and jobs of a site come to their ends; each leaves something that was kept for them. */
struct SettlingCase
{
    const char *name;
    std::function<void(VirtualSite &site)> play;
};

void submitAndRun(VirtualSite &site, const JobSpec &job, Milliseconds duration)
{
    BOOST_REQUIRE(site.submit(job));
    site.run(duration);
}

void cutWorkersOf(VirtualSite &site, const JobSpec &job, Milliseconds duration)
{
    const std::vector<WorkerId> workers = workersOf(site, job);
    for (const WorkerId &worker : workers) {
        site.isolateWorker(worker, true);
    }
    site.run(duration);
    for (const WorkerId &worker : workers) {
        site.isolateWorker(worker, false);
    }
}

JobSpec longCopiedJob()
{
    JobSpec job = copiedJob(1, 4);
    job.payload = "work=5000";
    return job;
}

const std::vector<SettlingCase> &settlingCases()
{
    static const std::vector<SettlingCase> cases {
        { "done by its run, while a copy waits",
          [](VirtualSite &site) {
              const JobSpec job = longCopiedJob();
              submitAndRun(site, job, Milliseconds(500));
              BOOST_REQUIRE(site.submit(crowd(2, Milliseconds(6000))));
              cutWorkersOf(site, job, Milliseconds(3000));
          } },
        { "done by its copy, while the first run goes on",
          [](VirtualSite &site) {
              const JobSpec job = longCopiedJob();
              submitAndRun(site, job, Milliseconds(500));
              cutWorkersOf(site, job, Milliseconds(4000));
          } },
        { "done by a copy, after the worker's lease",
          [](VirtualSite &site) {
              const JobSpec job = longCopiedJob();
              submitAndRun(site, job, Milliseconds(500));
              cutWorkersOf(site, job, Milliseconds(9000));
          } },
        { "cancelled",
          [](VirtualSite &site) {
              const JobSpec job = longCopiedJob();
              submitAndRun(site, job, Milliseconds(500));
              cutWorkersOf(site, job, Milliseconds(3000));
              site.send(site.hosts().front(), CancelJob { job.id });
          } },
        { "cancelled while it waits for tickets",
          [](VirtualSite &site) {
              const JobSpec job = admittedJob(1, 30);
              submitAndRun(site, job, Milliseconds(30));
              site.send(site.hosts().front(), CancelJob { job.id });
          } },
        { "failed",
          [](VirtualSite &site) {
              submitAndRun(site, withPayload(longCopiedJob(), "fail=9"), Milliseconds(3000));
          } },
        { "failed while a copy waits",
          [](VirtualSite &site) {
              const JobSpec job = withPayload(longCopiedJob(), "fail=9");
              submitAndRun(site, job, Milliseconds(500));
              BOOST_REQUIRE(site.submit(crowd(2, Milliseconds(6000))));
              cutWorkersOf(site, job, Milliseconds(3000));
          } },
        { "done at a takeover",
          [](VirtualSite &site) {
              const JobSpec job = longCopiedJob();
              submitAndRun(site, job, Milliseconds(2300));
              site.killHost(site.writer().value());
          } },
        { "gang of which a member was lost",
          [](VirtualSite &site) {
              const JobSpec job = withPayload(gangJob(1, 6), "work=5000");
              submitAndRun(site, job, Milliseconds(500));
              site.crashWorker(workersOf(site, job).front(), true);
          } },
        { "done with tickets",
          [](VirtualSite &site) {
              submitAndRun(site, admittedJob(1, 6), Milliseconds(3000));
          } },
        { "starts refused and unanswered",
          [](VirtualSite &site) {
              site.applyOrdersLate(0.5);
              site.loseOrderAnswers(0.3);
              submitAndRun(site, longCopiedJob(), Milliseconds(3000));
              site.applyOrdersLate(0);
              site.loseOrderAnswers(0);
          } },
        { "occurrences forgotten",
          [](VirtualSite &site) {
              JobSpec job = copiedOccurrences(site, manyOccurrences);
              job.schedule->interval = Milliseconds(100);
              job.payload = "work=100";
              submitAndRun(site, job, Milliseconds(1000));
              cutWorkersOf(site, job, Milliseconds(3000));
          } },
    };
    return cases;
}

constexpr Milliseconds randomTime { 10'000 };

/** Cuts off random workers, for less or longer than their leases. */
void cutAtRandom(VirtualSite &site, std::uint64_t seed)
{
    Random random(seed);
    const auto between = [&random](std::uint64_t low, std::uint64_t high) {
        return Milliseconds(static_cast<std::int64_t>(low + uniformBelow(random, high - low)));
    };
    for (Milliseconds at = between(200, 2000); at < randomTime; at += between(300, 2000)) {
        const WorkerId worker = site.workers().at(uniformBelow(random, site.workers().size()));
        site.after(at, [&site, worker] { site.isolateWorker(worker, true); });
        site.after(at + between(300, 7000), [&site, worker] { site.isolateWorker(worker, false); });
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Settled)

/** A copy that waited for room outlived its task; the writer ended when the occurrence was forgotten, and the next too.
 */
BOOST_AUTO_TEST_CASE(waitingCopiesOfDoneTasksAreWithdrawn)
{
    for (const std::uint32_t occurrences : { 1U, 100U, manyOccurrences }) {
        const std::string name = std::to_string(occurrences) + " occurrences";
        VirtualSite site({});
        site.run(startTime);
        const JobSpec job = copiedOccurrences(site, occurrences);
        submitAndRun(site, job, Milliseconds(500));
        submitAndRun(site, crowd(2, Milliseconds(8000)), Milliseconds(500));
        cutWorkersOf(site, job, Milliseconds(3000));
        site.run(finishTime);
        BOOST_TEST(site.logCount(events::runCopied) == 2U, name << ": the copies were wanted");
        BOOST_TEST(site.logCount(events::shardActive) == 1U, name);
        BOOST_TEST(site.logCount(events::runPlaced) == site.judge().starts(),
                   name << ": each placement leads to a start");
        BOOST_TEST(site.judge().startsOf({ { job.id, 0, 0 }, 0 }) == 1U, name);
        requireNoViolation(site, name);
    }
}

/** Whatever is kept for a task, a step or a job leaves with it. */
BOOST_AUTO_TEST_CASE(nothingIsKeptForWhatIsOver)
{
    for (const SettlingCase &row : settlingCases()) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            const std::string name = std::string(row.name) + ", seed " + std::to_string(seed);
            VirtualSite site({ .seed = seed });
            site.run(startTime);
            row.play(site);
            site.run(finishTime);
            BOOST_TEST(site.trackedWork().value_or(1000) == 0U, name);
            const std::size_t placed = site.logCount(events::runPlaced);
            const std::size_t starts = site.judge().starts();
            site.run(Milliseconds(5000));
            BOOST_TEST(site.logCount(events::runPlaced) == placed, name);
            BOOST_TEST(site.judge().starts() == starts, name);
            requireNoViolation(site, name);
        }
    }
}

/**
 * Copies, occurrences that are forgotten, gangs, tickets, failures and cancellations, while workers are cut off at
 * random for less or longer than their leases. CURRANTRING_SEED and CURRANTRING_SCHEDULES set the first seed and their
 * number.
 */
BOOST_AUTO_TEST_CASE(randomPlaysLeaveNothing)
{
    const std::uint64_t first = numberFromEnvironment("CURRANTRING_SEED", 1);
    const std::uint64_t count = numberFromEnvironment("CURRANTRING_SCHEDULES", 12);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        VirtualSite site({ .seed = seed, .workers = 8 });
        VirtualClients clients(site, seed);
        site.run(startTime);
        clients.submitSpecialJobs(24, randomTime);
        cutAtRandom(site, seed);
        site.run(randomTime);
        clients.finish(2 * finishTime);
        site.run(Milliseconds(8000));
        const std::string name = "seed " + std::to_string(seed);
        BOOST_TEST(site.trackedWork().value_or(1000) == 0U, name);
        requireNoViolation(site, name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
