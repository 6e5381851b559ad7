#include "admissionbatch.h"
#include "admissionline.h"
#include "admissionstatistics.h"
#include "jobevents.h"
#include "virtualjobs.h"
#include "virtualsite.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace currantring;
namespace data = boost::unit_test::data;

namespace {

constexpr Milliseconds startTime { 1500 };
constexpr Milliseconds checkInterval { 10 };
constexpr Milliseconds work { 300 };
constexpr Millicores taskProcessors { 500 };
constexpr Resources largeWorker { Millicores(32'000), Mebibytes(125'000), AcceleratorCount(0) };

JobSpec admittedStep(std::uint64_t number, std::uint32_t width, const char *queue = "admitted")
{
    JobSpec spec = withPayload(batchJob(number, 1, width, work, taskProcessors), "ticket=1");
    spec.queue = QueueName(queue);
    return spec;
}

/** A site of large idle workers, whose admission service takes 100 ms and 20 ms for each worker named. */
VirtualSiteOptions idleSite(int workers = 30)
{
    VirtualSiteOptions options;
    options.workers = workers;
    options.capacity = largeWorker;
    options.listedEnds = platformListedEnds;
    options.processors = { Millicores(1000) };
    options.admission = { Milliseconds(100), Milliseconds(20), Milliseconds(3000), false, {} };
    return options;
}

struct AdmittingSite
{
    explicit AdmittingSite(const VirtualSiteOptions &options)
        : site(options)
    {
        site.run(startTime);
    }

    /** Submits the job without waiting for the answer. */
    void submit(const JobSpec &spec)
    {
        const std::vector<HostId> hosts = site.hosts();
        site.send(hosts.at(submitted % hosts.size()), SubmitJob { std::make_shared<const JobSpec>(spec) });
        waiting.push_back(spec.id);
        ++submitted;
    }

    [[nodiscard]] bool hasStarted(const JobId &job)
    {
        return site.judge().hasBegun(job);
    }

    /** Number of submitted jobs of which a task has started. */
    [[nodiscard]] std::size_t started()
    {
        std::erase_if(waiting, [this](const JobId &job) { return hasStarted(job); });
        return submitted - waiting.size();
    }

    /** How long it takes until a task of each job has started; @p limit when some haven't by then. */
    Milliseconds timeUntilAllStarted(Milliseconds limit)
    {
        const TimePoint begin = site.now();
        while (started() < submitted && site.now() - begin < limit) {
            site.run(checkInterval);
        }
        return site.now() - begin;
    }

    void requireNoViolation()
    {
        for (const std::string &violation : site.judge().violations()) {
            BOOST_ERROR(violation);
        }
    }

