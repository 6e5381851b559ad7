#include "evacuationlist.h"
#include "jobevents.h"
#include "virtualjobs.h"
#include "virtualsite_p.h"

#include <algorithm>
#include <utility>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds startTime { 1500 };
constexpr Milliseconds feedInterval { 100 };
/** Time from the operator's write to the writer's knowledge, without a fault. */
constexpr Milliseconds noticeTime { 30 };
/** Time in which all work that is waiting is placed, started and ended. */
constexpr Milliseconds settleTime { 15'000 };
const DataCentreId firstCentre("dc0");
const DataCentreId secondCentre("dc1");
const DataCentreId thirdCentre("dc2");

VirtualSiteOptions threeCentres(std::uint64_t seed = 1)
{
    VirtualSiteOptions options;
    options.seed = seed;
    options.workers = 9;
    options.dataCentres = 3;
    options.hasEvacuations = true;
    return options;
}

/** Sends jobs of several kinds at short intervals, so that starts are pending at each moment. */
class Feed
{
public:
    explicit Feed(VirtualSite &site)
        : m_site(site)
    {
    }

    void run(Milliseconds duration)
    {
        const TimePoint end = m_site.now() + duration;
        while (m_site.now() < end) {
            std::vector<HostId> hosts = m_site.hosts();
            std::erase(hosts, m_avoided);
            m_site.send(hosts[m_number % hosts.size()], SubmitJob { std::make_shared<const JobSpec>(next()) });
            m_site.run(feedInterval);
        }
    }

    /** Sends nothing to a host that ends: the checker takes a submission that is never answered for refused. */
    void avoid(const HostId &host)
    {
        m_avoided = host;
    }

    /** Waits for the accepted jobs and has the checker compare their phases. */
    void requireAllCompleted()
    {
        m_site.run(settleTime);
        std::map<JobId, JobPhase> shown;
        for (const JobId &job : m_jobs) {
            if (m_site.judge().isAccepted(job)) {
                shown[job] = m_site.phaseOf(job).value_or(JobPhase::Running);
            }
        }
        BOOST_TEST(!shown.empty());
        m_site.judge().checkAllCompleted(shown);
    }

private:
    JobSpec next()
    {
        const std::uint64_t number = 1000 + ++m_number;
        JobSpec spec = m_number % 4 == 0 ? gangJob(number) : m_number % 4 == 1 ? copiedJob(number) : batchJob(number);
        spec.steps.front().isFiller = m_number % 4 == 2;
        m_jobs.push_back(spec.id);
        return spec;
    }

    VirtualSite &m_site;
    HostId m_avoided;
    std::uint64_t m_number = 0;
    std::vector<JobId> m_jobs;
};

void requireNoViolations(VirtualSite &site, const std::string &context = {})
{
    for (std::size_t index = 0; index < std::min<std::size_t>(site.judge().violations().size(), 3); ++index) {
        BOOST_ERROR(context << ": " << site.judge().violations()[index]);
    }
}

bool isIn(VirtualSite &site, const WorkerId &worker, const DataCentreId &dataCentre)
{
    return site.worker(worker).entry().dataCentre == dataCentre;
}

/** Where a run of the task is; nullopt when it doesn't run. */
std::optional<WorkerId> workerOf(VirtualSite &site, const TaskRef &task)
{
    for (const WorkerId &worker : site.workers()) {
        if (site.worker(worker).runs(task)) {
            return worker;
        }
    }
    return std::nullopt;
}

std::size_t runningIn(VirtualSite &site, const DataCentreId &dataCentre)
{
    std::size_t running = 0;
    for (const WorkerId &worker : site.workers()) {
        running += isIn(site, worker, dataCentre) ? site.worker(worker).runningCount() : 0;
    }
    return running;
}

/** Log lines of the event that contain @p text. */
std::vector<std::string> linesOf(const VirtualSite &site, std::string_view event, const std::string &text = {})
{
    std::vector<std::string> lines;
    const std::string name = "event=" + std::string(event) + " ";
    std::ranges::copy_if(site.transcript(), std::back_inserter(lines), [&](const std::string &line) {
        return line.find(name) != std::string::npos && line.find(text) != std::string::npos;
    });
    return lines;
}

/** Value of a field of a log line; empty when it has none. */
std::string fieldOf(const std::string &line, const std::string &field)
{
    const std::size_t begin = line.find(" " + field + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + field.size() + 2;
    return line.substr(value, line.find(' ', value) - value);
}

/** Whether no start order arrived in the data centre later than @p limit after @p since. */
bool wasSparedAfter(VirtualSite &site, const DataCentreId &dataCentre, TimePoint since, Milliseconds limit)
{
    const std::optional<TimePoint> last = site.judge().lastStartOrderIn(dataCentre);
    return !last || *last <= since + limit;
}

/** Evacuates the first data centre, gives the writer time to learn of it, and returns when the key was written. */
TimePoint evacuateFirst(VirtualSite &site)
{
    const TimePoint since = site.now();
    site.evacuate(firstCentre, true);
    site.run(noticeTime);
    return since;
}

void setStoreFaultForAll(VirtualSite &site, StoreFault fault)
{
    for (const HostId &host : site.hosts()) {
        site.setStoreFault(host, fault);
    }
}

HostId requireWriter(const VirtualSite &site)
{
    const std::optional<HostId> writer = site.writer();
    BOOST_REQUIRE(writer.has_value());
    return *writer;
}

/** Job whose tasks fill all workers of threeCentres(). */
JobSpec fillingJob(std::uint64_t number)
{
    return batchJob(number, 1, 18, Milliseconds(1000), Millicores(4000));
}

/** Runs a job on all workers, so that later starts find a connection and aren't held for want of one. */
void openConnections(VirtualSite &site)
{
    const JobSpec job = fillingJob(900);
    BOOST_REQUIRE(site.submit(job));
    BOOST_REQUIRE(site.runUntil([&] { return site.phaseOf(job.id) == JobPhase::Completed; }, Milliseconds(5000)));
}

/** Sends the job and waits until its placements are decided; their commit takes as long as the store's delay. */
void placeWithoutCommit(VirtualSite &site, const JobSpec &job)
{
    const std::size_t before = site.logCount(events::runPlaced);
    const std::size_t startsBefore = site.judge().starts();
    site.send(site.hosts().front(), SubmitJob { std::make_shared<const JobSpec>(job) });
    BOOST_REQUIRE(site.runUntil([&] { return site.logCount(events::runPlaced) > before; }, Milliseconds(2000)));
    BOOST_REQUIRE(site.judge().starts() == startsBefore);
}

/** A list whose calls to the store the test answers itself, at a time of its own. */
class ListFixture
{
public:
    ListFixture()
        : m_context(1, makeDriver())
        , m_list("evacuations/", Milliseconds(5000), m_context,
                 { [this](const DataCentreId & /*dataCentre*/) { ++m_changes; },
                   [] {
                   } })
    {
        m_context.setTime(m_now, WallTime(0));
        m_list.start();
    }

    void pass(Milliseconds duration)
    {
        m_now += duration;
        m_context.setTime(m_now, WallTime(0));
    }

    /** Answers the oldest call. */
    void answer(const KvReply &reply)
    {
        const JobDriver::KvHandler then = m_calls.front().second;
        m_calls.erase(m_calls.begin());
        then(reply);
    }

    EvacuationList &list()
    {
        return m_list;
    }

    [[nodiscard]] std::size_t pendingCalls() const
    {
        return m_calls.size();
    }

    /** Whether the newest call lists the prefix; otherwise it watches it. */
    [[nodiscard]] bool isNewestCallAList() const
    {
        return std::holds_alternative<KvList>(m_calls.back().first);
    }

    [[nodiscard]] int changes() const
    {
        return m_changes;
    }

private:
    JobDriver makeDriver()
    {
        JobDriver driver;
        driver.readTime = [this] {
            return JobTime { m_now, WallTime(0) };
        };
        driver.callStore = [this](const KvRequest &request, Milliseconds, const JobDriver::KvHandler &then) {
            m_calls.emplace_back(request, then);
        };
        driver.log = [](const LogEvent &) {
        };
        driver.count = [](std::string_view, std::string_view) {
        };
        return driver;
    }

    TimePoint m_now { Milliseconds(1'000'000) };
    std::vector<std::pair<KvRequest, JobDriver::KvHandler>> m_calls;
    int m_changes = 0;
    JobContext m_context;
    EvacuationList m_list;
};

KvEntry keyOf(const std::string &dataCentre, std::uint64_t revision)
{
    return { "evacuations/" + dataCentre, "{}", StoreRevision(revision), false };
}

KvReply replyOf(std::vector<KvEntry> entries, std::uint64_t revision)
{
    KvReply reply;
    reply.entries = std::move(entries);
    reply.revision = StoreRevision(revision);
    return reply;
}

JobSpec onRack(JobSpec spec, const std::string &rack, Milliseconds estimate)
{
    spec.steps.front().dataRack = Label(rack);
    spec.steps.front().estimate = estimate;
    return spec;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Evacuation)

/** Guards against starts of any kind in the data centre, and against an evacuation that lasts beyond its key. */
BOOST_AUTO_TEST_CASE(startsOfAllKindsGoElsewhereUntilTheKeyIsRemoved)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        VirtualSite site(threeCentres(seed));
        site.run(startTime);
        Feed feed(site);
        feed.run(Milliseconds(2000));
        BOOST_TEST(site.judge().lastStartOrderIn(firstCentre).has_value());
        const TimePoint since = evacuateFirst(site);
        feed.run(Milliseconds(8000));
        BOOST_TEST(wasSparedAfter(site, firstCentre, since, noticeTime));
        const TimePoint end = site.now();
        site.evacuate(firstCentre, false);
        feed.run(Milliseconds(2000));
        BOOST_TEST(!wasSparedAfter(site, firstCentre, end, noticeTime));
        feed.requireAllCompleted();
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
}

/** Guards against copies there: all other workers are full, so that they alone have room for the copies. */
BOOST_AUTO_TEST_CASE(copiesGoElsewhere)
{
    VirtualSite site(threeCentres());
    site.run(startTime);
    const TimePoint since = evacuateFirst(site);
    JobSpec copied = batchJob(1, 1, 12, Milliseconds(8000), Millicores(4000));
    copied.steps.front().mayRunCopies = true;
    BOOST_REQUIRE(site.submit(copied));
    site.run(Milliseconds(500));
    BOOST_REQUIRE(runningIn(site, secondCentre) + runningIn(site, thirdCentre) == 12U);
    site.isolateWorker(WorkerId("w3"), true);
    site.run(Milliseconds(4000));
    BOOST_TEST(site.logCount(events::runCopied) > 0U);
    BOOST_TEST(site.runUntil([&] { return site.phaseOf(copied.id) == JobPhase::Completed; }, Milliseconds(40'000)));
    BOOST_TEST(wasSparedAfter(site, firstCentre, since, noticeTime));
    requireNoViolations(site);
}

/** Guards against retries that go back to the worker on which the task failed, as it has room. */
BOOST_AUTO_TEST_CASE(retriesGoElsewhere)
{
    VirtualSite site(threeCentres());
    site.run(startTime);
    site.evacuate(secondCentre, true);
    site.evacuate(thirdCentre, true);
    site.run(noticeTime);
    BOOST_REQUIRE(site.submit(withPayload(batchJob(1, 1, 3, Milliseconds(1000)), "fail=1")));
    BOOST_REQUIRE(site.runUntil([&] { return runningIn(site, firstCentre) == 3; }, Milliseconds(2000)));
    const TimePoint since = evacuateFirst(site);
    site.evacuate(thirdCentre, false);
    BOOST_TEST(
        site.runUntil([&] { return site.phaseOf(batchJob(1).id) == JobPhase::Completed; }, Milliseconds(10'000)));
    BOOST_TEST(site.judge().startsOf({ { batchJob(1).id, 0, 0 }, 0 }) == 2U);
    BOOST_TEST(wasSparedAfter(site, firstCentre, since, noticeTime));
    requireNoViolations(site);
}

/** Guards against a gang that is placed partly in the data centre when the others are too small for it. */
BOOST_AUTO_TEST_CASE(gangTooLargeForTheOthersWaits)
{
    VirtualSite site(threeCentres());
    site.run(startTime);
    const TimePoint since = evacuateFirst(site);
    JobSpec gang = gangJob(1, 8);
    gang.steps.front().need.processors = Millicores(8000);
    BOOST_REQUIRE(site.submit(gang));
    site.run(Milliseconds(8000));
    BOOST_TEST(!site.judge().hasBegun(gang.id));
    BOOST_TEST(wasSparedAfter(site, firstCentre, since, noticeTime));
    site.evacuate(firstCentre, false);
    BOOST_TEST(site.runUntil([&] { return site.phaseOf(gang.id) == JobPhase::Completed; }, Milliseconds(10'000)));
    requireNoViolations(site);
}

/** Guards against a long-running task that returns to the worker it was lost on, and against one that stays away. */
BOOST_AUTO_TEST_CASE(longRunningTasksRestartElsewhere)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        VirtualSite site(threeCentres(seed));
        site.run(startTime);
        const JobSpec lasting = lastingJob(1, 6);
        BOOST_REQUIRE(site.submit(lasting));
        site.run(Milliseconds(2000));
        BOOST_REQUIRE(runningIn(site, firstCentre) > 0U);
        const TimePoint since = evacuateFirst(site);
        for (const char *const worker : { "w0", "w1", "w2" }) {
            site.crashWorker(WorkerId(worker), false);
            site.after(Milliseconds(300), [&site, worker] { site.restartWorker(WorkerId(worker)); });
        }
        site.run(Milliseconds(12'000));
        for (std::uint32_t index = 0; index < 6; ++index) {
            BOOST_TEST(site.isRunning({ { lasting.id, 0, 0 }, index }), "seed " << seed << ", task " << index);
        }
        BOOST_TEST(wasSparedAfter(site, firstCentre, since, noticeTime));
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
}

/** Guards against fillers there: their placement counts capacity in another way. */
BOOST_AUTO_TEST_CASE(fillersGoElsewhere)
{
    VirtualSite site(threeCentres());
    site.run(startTime);
    const TimePoint since = evacuateFirst(site);
    JobSpec fillers = batchJob(1, 2, 30, Milliseconds(500));
    for (StepSpec &step : fillers.steps) {
        step.isFiller = true;
    }
    BOOST_REQUIRE(site.submit(fillers));
    BOOST_TEST(site.runUntil([&] { return site.phaseOf(fillers.id) == JobPhase::Completed; }, Milliseconds(20'000)));
    BOOST_TEST(wasSparedAfter(site, firstCentre, since, noticeTime));
    requireNoViolations(site);
}

/** Guards against starts whose placement was decided before the key and is recorded after it. */
BOOST_AUTO_TEST_CASE(placementsBeingCommittedAreDropped)
{
    std::size_t dropped = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        VirtualSite site(threeCentres(seed));
        site.record(true);
        site.run(startTime);
        openConnections(site);
        site.setStoreDelay(Milliseconds(200));
        placeWithoutCommit(site, fillingJob(1));
        site.run(Milliseconds(static_cast<std::int64_t>(seed) * 15));
        const TimePoint since = evacuateFirst(site);
        site.setStoreDelay(Milliseconds(4));
        BOOST_TEST(site.runUntil([&] { return site.phaseOf(batchJob(1).id) == JobPhase::Completed; }, settleTime));
        dropped += linesOf(site, events::runLost, "reason=evacuated").size();
        BOOST_TEST(site.countOf("starts_evacuated") == linesOf(site, events::runLost, "reason=evacuated").size());
        BOOST_TEST(wasSparedAfter(site, firstCentre, since, noticeTime), "seed " << seed);
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
    BOOST_TEST(dropped > 0U);
}

/** Guards against gangs that start without the members whose placements were dropped, and never run. */
BOOST_AUTO_TEST_CASE(gangWithADroppedMemberRunsElsewhere)
{
    std::size_t dropped = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        VirtualSite site(threeCentres(seed));
        site.record(true);
        site.run(startTime);
        openConnections(site);
        site.setStoreDelay(Milliseconds(200));
        JobSpec gang = gangJob(1, 9);
        gang.steps.front().need.processors = Millicores(4000);
        placeWithoutCommit(site, gang);
        site.run(Milliseconds(static_cast<std::int64_t>(seed) * 15));
        const TimePoint since = evacuateFirst(site);
        site.setStoreDelay(Milliseconds(4));
        BOOST_TEST(site.runUntil([&] { return site.phaseOf(gang.id) == JobPhase::Completed; }, settleTime));
        dropped += linesOf(site, events::runLost, "reason=evacuated").size();
        BOOST_TEST(wasSparedAfter(site, firstCentre, since, noticeTime), "seed " << seed);
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
    BOOST_TEST(dropped > 0U);
}

/**
 * Guards against starts that are held for want of a connection and sent once there is one. The first start for each
 * worker is held for a few milliseconds; the key is written at each of them.
 */
BOOST_AUTO_TEST_CASE(heldStartsAreDropped)
{
    std::size_t droppedWhileHeld = 0;
    for (int offset = 0; offset <= 60; ++offset) {
        VirtualSite site(threeCentres());
        site.record(true);
        site.run(startTime);
        site.send(site.hosts().front(), SubmitJob { std::make_shared<const JobSpec>(fillingJob(1)) });
        site.run(Milliseconds(offset));
        site.evacuate(firstCentre, true);
        BOOST_REQUIRE(site.runUntil([&] { return site.logCount(events::evacuationBegun) == 1; }, Milliseconds(2000)));
        const TimePoint known = site.now();
        site.run(settleTime);
        // Orders on the way at that time arrive within the network's latency.
        BOOST_TEST(wasSparedAfter(site, firstCentre, known, Milliseconds(4)), "offset " << offset);
        for (const std::string &line : linesOf(site, events::runLost, "reason=evacuated")) {
            const std::string run = "task=" + fieldOf(line, "task") + " run=" + fieldOf(line, "run") + " ";
            droppedWhileHeld += linesOf(site, events::startHeld, run).size();
        }
        BOOST_TEST((site.phaseOf(batchJob(1).id) == JobPhase::Completed));
        requireNoViolations(site, "offset " + std::to_string(offset));
    }
    BOOST_TEST(droppedWhileHeld > 0U);
}

/** Guards against a new writer that starts tasks by what it has inherited before it knows of the evacuation. */
BOOST_AUTO_TEST_CASE(writerIsKilledOrHandsOver)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        VirtualSite site(threeCentres(seed));
        site.run(startTime);
        Feed feed(site);
        const HostId writer = requireWriter(site);
        feed.avoid(writer);
        feed.run(Milliseconds(1000));
        const TimePoint since = site.now();
        site.evacuate(firstCentre, true);
        site.run(Milliseconds(static_cast<std::int64_t>(seed) * 3));
        if (seed % 2 == 0) {
            site.killHost(writer);
        } else {
            site.stopHost(writer);
        }
        site.after(Milliseconds(3000), [&site, writer] { site.restartHost(writer); });
        feed.run(Milliseconds(8000));
        BOOST_TEST(wasSparedAfter(site, firstCentre, since, Milliseconds(60)), "seed " << seed);
        BOOST_TEST(site.logCount(events::shardActive) > 1U);
        feed.requireAllCompleted();
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
}

/** Guards against a new writer that takes a list that it couldn't read for an empty one. */
BOOST_AUTO_TEST_CASE(newWriterPlacesNothingBeforeItHasReadTheList)
{
    VirtualSite site(threeCentres());
    site.run(startTime);
    site.evacuate(firstCentre, true);
    site.silencePrefix(virtualEvacuationPrefix, true);
    site.killHost(requireWriter(site));
    site.run(Milliseconds(1500));
    requireWriter(site);
    BOOST_REQUIRE(site.submit(batchJob(1)));
    site.run(Milliseconds(6000));
    BOOST_TEST(!site.judge().hasBegun(batchJob(1).id));
    site.silencePrefix(virtualEvacuationPrefix, false);
    BOOST_TEST(site.runUntil([&] { return site.phaseOf(batchJob(1).id) == JobPhase::Completed; }, Milliseconds(5000)));
    BOOST_TEST(!site.judge().lastStartOrderIn(firstCentre).has_value());
    requireNoViolations(site);
}

/**
 * Guards against a writer that goes on where it was paused: its placements are recorded, and what it knows of
 * evacuations is old, also where an answer that came during the pause is handled late. There is no other host.
 */
BOOST_AUTO_TEST_CASE(pausedWriterReadsTheListBeforeItGoesOn)
{
    std::size_t stale = 0;
    for (const int pause : { 300, 900, 2500, 4000, 5500, 7000, 9000 }) {
        for (std::uint64_t phase = 0; phase < 12; ++phase) {
            VirtualSiteOptions options = threeCentres(phase + 1);
            options.hosts = 1;
            VirtualSite site(options);
            site.run(startTime + Milliseconds(static_cast<std::int64_t>(phase) * 90));
            if (phase % 3 != 0) {
                openConnections(site);
            }
            site.setStoreDelay(Milliseconds(phase % 2 == 0 ? 20 : 400));
            placeWithoutCommit(site, fillingJob(1));
            const HostId writer = requireWriter(site);
            site.pauseHost(writer);
            // The watch that is pending has ended by then, and its answer tells of nothing.
            site.run(Milliseconds(std::min(pause, 1600)));
            site.setStoreDelay(Milliseconds(4));
            site.evacuate(firstCentre, true);
            site.run(Milliseconds(std::max(pause - 1600, 0)));
            site.resumeHost(writer);
            site.run(settleTime);
            const std::string context = "pause " + std::to_string(pause) + ", phase " + std::to_string(phase);
            requireNoViolations(site, context);
            BOOST_TEST((site.phaseOf(fillingJob(1).id) == JobPhase::Completed), context);
            stale += site.logCount(events::evacuationListStale);
        }
    }
    BOOST_TEST(stale > 0U);
}

/** Guards against deferred starts that are forgotten when an old listing ends and only watches follow it. */
BOOST_AUTO_TEST_CASE(startsAreSentAfterAPauseWithoutAnEvacuation)
{
    for (std::int64_t offset = 0; offset < 60; offset += 2) {
        VirtualSiteOptions options = threeCentres(static_cast<std::uint64_t>(offset) + 1);
        options.hosts = 1;
        VirtualSite site(options);
        site.run(startTime + Milliseconds(offset * 30));
        BOOST_REQUIRE(site.submit(batchJob(1, 3, 6)));
        site.run(Milliseconds(offset * 10));
        site.pauseHost(site.hosts().front());
        site.run(Milliseconds(4500));
        site.resumeHost(site.hosts().front());
        BOOST_TEST(
            site.runUntil([&] { return site.phaseOf(batchJob(1).id) == JobPhase::Completed; }, Milliseconds(12'000)),
            "offset " << offset);
        requireNoViolations(site, "offset " + std::to_string(offset));
    }
}

/** Guards against a writer that starts by an old list when it, or its host alone, is cut from the store. */
BOOST_AUTO_TEST_CASE(writerIsCutFromTheStore)
{
    for (const StoreFault fault : { StoreFault::Silent, StoreFault::Refusing }) {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            VirtualSite site(threeCentres(seed));
            site.run(startTime);
            Feed feed(site);
            feed.run(Milliseconds(1000));
            const HostId writer = requireWriter(site);
            site.setStoreFault(writer, fault);
            site.run(Milliseconds(static_cast<std::int64_t>(seed) * 40));
            site.evacuate(firstCentre, true);
            feed.run(Milliseconds(8000));
            site.setStoreFault(writer, StoreFault::None);
            feed.run(Milliseconds(3000));
            feed.requireAllCompleted();
            requireNoViolations(site, "seed " + std::to_string(seed));
        }
    }
}

/** Guards against a key that is missed as the store never answers the writer's watches. */
BOOST_AUTO_TEST_CASE(watchesAreNeverAnswered)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        VirtualSite site(threeCentres(seed));
        site.run(startTime + Milliseconds(static_cast<std::int64_t>(seed) * 370));
        setStoreFaultForAll(site, StoreFault::WatchesSilent);
        Feed feed(site);
        feed.run(Milliseconds(3000));
        const TimePoint since = site.now();
        site.evacuate(firstCentre, true);
        feed.run(Milliseconds(8000));
        // The watch may have begun just before the key was written; the list follows at the latest 2 s later.
        BOOST_TEST(wasSparedAfter(site, firstCentre, since, Milliseconds(2000) + noticeTime), "seed " << seed);
        feed.requireAllCompleted();
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
}

/** Guards against a key that is missed as the watch that would report it is cut, or left alone. */
BOOST_AUTO_TEST_CASE(watchIsCutOrDroppedAsTheKeyIsWritten)
{
    for (const bool isCut : { true, false }) {
        for (const bool isCompacted : { true, false }) {
            for (std::uint64_t seed = 1; seed <= 4; ++seed) {
                VirtualSite site(threeCentres(seed));
                site.run(startTime + Milliseconds(static_cast<std::int64_t>(seed) * 370));
                Feed feed(site);
                feed.run(Milliseconds(1000));
                site.setWatchesDeaf(true);
                const TimePoint since = site.now();
                site.evacuate(firstCentre, true);
                feed.run(Milliseconds(500));
                if (isCut) {
                    site.cutWatches();
                } else {
                    site.dropWatches();
                }
                if (isCompacted) {
                    site.store().compact();
                }
                site.setWatchesDeaf(false);
                feed.run(Milliseconds(8000));
                BOOST_TEST(wasSparedAfter(site, firstCentre, since, Milliseconds(2000) + noticeTime));
                feed.requireAllCompleted();
                requireNoViolations(site, "seed " + std::to_string(seed));
            }
        }
    }
}

/** Guards against a key that lies in history which the store has discarded behind a watch that saw no change. */
BOOST_AUTO_TEST_CASE(historyIsDiscarded)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        VirtualSite site(threeCentres(seed));
        site.run(startTime + Milliseconds(static_cast<std::int64_t>(seed) * 370));
        Feed feed(site);
        site.store().holdWatches(true);
        const TimePoint since = site.now();
        site.evacuate(firstCentre, true);
        feed.run(Milliseconds(1500));
        site.store().compact();
        site.store().holdWatches(false);
        feed.run(Milliseconds(8000));
        BOOST_TEST(wasSparedAfter(site, firstCentre, since, Milliseconds(1500 + 2000) + noticeTime));
        BOOST_TEST(site.logCount(events::watchHistoryGone) > 0U);
        feed.requireAllCompleted();
        requireNoViolations(site, "seed " + std::to_string(seed));
    }
}

/** Guards against starts by the old list after an outage of the store, and against work that isn't taken up again. */
BOOST_AUTO_TEST_CASE(storeIsOutAsTheKeyIsWrittenOrRemoved)
{
    for (const StoreFault fault : { StoreFault::Silent, StoreFault::Refusing }) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            VirtualSite site(threeCentres(seed));
            site.run(startTime);
            Feed feed(site);
            feed.run(Milliseconds(1000));
            site.evacuate(firstCentre, true);
            feed.run(Milliseconds(static_cast<std::int64_t>(seed) * 50));
            setStoreFaultForAll(site, fault);
            feed.run(Milliseconds(3000));
            site.evacuate(secondCentre, true);
            site.judge().noteStoreOutage(site.now() + Milliseconds(4000));
            feed.run(Milliseconds(4000));
            setStoreFaultForAll(site, StoreFault::None);
            feed.run(Milliseconds(7000));
            setStoreFaultForAll(site, fault);
            feed.run(Milliseconds(1000));
            site.evacuate(firstCentre, false);
            site.evacuate(secondCentre, false);
            feed.run(Milliseconds(3000));
            const TimePoint end = site.now();
            setStoreFaultForAll(site, StoreFault::None);
            feed.run(Milliseconds(6000));
            BOOST_TEST(!wasSparedAfter(site, firstCentre, end, Milliseconds(0)));
            BOOST_TEST(!wasSparedAfter(site, secondCentre, end, Milliseconds(0)));
            feed.requireAllCompleted();
            requireNoViolations(site, "seed " + std::to_string(seed));
        }
    }
}

/** Guards against starts that stop for good while the store is slow, and against old lists in that time. */
BOOST_AUTO_TEST_CASE(storeIsSlow)
{
    VirtualSite site(threeCentres());
    site.run(startTime);
    site.setStoreDelay(Milliseconds(700));
    Feed feed(site);
    const TimePoint since = site.now();
    site.evacuate(firstCentre, true);
    feed.run(Milliseconds(10'000));
    BOOST_TEST(site.judge().starts() > 0U);
    site.setStoreDelay(Milliseconds(4));
    BOOST_TEST(wasSparedAfter(site, firstCentre, since, Milliseconds(5000)));
    feed.requireAllCompleted();
    requireNoViolations(site);
}

/** Guards against a key that matches no worker having any effect, and against a line that hides the mistake. */
BOOST_AUTO_TEST_CASE(unknownDataCentreHasNoEffect)
{
    VirtualSite site(threeCentres());
    site.record(true);
    site.run(startTime);
    site.evacuate(DataCentreId("nowhere"), true);
    site.evacuate(DataCentreId(""), true);
    site.run(noticeTime);
    const TimePoint since = site.now();
    BOOST_REQUIRE(site.submit(batchJob(1, 1, 36)));
    BOOST_TEST(site.runUntil([&] { return site.phaseOf(batchJob(1).id) == JobPhase::Completed; }, settleTime));
    BOOST_TEST(!wasSparedAfter(site, firstCentre, since, Milliseconds(0)));
    const std::vector<std::string> begun = linesOf(site, events::evacuationBegun, "zone=nowhere");
    BOOST_REQUIRE(begun.size() == 1U);
    BOOST_TEST(fieldOf(begun.front(), "workers") == "0");
    requireNoViolations(site);
}

/** Guards against refusals and lost work when there is no place at all for a while. */
BOOST_AUTO_TEST_CASE(tasksWaitWhileAllDataCentresAreEvacuated)
{
    for (const std::vector<DataCentreId> &evacuated :
         { std::vector { firstCentre, secondCentre }, std::vector { firstCentre, secondCentre, thirdCentre } }) {
        VirtualSite site(threeCentres());
        site.run(startTime);
        Feed feed(site);
        feed.run(Milliseconds(1000));
        const TimePoint since = site.now();
        for (const DataCentreId &dataCentre : evacuated) {
            site.evacuate(dataCentre, true);
        }
        const std::size_t before = site.calls().size();
        feed.run(Milliseconds(12'000));
        site.run(Milliseconds(500));
        for (std::size_t index = before; index < site.calls().size(); ++index) {
            const auto &answer = site.calls()[index].answer;
            BOOST_TEST((answer && answer->outcome == CallOutcome::Accepted));
        }
        for (const DataCentreId &dataCentre : evacuated) {
            BOOST_TEST(wasSparedAfter(site, dataCentre, since, noticeTime));
            site.evacuate(dataCentre, false);
        }
        feed.requireAllCompleted();
        requireNoViolations(site);
    }
}

/** Guards against an old state that outlives the newest one when the key changes quickly. */
BOOST_AUTO_TEST_CASE(newestStateOfTheKeyApplies)
{
    for (int gap = 0; gap <= 12; gap += 3) {
        VirtualSite site(threeCentres());
        site.run(startTime);
        Feed feed(site);
        site.evacuate(firstCentre, true);
        site.run(Milliseconds(gap));
        site.evacuate(firstCentre, false);
        site.run(Milliseconds(gap));
        const TimePoint since = site.now();
        site.evacuate(firstCentre, true);
        feed.run(Milliseconds(3000));
        BOOST_TEST(wasSparedAfter(site, firstCentre, since, noticeTime), "gap " << gap);
        // Written again while it exists: the same evacuation.
        site.store().put(virtualEvacuationPrefix + firstCentre.value(), "{}");
        feed.run(Milliseconds(2000));
        BOOST_TEST(wasSparedAfter(site, firstCentre, since, noticeTime), "gap " << gap);
        site.evacuate(firstCentre, false);
        site.run(Milliseconds(gap));
        site.evacuate(firstCentre, true);
        site.run(Milliseconds(gap));
        const TimePoint end = site.now();
        site.evacuate(firstCentre, false);
        feed.run(Milliseconds(3000));
        BOOST_TEST(!wasSparedAfter(site, firstCentre, end, noticeTime), "gap " << gap);
        feed.requireAllCompleted();
        requireNoViolations(site, "gap " + std::to_string(gap));
    }
}

/** Guards against work that is stopped or moved although only new starts are unwanted. */
BOOST_AUTO_TEST_CASE(runningWorkGoesOn)
{
    VirtualSite site(threeCentres());
    site.record(true);
    site.run(startTime);
    const JobSpec batch = batchJob(1, 1, 18, Milliseconds(9000), Millicores(2000));
    const JobSpec lasting = lastingJob(2, 9);
    BOOST_REQUIRE(site.submit(batch));
    BOOST_REQUIRE(site.submit(lasting));
    site.run(Milliseconds(2000));
    BOOST_REQUIRE(runningIn(site, firstCentre) > 0U);
    evacuateFirst(site);
    BOOST_REQUIRE(site.submit(batchJob(3)));
    site.run(Milliseconds(15'000));
    BOOST_TEST((site.phaseOf(batch.id) == JobPhase::Completed));
    for (std::uint32_t index = 0; index < 18; ++index) {
        BOOST_TEST(site.judge().startsOf({ { batch.id, 0, 0 }, index }) == 1U);
    }
    for (std::uint32_t index = 0; index < 9; ++index) {
        BOOST_TEST(site.judge().startsOf({ { lasting.id, 0, 0 }, index }) == 1U);
        BOOST_TEST(site.isRunning({ { lasting.id, 0, 0 }, index }));
    }
    // Stops still reach the workers there.
    site.send(requireWriter(site), CancelJob { lasting.id });
    site.run(Milliseconds(2000));
    BOOST_TEST(runningIn(site, firstCentre) == 0U);
    requireNoViolations(site);
}

/** Guards against waits for a rack that can't take anything, and for the rack of tasks that run there already. */
BOOST_AUTO_TEST_CASE(evacuatedRackIsNotWaitedFor)
{
    for (const bool isGang : { false, true }) {
        VirtualSite site(threeCentres());
        site.run(startTime);
        evacuateFirst(site);
        const TimePoint sentAt = site.now();
        const JobSpec job =
            onRack(isGang ? gangJob(1) : batchJob(1, 1, 2, Milliseconds(3000)), "r0", Milliseconds(3000));
        BOOST_REQUIRE(site.submit(job));
        BOOST_TEST(site.runUntil([&] { return site.judge().hasBegun(job.id); }, Milliseconds(2000)));
        // The wait would last for the estimate, 3 s.
        BOOST_TEST((site.now() - sentAt < Milliseconds(300)));
        requireNoViolations(site);
    }
}

/** Guards against waits that are given up for racks that aren't evacuated. */
BOOST_AUTO_TEST_CASE(otherRacksAreStillWaitedFor)
{
    VirtualSite site(threeCentres());
    site.run(startTime);
    evacuateFirst(site);
    BOOST_REQUIRE(site.submit(onRack(batchJob(1, 1, 3, Milliseconds(1500), Millicores(8000)), "r1", Milliseconds(0))));
    site.run(Milliseconds(200));
    const JobSpec waits = onRack(batchJob(2, 1, 1, Milliseconds(500)), "r1", Milliseconds(3000));
    BOOST_REQUIRE(site.submit(waits));
    site.run(Milliseconds(800));
    BOOST_TEST(!site.judge().hasBegun(waits.id));
    const TaskRef task { { waits.id, 0, 0 }, 0 };
    BOOST_REQUIRE(site.runUntil([&] { return site.isRunning(task); }, Milliseconds(3000)));
    BOOST_TEST(isIn(site, *workerOf(site, task), secondCentre));
    requireNoViolations(site);
}

/** Guards against an operator who can't see when the data centre is clear, and against lines for each pass. */
BOOST_AUTO_TEST_CASE(beginDrainAndEndAreLoggedOnce)
{
    VirtualSite site(threeCentres());
    site.record(true);
    site.run(startTime);
    BOOST_REQUIRE(site.submit(batchJob(1, 1, 9, Milliseconds(4000), Millicores(8000))));
    BOOST_REQUIRE(site.submit(lastingJob(2, 1)));
    site.run(Milliseconds(1000));
    const std::size_t running = runningIn(site, firstCentre);
    BOOST_REQUIRE(running > 0U);
    evacuateFirst(site);
    site.run(Milliseconds(9000));
    site.evacuate(firstCentre, false);
    site.run(Milliseconds(2000));
    const std::vector<std::string> begun = linesOf(site, events::evacuationBegun, "zone=dc0");
    BOOST_REQUIRE(begun.size() == 1U);
    BOOST_TEST(fieldOf(begun.front(), "workers") == "3");
    BOOST_TEST(site.countOf("evacuations_begun") == 1U);
    BOOST_TEST(site.countOf("evacuations_ended") == 1U);
    BOOST_TEST(fieldOf(begun.front(), "runs") == std::to_string(running));
    BOOST_TEST(!fieldOf(begun.front(), "revision").empty());
    const std::vector<std::string> drained = linesOf(site, events::evacuationDrained, "zone=dc0");
    BOOST_REQUIRE(drained.size() == 1U);
    const int drainedAfter = std::stoi(fieldOf(drained.front(), "after_ms"));
    BOOST_TEST(drainedAfter > 2000);
    BOOST_TEST(drainedAfter < 5000);
    const std::vector<std::string> ended = linesOf(site, events::evacuationEnded, "zone=dc0");
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(std::abs(std::stoi(fieldOf(ended.front(), "after_ms")) - 9000) < 100);
    requireNoViolations(site);
}

/** Guards against calls and effects on deployments that have no evacuations. */
BOOST_AUTO_TEST_CASE(deploymentWithoutTheSettingDoesNotWatchThePrefix)
{
    VirtualSiteOptions options = threeCentres();
    options.hasEvacuations = false;
    VirtualSite site(options);
    site.store().put(virtualEvacuationPrefix + firstCentre.value(), "{}");
    site.run(startTime);
    const TimePoint since = site.now();
    BOOST_REQUIRE(site.submit(batchJob(1, 1, 36)));
    BOOST_TEST(site.runUntil([&] { return site.phaseOf(batchJob(1).id) == JobPhase::Completed; }, settleTime));
    BOOST_TEST(!wasSparedAfter(site, firstCentre, since, Milliseconds(0)));
    BOOST_TEST(site.readsOf(virtualEvacuationPrefix) == 0U);
    BOOST_TEST(site.readsOf({}) > 0U);
}

/** Guards against watches by hosts that start nothing, and against a listing for each pass. */
BOOST_AUTO_TEST_CASE(onlyTheWriterWatchesThePrefix)
{
    VirtualSite site(threeCentres());
    site.run(startTime);
    const std::size_t before = site.readsOf(virtualEvacuationPrefix);
    Feed feed(site);
    feed.run(Milliseconds(20'000));
    // A watch of 1 s after the other.
    BOOST_TEST(site.readsOf(virtualEvacuationPrefix) - before <= 21U);
    BOOST_TEST(site.logCount(events::evacuationListStale) == 0U);
}

/** Guards against a listing or a watch whose answer waited in a paused process and passes for new. */
BOOST_AUTO_TEST_CASE(answerThatIsHandledLateIsOld)
{
    ListFixture fixture;
    BOOST_TEST(!fixture.list().isSynced());
    fixture.pass(Milliseconds(3500));
    fixture.answer(replyOf({ keyOf("dc0", 5) }, 5));
    BOOST_TEST(fixture.list().isEvacuated(firstCentre));
    BOOST_TEST(!fixture.list().isSynced());
    BOOST_TEST(!fixture.list().confirm());
    BOOST_TEST(fixture.isNewestCallAList());
    // The answer to the watch that the new listing has replaced.
    fixture.answer(replyOf({}, 6));
    BOOST_TEST(!fixture.list().isSynced());
    fixture.answer(replyOf({}, 7));
    BOOST_TEST(fixture.list().confirm());
    BOOST_TEST(!fixture.list().isEvacuated(firstCentre));
    BOOST_TEST(fixture.changes() == 2);
    fixture.pass(Milliseconds(3001));
    fixture.answer(replyOf({}, 7));
    BOOST_TEST(!fixture.list().isSynced());
}

/** Guards against a call to the store in each placement pass while the store doesn't answer. */
BOOST_AUTO_TEST_CASE(oldListIsRequestedAtLimitedIntervals)
{
    ListFixture fixture;
    fixture.answer(replyOf({}, 5));
    fixture.pass(Milliseconds(3100));
    BOOST_TEST(fixture.pendingCalls() == 1U);
    for (int pass = 0; pass < 50; ++pass) {
        BOOST_TEST(!fixture.list().confirm());
        fixture.pass(Milliseconds(20));
    }
    BOOST_TEST(fixture.pendingCalls() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
