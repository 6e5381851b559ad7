#include "jobevents.h"
#include "provenauthority.h"
#include "virtualjobs.h"
#include "virtualsite.h"
#include "workerlink.h"

#include <deque>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr WorkerLife workerLife { 7 };
constexpr WorkerChannel workerChannel { 3 };
constexpr Milliseconds startTime { 1500 };

RunRef runOf(std::uint32_t index)
{
    return { { { JobId("0000000000000001"), 0, 0 }, index }, RunNumber(1) };
}

/** A link to a worker whose answers the test gives. */
class AnsweredLink
{
public:
    AnsweredLink()
        : m_context(1, makeDriver())
        , m_link(makeEntry(), WriterToken(1), WorkerTiming {}, TimePoint(Milliseconds(1'000'000)), m_context,
                 makeHandlers())
    {
        advance(Milliseconds(1'000'000));
    }

    WorkerLink &link()
    {
        return m_link;
    }

    void advance(Milliseconds by)
    {
        m_now += by;
        m_context.advance(m_now, WallTime(m_now.time_since_epoch().count()));
    }

    /** Answers the poll under way. */
    void answerPoll(std::vector<RunRef> running, std::vector<EndedRow> ended, ListExtent extent)
    {
        WorkerAnswer answer = answerNow();
        for (RunRef &run : running) {
            answer.running.push_back({ std::move(run), {}, 0, 0 });
        }
        answer.ended = std::move(ended);
        answer.extent = extent;
        take<PollOrder>()(answer);
    }

    void answerStart()
    {
        take<StartOrder>()(answerNow());
    }

    void loseStart()
    {
        take<StartOrder>()(tl::unexpected(WorkerRefusal { WorkerFailure::Unknown, {} }));
    }

    void answerStop()
    {
        take<StopOrder>()(answerNow());
    }

    /** The latest poll, which is under way. */
    [[nodiscard]] const PollOrder &poll() const
    {
        return std::get<PollOrder>(m_calls.back().first);
    }

    [[nodiscard]] const std::vector<RunRef> &lost() const
    {
        return m_lost;
    }

    [[nodiscard]] const std::vector<RunRef> &ended() const
    {
        return m_ended;
    }

    /** The position after the new ends of the latest answer. */
    void start(const RunRef &run)
    {
        m_link.start(run, *m_authority.grantStart(), {}, {}, {});
    }

    [[nodiscard]] const std::optional<EndCursor> &newEnds() const
    {
        return m_newEnds;
    }

private:
    [[nodiscard]] WorkerAnswer answerNow() const
    {
        WorkerAnswer answer;
        answer.clock = WorkerTime(m_now.time_since_epoch().count());
        answer.life = workerLife;
        answer.channel = workerChannel;
        return answer;
    }

    static WorkerEntry makeEntry()
    {
        WorkerEntry entry;
        entry.id = WorkerId("w");
        entry.life = workerLife;
        return entry;
    }

    JobDriver makeDriver()
    {
        JobDriver driver;
        driver.readTime = [this] {
            return JobTime { m_now, WallTime(m_now.time_since_epoch().count()) };
        };
        driver.callWorker = [this](const WorkerTarget &, const WorkerOrder &order, Milliseconds,
                                   const JobDriver::WorkerHandler &then) {
            m_calls.emplace_back(order, then);
        };
        driver.log = [](const LogEvent &) {
        };
        return driver;
    }

    WorkerLink::Handlers makeHandlers()
    {
        WorkerLink::Handlers handlers;
        handlers.onEnded = [this](const LiveRun &run, ReportedEnd, const CheckpointId &) {
            m_ended.push_back(run.ref);
        };
        handlers.onLost = [this](const LiveRun &run, std::string_view) {
            m_lost.push_back(run.ref);
        };
        handlers.onStarted = [](const LiveRun &) {
        };
        handlers.onUnsettled = [](const LiveRun &) {
        };
        handlers.onPolled = [this](const std::optional<EndCursor> &cursor) {
            m_newEnds = cursor;
        };
        handlers.onReachability = [] {
        };
        handlers.describeRun = [](const TaskRef &) {
            return std::shared_ptr<const StepSpec>();
        };
        handlers.grantLease = [this] {
            return m_authority.grantLease();
        };
        return handlers;
    }

    template<typename Order>
    JobDriver::WorkerHandler take()
    {
        const auto call = std::ranges::find_if(
            m_calls, [](const auto &pending) { return std::holds_alternative<Order>(pending.first); });
        BOOST_REQUIRE((call != m_calls.end()));
        JobDriver::WorkerHandler then = call->second;
        m_calls.erase(call);
        return then;
    }