    VirtualSite site;
    std::size_t submitted = 0;
    std::vector<JobId> waiting;
};

/** Steps that come together, and how many workers a request for one of them has to name. */
struct Burst
{
    std::uint64_t steps;
    std::uint32_t width;
    std::size_t workersNeeded;
};

std::ostream &operator<<(std::ostream &out, const Burst &burst)
{
    return out << burst.steps << " steps of " << burst.width;
}

const std::vector<Burst> bursts {
    { 12, 1, 1 },  { 12, 2, 1 },   { 12, 30, 1 },  { 100, 1, 1 },
    { 100, 2, 1 }, { 100, 30, 1 }, { 1000, 1, 1 }, { 1000, 2, 1 },
};

/** Smallest share of the service's busy time whose tickets are used, where every worker is idle and admitted. */
constexpr double minUsefulShare = 0.9;

/** Disturbance of the service for a while, and for how long after it the steps may still wait. */
struct Trouble
{
    const char *name;
    std::function<void(VirtualSite &site)> begin;
    std::function<void(VirtualSite &site)> end;
};

std::ostream &operator<<(std::ostream &out, const Trouble &trouble)
{
    return out << trouble.name;
}

Trouble fault(const char *name, AdmissionFault fault)
{
    return { name, [fault](VirtualSite &site) { site.admission().setFault(fault); },
             [](VirtualSite &site) {
                 site.admission().setFault(AdmissionFault::None);
             } };
}

void setTerms(VirtualSite &site, const std::optional<AdmissionTerms> &terms)
{
    SiteConfiguration configuration = site.configuration();
    configuration.version = ConfigurationVersion(configuration.version.value() + 1);
    for (QueueEntry &queue : configuration.queues) {
        if (queue.admission || queue.name == QueueName("admitted")) {
            queue.admission = terms;
        }
    }
    site.configure(configuration);
}

const std::vector<Trouble> troubles {
    fault("silent", AdmissionFault::Silent),
    fault("refusing", AdmissionFault::Refusing),
    fault("malformed", AdmissionFault::Malformed),
    { "slow", [](VirtualSite &site) { site.admission().setSlowness(10); },
      [](VirtualSite &site) {
          site.admission().setSlowness(1);
      } },
    { "shorterValidity",
      [](VirtualSite &site) {
          site.admission().options().validity = Milliseconds(500);
          setTerms(site, AdmissionTerms { Milliseconds(100), Milliseconds(20), Milliseconds(500) });
      },
      [](VirtualSite &) {
      } },
    { "wrongFigures",
      [](VirtualSite &site) {
          setTerms(site, AdmissionTerms { Milliseconds(1), Milliseconds(0), Milliseconds(100) });
      },
      [](VirtualSite &) {
      } },
    { "writerKilled", [](VirtualSite &site) { site.killHost(*site.writer()); },
      [](VirtualSite &) {
      } },
    { "workersReborn",
      [](VirtualSite &site) {
          for (const WorkerId &worker : site.workers()) {
              site.crashWorker(worker, false);
              site.restartWorker(worker);
          }
      },
      [](VirtualSite &) {
      } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(Admission)

/** Guards against steps that wait for advice together and never get a ticket that can be used. */
BOOST_DATA_TEST_CASE(stepsThatWaitTogetherAllStart, data::make(bursts), burst)
{
    AdmittingSite test(idleSite());
    const AdmissionTerms terms = *test.site.configuration().queue(QueueName("admitted"))->admission;
    for (std::uint64_t number = 1; number <= burst.steps; ++number) {
        test.submit(admittedStep(number, burst.width));
    }
    const Milliseconds shortest = terms.durationFor(burst.workersNeeded) * static_cast<std::int64_t>(burst.steps);
    const Milliseconds limit = shortest * 10 / 9 + Milliseconds(2000);
    const Milliseconds taken = test.timeUntilAllStarted(limit);
    BOOST_TEST_MESSAGE(burst << ": longest wait " << taken.count() << " ms, at best " << shortest.count()
                             << " ms; useful share " << test.site.admission().usefulShare());
    BOOST_TEST(test.started() == burst.steps);
    BOOST_TEST(test.site.admission().usefulShare() >= minUsefulShare);
    test.requireNoViolation();
}

/** Guards against requests that the service refuses since they name too many workers. */
BOOST_AUTO_TEST_CASE(requestsNameNoMoreWorkersThanTheServiceTakes)
{
    constexpr std::size_t serviceLimit = 100;
    AdmittingSite test(idleSite(150));
    JobSpec wide = admittedStep(1, 150);
    wide.steps.front().spreadLimit = 1;
    test.submit(wide);
    BOOST_TEST(test.site.runUntil([&test] { return test.site.judge().starts() == 150U; }, Milliseconds(20'000)));
    BOOST_TEST(test.site.admission().mostWorkersNamed() <= serviceLimit);
    BOOST_TEST(test.site.admission().mostWorkersNamed() > 30U);
    test.requireNoViolation();
}

/** Guards against a step that never starts since a request takes nearly as long as its tickets are valid. */
BOOST_DATA_TEST_CASE(requestMayTakeNearlyAsLongAsTheTicketsAreValid, data::make({ false, true }), countsFromRequest)
{
    VirtualSiteOptions options = idleSite();
    options.admission = { Milliseconds(1900), Milliseconds(1), Milliseconds(2000), countsFromRequest, {} };
    AdmittingSite test(options);
    test.submit(admittedStep(1, 2));
    test.submit(admittedStep(2, 2));
    BOOST_TEST(test.timeUntilAllStarted(Milliseconds(10'000)).count() < 10'000);
    test.requireNoViolation();
}

BOOST_AUTO_TEST_CASE(refusalsTeachThatTheValidityCountsFromTheRequest)
{
    VirtualSiteOptions options = idleSite();
    options.admission = { Milliseconds(800), Milliseconds(10), Milliseconds(1500), true, {} };
    // One task for each worker, so that a step needs the tickets of many.
    options.capacity = { Millicores(600), Mebibytes(16'000), AcceleratorCount(0) };
    AdmittingSite test(options);
    for (std::uint64_t number = 1; number <= 12; ++number) {
        test.submit(admittedStep(number, 12));
    }
    BOOST_TEST(test.timeUntilAllStarted(Milliseconds(40'000)).count() < 40'000);
    BOOST_TEST(test.site.logCount(events::runRefused) < 20U);
    test.requireNoViolation();
}

BOOST_AUTO_TEST_CASE(urgentStepStartsBeforeTheWaitingOnes)
{
    AdmittingSite test(idleSite());
    for (std::uint64_t number = 1; number <= 100; ++number) {
        test.submit(admittedStep(number, 2));
    }
    test.site.run(Milliseconds(2000));
    const JobSpec urgent = admittedStep(1000, 2, "admitted-urgent");
    test.submit(urgent);
    // The request under way, one for the step that has waited longest, and its own.
    BOOST_TEST(test.site.runUntil([&] { return test.hasStarted(urgent.id); }, Milliseconds(1000)));
    BOOST_TEST(test.started() < 50U);
}

BOOST_AUTO_TEST_CASE(stepHasItsTurnWhileUrgentOnesKeepComing)
{
    AdmittingSite test(idleSite());
    for (std::uint64_t number = 1; number <= 200; ++number) {
        test.submit(admittedStep(number, 2, "admitted-urgent"));
    }
    test.site.run(Milliseconds(1000));
    const JobSpec plain = admittedStep(1000, 2);
    test.submit(plain);
    test.site.run(Milliseconds(500));
    for (std::uint64_t number = 201; number <= 400; ++number) {
        test.submit(admittedStep(number, 2, "admitted-urgent"));
    }
    // Every fourth request goes to the step that has waited longest, of which there are 200.
    BOOST_TEST(test.site.runUntil([&] { return test.hasStarted(plain.id); }, Milliseconds(200 * 4 * 140)));
    BOOST_TEST(test.started() < 400U);
}

BOOST_DATA_TEST_CASE(stepsStartAfterTrouble, data::make(troubles), trouble)
{
    AdmittingSite test(idleSite());
    test.site.run(Milliseconds(500));
    for (std::uint64_t number = 1; number <= 12; ++number) {
        test.submit(admittedStep(number, 2));
    }
    test.site.run(Milliseconds(300));
    trouble.begin(test.site);
    test.site.run(Milliseconds(6000));
    trouble.end(test.site);
    BOOST_TEST(test.timeUntilAllStarted(Milliseconds(12'000)).count() < 12'000);
    test.requireNoViolation();
}

BOOST_AUTO_TEST_CASE(stepsStartOnceNoAdmissionIsNeeded)
{
    AdmittingSite test(idleSite());
    test.site.admission().setFault(AdmissionFault::Silent);
    test.submit(withPayload(admittedStep(1, 2), "ticket=0"));
    test.site.run(Milliseconds(2000));
    BOOST_TEST(test.started() == 0U);
    setTerms(test.site, std::nullopt);
    BOOST_TEST(test.timeUntilAllStarted(Milliseconds(4000)).count() < 4000);
}

/** A step that is denied everywhere leaves the service to the others, until a worker returns with a new life. */
BOOST_AUTO_TEST_CASE(deniedStepLeavesTheLine)
{
    VirtualSiteOptions options = idleSite();
    const JobSpec denied = admittedStep(1, 2);
    bool isDenied = true;
    options.admission.admits = [&](const StepRef &step, const WorkerEntry &) {
        return step.job != denied.id || !isDenied;
    };
    AdmittingSite test(options);
    test.submit(denied);
    for (std::uint64_t number = 2; number <= 12; ++number) {
        test.submit(admittedStep(number, 2));
    }
    test.site.run(Milliseconds(10'000));
    BOOST_TEST(test.started() == 11U);
    const std::size_t requests = test.site.admission().requests();
    test.site.run(Milliseconds(10'000));
    BOOST_TEST(test.site.admission().requests() == requests);
    isDenied = false;
    test.site.crashWorker(test.site.workers().front(), false);
    test.site.restartWorker(test.site.workers().front());
    BOOST_TEST(test.site.runUntil([&] { return test.hasStarted(denied.id); }, Milliseconds(5000)));
    test.requireNoViolation();
}

/** One task fits on each worker, so that a wide step needs more tickets than one request may name workers. */
BOOST_AUTO_TEST_CASE(wideStepAndWideGangNeedSeveralRequests)
{
    VirtualSiteOptions options = idleSite(130);
    options.capacity = { Millicores(2600), Mebibytes(16'000), AcceleratorCount(0) };
    options.admission = { Milliseconds(50), Milliseconds(5), Milliseconds(3000), false, {} };
    AdmittingSite test(options);
    JobSpec wide = admittedJob(1, 120);
    wide.steps.resize(1);
    test.submit(wide);
    BOOST_TEST(
        test.site.runUntil([&] { return test.site.phaseOf(wide.id) == JobPhase::Completed; }, Milliseconds(8000)));
    JobSpec gang = withPayload(gangJob(2, 120), "ticket=1");
    gang.queue = QueueName("admitted");
    test.submit(gang);
    BOOST_TEST(
        test.site.runUntil([&] { return test.site.phaseOf(gang.id) == JobPhase::Completed; }, Milliseconds(8000)));
    BOOST_TEST(test.site.judge().violations().empty());
}

/** What a step waits for is room: no requests are made meanwhile, and it starts soon after there is some. */
BOOST_AUTO_TEST_CASE(stepWaitsForRoomWithoutRequests)
{
    VirtualSiteOptions options = idleSite(3);
    options.capacity = { Millicores(1000), Mebibytes(16'000), AcceleratorCount(0) };
    AdmittingSite test(options);
    BOOST_TEST(test.site.submit(batchJob(1, 1, 3, Milliseconds(5000), Millicores(1000))));
    test.site.run(Milliseconds(1000));
    test.submit(admittedStep(2, 2));
    test.site.run(Milliseconds(3000));
    BOOST_TEST(test.site.admission().requests() == 0U);
    BOOST_TEST(test.site.runUntil([&] { return test.started() == 1; }, Milliseconds(2500)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AdmissionBatches)

namespace {

struct BatchRow
{
    const char *name;
    std::size_t tasks;
    bool needsAll;
    std::size_t slots;
    double share;
    std::size_t limit;
    std::size_t expected;
};

std::ostream &operator<<(std::ostream &out, const BatchRow &row)
{
    return out << row.name;
}

const std::vector<BatchRow> batchRows {
    { "oneTaskAllAdmitted", 1, false, 4, 1, 100, 1 },
    { "oneWorkerHasRoomForAll", 4, false, 4, 1, 100, 1 },
    { "oneTaskPerWorker", 30, false, 1, 1, 100, 30 },
    { "fewAdmitted", 1, false, 1, 0.1, 100, 8 },
    { "limited", 30, false, 1, 1, 7, 7 },
    { "gangNeedsAll", 30, true, 1, 1, 100, 30 },
    { "gangOfMoreThanOneRequest", 90, true, 1, 0.5, 40, 40 },
};

} // namespace

BOOST_DATA_TEST_CASE(namesAsManyWorkersAsYieldMostStarts, data::make(batchRows), row)
{
    const std::vector<AdmissionCandidate> candidates(100,
                                                     AdmissionCandidate { WorkerId("w"), WorkerLife(1), row.slots });
    const AdmissionTerms terms { Milliseconds(100), Milliseconds(20), Milliseconds(3000) };
    BOOST_TEST(admissionBatchSize(candidates, { row.tasks, row.needsAll }, terms, row.share, row.limit)
               == row.expected);
}

BOOST_AUTO_TEST_CASE(statisticsFollowTheAnswers)
{
    AdmissionStatistics statistics;
    const QueueName queue("q");
    BOOST_TEST(statistics.admittedShare(queue) == 0.5);
    statistics.noteAnswer(queue, 98, 98);
    BOOST_TEST(statistics.admittedShare(queue) > 0.98);
    for (int answer = 0; answer < 20; ++answer) {
        statistics.noteAnswer(queue, 100, 10);
        statistics.noteDuration(Milliseconds(100), Milliseconds(500));
    }
    BOOST_TEST(statistics.admittedShare(queue) < 0.11);
    BOOST_TEST(statistics.expectedDuration(Milliseconds(100)).count() > 450);
}

BOOST_AUTO_TEST_SUITE_END()
