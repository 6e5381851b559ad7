#include "environmentnumber.h"
#include "jobevents.h"
#include "virtualjobs.h"
#include "virtualsite.h"

#include <algorithm>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace currantring;
namespace data = boost::unit_test::data;

namespace {

constexpr Milliseconds startTime { 1500 };
/** The successor's path to the worker is cut twice, the second time until the store serves the former writer again. */
constexpr Milliseconds firstCut { 5000 };
constexpr Milliseconds cutGap { 50 };
constexpr Milliseconds longestAbsence { 9000 };
constexpr Milliseconds absenceStep { 100 };
constexpr Milliseconds pausedClaimStep { 20 };
constexpr Milliseconds restTime { 400 };
constexpr Milliseconds returnLimit { 20'000 };
constexpr int randomRounds = 3;
constexpr Milliseconds roundPause { 2500 };
constexpr Milliseconds processPause { 4000 };
/** Work that outlasts a play. */
constexpr Milliseconds longWork { 150'000 };
constexpr std::uint64_t defaultSeeds = 60;
constexpr std::uint64_t connectingJob = 1'000'000;
constexpr Millicores wholeWorker { 8000 };

/** How the writer loses the store while it places a task, and what it is answered meanwhile. */
struct Absence
{
    const char *name;
    PlacementFault fault;
};

std::ostream &operator<<(std::ostream &out, const Absence &absence)
{
    return out << absence.name;
}

const std::vector<Absence> absences {
    { "silentStore", { StoreFault::Silent, std::nullopt, false } },
    { "refusingStore", { StoreFault::Refusing, std::nullopt, false } },
    { "holdingStore", { StoreFault::Holding, std::nullopt, false } },
    { "lateAnswerOfARefusingStore", { StoreFault::Refusing, Milliseconds(3700), false } },
    { "lateAnswerOfASilentStore", { StoreFault::Silent, Milliseconds(3900), false } },
    { "pausedProcess", { StoreFault::None, std::nullopt, true } },
    { "pausedProcessAndSilentStore", { StoreFault::Silent, std::nullopt, true } },
};

/** One play: the writer is away from the store for a while after it has placed a task on a worker. */
class Play
{
public:
    Play(std::uint64_t seed, const JobSpec &job)
        : m_site({ .seed = seed, .workers = 5 })
        , m_job(job)
    {
        m_site.run(startTime);
        connectWorkers();
    }

    VirtualSite &site()
    {
        return m_site;
    }

    /** The placement takes effect in the store, and the other hosts lose the path to its worker. */
    void placeAndLoseStore(const PlacementFault &fault)
    {
        BOOST_REQUIRE(m_site.writer().has_value());
        m_former = *m_site.writer();
        m_isPaused = fault.isPaused;
        m_site.failAfterPlacement(m_former, fault, [this](const WorkerId &worker) { cutTwice(worker); });
        m_site.send(m_former, SubmitJob { std::make_shared<const JobSpec>(m_job) });
        BOOST_REQUIRE(m_site.runUntil([this] { return m_worker.has_value(); }, Milliseconds(3000)));
    }

    /** The writer is lost while the task runs; the host that replaces it stands still, and the next one is cut off. */
    void pauseSuccessor()
    {
        BOOST_REQUIRE(m_site.submit(m_job));
        BOOST_REQUIRE(isWorkDone());
        m_isPaused = true;
        m_site.pauseAfterNextClaim([this](const HostId &host) {
            m_former = host;
            // Otherwise the watch tells it of its successor as it goes on.
            m_site.setStoreFault(host, StoreFault::WatchesSilent);
            m_site.dropWatches();
            cutTwice(busyWorker());
        });
        m_site.killHost(*m_site.writer());
        BOOST_REQUIRE(m_site.runUntil([this] { return m_worker.has_value(); }, Milliseconds(5000)));
    }

    void returnAfter(Milliseconds absence)
    {
        m_site.run(absence);
        m_site.setStoreFault(m_former, StoreFault::None);
        if (m_isPaused) {
            m_site.resumeHostInRandomOrder(m_former);
        }
        m_site.run(restTime);
        m_isCutOver = true;
        cutFromOthers(false);
    }

    /** Whether all tasks of the job run, or have ended, in the end. */
    bool isWorkDone()
    {
        return m_site.runUntil([this] { return areAllStarted(); }, returnLimit);
    }

    /** Checks the time since the previous call. */
    void requireNoViolation(const std::string &context)
    {
        const std::vector<std::string> &violations = m_site.judge().violations();
        for (; m_checkedViolations < violations.size(); ++m_checkedViolations) {
            BOOST_ERROR(context << ": " << violations[m_checkedViolations]);
        }
    }

    void startNext(const JobSpec &job)
    {
        m_job = job;
        m_worker.reset();
        m_isCutOver = false;
    }

private:
    /** One short task on each worker, so that the writer's next start finds a connection. */
    void connectWorkers()
    {
        const auto count = static_cast<std::uint32_t>(m_site.workers().size());
        BOOST_REQUIRE(m_site.submit(batchJob(connectingJob, 1, count, Milliseconds(200), wholeWorker)));
        m_site.run(startTime);
    }

    bool areAllStarted()
    {
        if (m_site.phaseOf(m_job.id) == JobPhase::Completed) {
            return true;
        }
        for (std::uint32_t index = 0; index < m_job.steps.front().count; ++index) {
            if (!m_site.isRunning({ { m_job.id, 0, 0 }, index })) {
                return false;
            }
        }
        return true;
    }

    WorkerId busyWorker()
    {
        const std::vector<WorkerId> workers = m_site.workers();
        return *std::ranges::find_if(
            workers, [this](const WorkerId &worker) { return m_site.worker(worker).runningCount() > 0; });
    }

    void cutTwice(const WorkerId &worker)
    {
        m_worker = worker;
        cutFromOthers(true);
        const auto cutUnlessOver = [this, round = ++m_round](bool isCut) {
            if (round == m_round && !m_isCutOver) {
                cutFromOthers(isCut);
            }
        };
        m_site.after(firstCut, [cutUnlessOver] { cutUnlessOver(false); });
        m_site.after(firstCut + cutGap, [cutUnlessOver] { cutUnlessOver(true); });
    }

    void cutFromOthers(bool isCut)
    {
        for (const HostId &host : m_site.hosts()) {
            if (host != m_former) {
                m_site.partitionWorker(host, *m_worker, isCut);
            }
        }
    }

    VirtualSite m_site;
    JobSpec m_job;
    HostId m_former;
    std::optional<WorkerId> m_worker;
    bool m_isPaused = false;
    bool m_isCutOver = false;
    int m_round = 0;
    std::size_t m_checkedViolations = 0;
};

JobSpec longJob(std::uint64_t number)
{
    return batchJob(number, 1, 1, longWork);
}

/** The store carries out a placement and is silent to all hosts; only that write is answered, late. */
struct StoreOutage
{
    StoreOutage(std::uint64_t seed, Milliseconds duration)
        : site({ .seed = seed })
        , task { { longJob(seed).id, 0, 0 }, 0 }
    {
        site.run(startTime);
        writer = *site.writer();
        site.failAfterPlacement(writer, { StoreFault::Silent, Milliseconds(3200), false },
                                [this](const WorkerId & /*worker*/) { setFault(StoreFault::Silent); });
        site.send(writer, SubmitJob { std::make_shared<const JobSpec>(longJob(seed)) });
        site.runUntil([this] { return isSilent; }, Milliseconds(3000));
        site.run(duration);
    }

    void end()
    {
        setFault(StoreFault::None);
    }

    void setFault(StoreFault fault)
    {
        isSilent = fault == StoreFault::Silent;
        for (const HostId &host : site.hosts()) {
            site.setStoreFault(host, fault);
        }
    }

    VirtualSite site;
    TaskRef task;
    HostId writer;
    bool isSilent = false;
};

/** A job of one step, of a random kind. */
JobSpec randomJob(Random &random, std::uint64_t number)
{
    switch (uniformBelow(random, 6)) {
    case 0:
        return lastingJob(number);
    case 1:
        return gangJob(number, 2);
    case 2:
        return withPayload(copiedJob(number, 1), "work=9000");
    case 3:
        return withPayload(admittedJob(number, 1), "work=9000");
    case 4:
        return batchJob(number, 1, 3, Milliseconds(2500));
    default:
        return longJob(number);
    }
}

/** The writer, or the host that follows it, stands still for a while. */
void pauseSomeHost(Play &play, Random &random)
{
    const std::vector<HostId> hosts = play.site().hosts();
    const HostId &host = hosts.at(uniformBelow(random, hosts.size()));
    play.site().pauseHost(host);
    play.site().run(processPause);
    play.site().resumeHostInRandomOrder(host);
}

/** Several absences one after the other, each with another job, and with pauses of processes in between. */
void playRandomAbsences(std::uint64_t seed)
{
    Random random(seed);
    Play play(seed, randomJob(random, 1));
    for (int round = 1; round <= randomRounds; ++round) {
        const Absence &absence = absences.at(uniformBelow(random, absences.size()));
        const Milliseconds away(
            static_cast<std::int64_t>(uniformBelow(random, static_cast<std::uint64_t>(longestAbsence.count()))));
        const std::string context = "seed " + std::to_string(seed) + " round " + std::to_string(round) + " "
            + absence.name + " for " + std::to_string(away.count()) + " ms";
        play.placeAndLoseStore(absence.fault);
        play.returnAfter(away);
        if (uniformBelow(random, 2) == 0) {
            pauseSomeHost(play, random);
        }
        BOOST_TEST(play.isWorkDone(), context);
        play.requireNoViolation(context);
        play.site().run(roundPause);
        play.startNext(randomJob(random, static_cast<std::uint64_t>(round) + 1));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(FormerWriters)

/**
 * Guards against a writer that starts a task as it finds the placement committed, long after another one has replaced
 * it: the task then runs twice, or for longer than the successor waits.
 */
BOOST_DATA_TEST_CASE(placementsFoundLateAreNotStartedByAFormerWriter, data::make(absences), row)
{
    std::uint64_t seed = 0;
    for (Milliseconds absence(0); absence <= longestAbsence; absence += absenceStep) {
        const std::string context =
            "away for " + std::to_string(absence.count()) + " ms, seed " + std::to_string(++seed);
        Play play(seed, longJob(seed));
        play.placeAndLoseStore(row.fault);
        play.returnAfter(absence);
        BOOST_TEST(play.isWorkDone(), context);
        play.requireNoViolation(context);
    }
}

/** The same with all kinds of tasks, several absences and paused processes; CURRANTRING_SEEDS sets how many plays. */
BOOST_AUTO_TEST_CASE(randomAbsencesLetNoFormerWriterActTooLong)
{
    const std::uint64_t seeds = numberFromEnvironment("CURRANTRING_SEEDS", defaultSeeds);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        playRandomAbsences(seed);
    }
}

/**
 * Guards against a host that is paused while its claim is answered, and takes the claim for proven when it goes on,
 * though another one has replaced it: it extended leases for longer than its successor waits.
 */
BOOST_AUTO_TEST_CASE(claimsAnsweredBeforeAPauseProveNothingAfterIt)
{
    std::uint64_t seed = 0;
    for (Milliseconds absence(4000); absence <= longestAbsence; absence += pausedClaimStep) {
        const std::string context =
            "away for " + std::to_string(absence.count()) + " ms, seed " + std::to_string(++seed);
        Play play(seed, longJob(seed));
        play.pauseSuccessor();
        play.returnAfter(absence);
        BOOST_TEST(play.isWorkDone(), context);
        play.requireNoViolation(context);
    }
}

/** Guards against starts that stay away after an outage in which nobody could replace the writer. */
BOOST_AUTO_TEST_CASE(placementsFoundLateAreStartedOnceTheClaimIsProven)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StoreOutage outage(seed, Milliseconds(500 + 150 * static_cast<std::int64_t>(seed)));
        BOOST_TEST(outage.site.judge().startsOf(outage.task) == 0U, "seed " << seed << " during the outage");
        outage.end();
        BOOST_TEST(outage.site.runUntil([&outage] { return outage.site.isRunning(outage.task); }, Milliseconds(1500)),
                   "seed " << seed << ": not started after the outage");
        BOOST_TEST(outage.site.judge().startsOf(outage.task) == 1U);
        BOOST_TEST(outage.site.judge().violations().empty());
    }
}

/** Guards against a start that waits for the proof and goes although its job was cancelled meanwhile. */
BOOST_AUTO_TEST_CASE(startsThatWaitForTheProofAreDroppedWithTheirJob)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StoreOutage outage(seed, Milliseconds(3600));
        BOOST_TEST_REQUIRE(outage.site.logCount(events::startDeferred) == 1U);
        outage.site.send(outage.writer, CancelJob { outage.task.step.job });
        outage.site.run(Milliseconds(200));
        outage.end();
        outage.site.run(returnLimit);
        BOOST_TEST((outage.site.phaseOf(outage.task.step.job) == JobPhase::Cancelled), "seed " << seed);
        BOOST_TEST(outage.site.judge().startsOf(outage.task) == 0U, "seed " << seed);
        BOOST_TEST(outage.site.trackedWork().value_or(1) == 0U, "seed " << seed << ": room is held for it");
        BOOST_TEST(outage.site.judge().violations().empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