    TimePoint m_now {};
    LeaseAuthority m_authority = provenAuthority([this] { return m_now; });
    std::deque<std::pair<WorkerOrder, JobDriver::WorkerHandler>> m_calls;
    JobContext m_context;
    std::vector<RunRef> m_lost;
    std::vector<RunRef> m_ended;
    std::optional<EndCursor> m_newEnds;
    WorkerLink m_link;
};

LiveRun placedRun(std::uint32_t index)
{
    LiveRun run;
    run.ref = runOf(index);
    run.step = std::make_shared<const StepSpec>();
    return run;
}

/** Brings a run into a phase in which a complete answer without it proves that it isn't running. */
struct PhaseCase
{
    const char *name;
    std::function<void(AnsweredLink &worker)> prepare;
};

const std::vector<PhaseCase> &absentPhases()
{
    const auto place = [](AnsweredLink &worker) {
        worker.link().begin();
        worker.answerPoll({}, {}, ListExtent::Complete);
        worker.link().reserve(placedRun(0));
        worker.start(runOf(0));
    };
    static const std::vector<PhaseCase> cases {
        { "inherited",
          [](AnsweredLink &worker) {
              worker.link().inherit(placedRun(0));
              worker.link().begin();
          } },
        { "unsettled",
          [place](AnsweredLink &worker) {
              place(worker);
              worker.loseStart();
              worker.advance(Milliseconds(2000));
              worker.answerPoll({}, {}, ListExtent::Partial);
          } },
        { "running",
          [place](AnsweredLink &worker) {
              place(worker);
              worker.answerStart();
              worker.advance(Milliseconds(10));
              worker.answerPoll({ runOf(0) }, {}, ListExtent::Complete);
          } },
        { "stopping",
          [place](AnsweredLink &worker) {
              place(worker);
              worker.answerStart();
              worker.link().stop(runOf(0));
              worker.answerStop();
              worker.advance(Milliseconds(10));
              worker.answerPoll({ runOf(0) }, {}, ListExtent::Complete);
          } },
    };
    return cases;
}

EndedRow endOf(std::uint64_t number, std::uint32_t index)
{
    return { EndNumber(number), runOf(index), ReportedEnd::Done, {} };
}

/** Kinds of tasks that may end together. */
struct EndingKind
{
    const char *name;
    std::function<void(JobSpec &job)> apply;
    /** Whether copies of its tasks may run. */
    bool hasCopies = false;
};

const std::vector<EndingKind> &endingKinds()
{
    static const std::vector<EndingKind> kinds {
        { "plain tasks",
          [](JobSpec &) {
          } },
        { "fillers",
          [](JobSpec &job) {
              job.steps.front().isFiller = true;
          } },
        { "copied tasks", [](JobSpec &job) { job.steps.front().mayRunCopies = true; }, true },
        { "a gang",
          [](JobSpec &job) {
              job.steps.front().isGang = true;
              job.payload += " gang=" + std::to_string(job.steps.front().count);
          } },
    };
    return kinds;
}

/** Many small tasks that end at the same time. */
JobSpec jobEndingTogether(std::uint64_t number, std::uint32_t width)
{
    JobSpec spec = batchJob(number, 1, width, Milliseconds(4000), Millicores(50));
    spec.steps.front().need.memory = Mebibytes(10);
    return spec;
}

/** What happens around the moment at which the tasks end. */
struct EndingCase
{
    const char *name;
    std::function<void(VirtualSite &site)> begin;
    std::function<void(VirtualSite &site)> end;
    Milliseconds duration { 1000 };
    /** Whether leases expire in between, so that tasks may run again. */
    bool mayRunAgain = false;
};

void setStoreFaultOnAll(VirtualSite &site, StoreFault fault)
{
    for (const HostId &host : site.hosts()) {
        site.setStoreFault(host, fault);
    }
}

void isolateAll(VirtualSite &site, bool isIsolated)
{
    for (const WorkerId &worker : site.workers()) {
        site.isolateWorker(worker, isIsolated);
    }
}

const std::vector<EndingCase> &endingCases()
{
    const auto nothing = [](VirtualSite &) {
    };
    const auto restart = [](VirtualSite &site) {
        for (const HostId &host : site.hosts()) {
            if (!site.isAlive(host)) {
                site.restartHost(host);
            }
        }
    };
    const auto isolate = [](VirtualSite &site) {
        isolateAll(site, true);
    };
    const auto rejoin = [](VirtualSite &site) {
        isolateAll(site, false);
    };
    const auto refuse = [](VirtualSite &site) {
        setStoreFaultOnAll(site, StoreFault::Refusing);
    };
    const auto serve = [](VirtualSite &site) {
        setStoreFaultOnAll(site, StoreFault::None);
    };
    static const std::vector<EndingCase> cases {
        { "calm", nothing, nothing },
        { "store refuses", refuse, serve, Milliseconds(4500) },
        { "store refuses, and the writer is killed as it returns", refuse,
          [serve](VirtualSite &site) {
              serve(site);
              if (const std::optional<HostId> writer = site.writer()) {
                  site.killHost(*writer);
              }
          },
          Milliseconds(4500) },
        { "writer killed", [](VirtualSite &site) { site.killHost(site.writer().value()); }, restart },
        { "writer stopped", [](VirtualSite &site) { site.stopHost(site.writer().value()); }, restart },
        { "workers cut off within their leases", isolate, rejoin },
        { "workers cut off past their leases", isolate, rejoin, Milliseconds(9000), true },
        { "store's replies lost", [](VirtualSite &site) { site.loseStoreReplies(0.5); },
          [](VirtualSite &site) { site.loseStoreReplies(0); }, Milliseconds(3000) },
    };
    return cases;
}

constexpr std::uint32_t endingWidth = 60;

void checkEndsAcknowledged(VirtualSite &site, const std::string &name)
{
    for (const WorkerId &worker : site.workers()) {
        BOOST_TEST(!site.worker(worker).hasEnds(EndNumber(0)), name << ": " << worker.value());
    }
    for (const std::string &violation : site.judge().violations()) {
        BOOST_ERROR(name << ": " << violation);
    }
}

void playEnding(const EndingCase &row, const EndingKind &kind, std::size_t listed)
{
    const std::string name = std::string(row.name) + ", " + kind.name + ", " + std::to_string(listed) + " at a time";
    VirtualSite site({ .workers = 2, .listedEnds = listed });
    site.run(startTime);
    JobSpec job = jobEndingTogether(1, endingWidth);
    kind.apply(job);
    BOOST_REQUIRE(site.submit(job));
    BOOST_REQUIRE(site.runUntil([&site] { return site.judge().starts() == endingWidth; }, Milliseconds(3000)));
    site.run(Milliseconds(3000));
    row.begin(site);
    site.run(row.duration);
    row.end(site);
    const JobSpec next = batchJob(2);
    BOOST_TEST(site.submit(next), name);
    for (const JobId &id : { job.id, next.id }) {
        const auto isCompleted = [&site, &id] {
            return site.phaseOf(id) == JobPhase::Completed;
        };
        BOOST_TEST(site.runUntil(isCompleted, Milliseconds(30'000)), name);
    }
    site.run(Milliseconds(4000));
    const bool runsOnce = !row.mayRunAgain && !kind.hasCopies;
    for (std::uint32_t index = 0; index < endingWidth && runsOnce; ++index) {
        BOOST_TEST(site.judge().startsOf({ { job.id, 0, 0 }, index }) == 1U, name << ": task " << index);
    }
    // A run whose end isn't listed yet makes no progress, and isn't to be moved for that.
    BOOST_TEST(site.logCount(events::runMoved) == 0U, name);
    checkEndsAcknowledged(site, name);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndLists)

/** A run whose end didn't fit into the list was taken for lost, and its task run again although it had ended done. */
BOOST_AUTO_TEST_CASE(absenceProvesSomethingInCompleteListsOnly)
{
    for (const PhaseCase &row : absentPhases()) {
        AnsweredLink worker;
        row.prepare(worker);
        worker.advance(Milliseconds(10));
        worker.answerPoll({}, { endOf(1, 8), endOf(2, 9) }, ListExtent::Partial);
        BOOST_TEST(worker.lost().empty(), row.name);
        BOOST_TEST(worker.link().runs().contains(runOf(0)), row.name << ": holds its resources");
        worker.link().acknowledge(worker.newEnds().value());
        worker.answerPoll({}, { endOf(3, 0) }, ListExtent::Complete);
        BOOST_TEST((worker.ended() == std::vector { runOf(0) }), row.name);
        BOOST_TEST(worker.lost().empty(), row.name);
    }
    for (const PhaseCase &row : absentPhases()) {
        AnsweredLink worker;
        row.prepare(worker);
        worker.advance(Milliseconds(10));
        worker.answerPoll({}, {}, ListExtent::Complete);
        BOOST_TEST((worker.lost() == std::vector { runOf(0) }), row.name);
    }
}

/** Where all listed ends were of runs that the writer no longer tracked, the worker never listed the next ones. */
BOOST_AUTO_TEST_CASE(endsOfUntrackedRunsAreAcknowledged)
{
    AnsweredLink worker;
    worker.link().inherit(placedRun(0));
    worker.link().begin();
    worker.answerPoll({}, { endOf(4, 8), endOf(5, 9) }, ListExtent::Partial);
    BOOST_REQUIRE(worker.newEnds().has_value());
    BOOST_TEST(worker.newEnds()->number.value() == 5U);
    // Listed again before the acknowledgement, they aren't new.
    worker.answerPoll({}, { endOf(4, 8), endOf(5, 9) }, ListExtent::Partial);
    BOOST_TEST(!worker.newEnds().has_value());
    worker.link().acknowledge({ workerChannel, EndNumber(5) });
    BOOST_TEST(worker.poll().acknowledged.value() == 5U);
    // Left unacknowledged, such an end made the worker answer at once, again and again.
    BOOST_TEST((worker.poll().wait == WorkerTiming {}.pollWait));
    worker.answerPoll({}, { endOf(6, 0) }, ListExtent::Complete);
    BOOST_TEST((worker.ended() == std::vector { runOf(0) }));
}

/** Each task runs once and all ends are acknowledged, whatever happens while there are more than a list holds. */
BOOST_AUTO_TEST_CASE(tasksThatEndTogetherRunOnce)
{
    for (const EndingCase &row : endingCases()) {
        for (const EndingKind &kind : endingKinds()) {
            for (const std::size_t listed : { 1U, 5U, 25U }) {
                playEnding(row, kind, listed);
            }
        }
    }
}

/** A cancelled job's ends are acknowledged as well, and nothing of it starts again. */
BOOST_AUTO_TEST_CASE(endsOfCancelledJobsAreAcknowledged)
{
    VirtualSite site({ .workers = 2 });
    site.run(startTime);
    const JobSpec job = jobEndingTogether(1, endingWidth);
    BOOST_REQUIRE(site.submit(job));
    BOOST_REQUIRE(site.runUntil([&site] { return site.judge().starts() == endingWidth; }, Milliseconds(3000)));
    setStoreFaultOnAll(site, StoreFault::Refusing);
    site.run(Milliseconds(4300));
    setStoreFaultOnAll(site, StoreFault::None);
    site.send(site.writer().value(), CancelJob { job.id });
    site.run(Milliseconds(10'000));
    checkEndsAcknowledged(site, "cancelled");
    BOOST_TEST(site.judge().starts() == endingWidth);
}

/** The ends of a worker are recorded list after list, without a pause between these. */
BOOST_AUTO_TEST_CASE(manyListsAreRecordedInTime)
{
    constexpr std::uint32_t width = 2000;
    constexpr Milliseconds acknowledgementLimit { 4000 };
    const Resources capacity { Millicores(200'000), Mebibytes(50'000), AcceleratorCount(0) };
    VirtualSite site({ .workers = 1, .capacity = capacity, .listedEnds = 100 });
    site.run(startTime);
    JobSpec job = jobEndingTogether(1, width);
    job.payload = "work=6000";
    BOOST_REQUIRE(site.submit(job));
    BOOST_REQUIRE(site.runUntil([&site] { return site.judge().starts() == width; }, Milliseconds(5000)));
    const WorkerId worker = site.workers().front();
    BOOST_REQUIRE(
        site.runUntil([&site, &worker] { return site.worker(worker).runningCount() == 0; }, Milliseconds(40'000)));
    const TimePoint endedAt = site.now();
    BOOST_TEST(
        site.runUntil([&site, &worker] { return !site.worker(worker).hasEnds(EndNumber(0)); }, acknowledgementLimit));
    BOOST_TEST_MESSAGE("acknowledged after " << (site.now() - endedAt).count() << " ms");
    BOOST_TEST((site.phaseOf(job.id) == JobPhase::Completed));
    BOOST_TEST(site.judge().starts() == width);
    for (const std::string &violation : site.judge().violations()) {
        BOOST_ERROR(violation);
    }
}

BOOST_AUTO_TEST_SUITE_END()
