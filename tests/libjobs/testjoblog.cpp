#include "joblog.h"
#include "virtualjobs.h"
#include "virtualstore.h"

#include <algorithm>
#include <deque>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

const std::string claim = "writer";

/** A log on a store that answers all calls at once when the test lets time pass. */
class LogOnStore
{
public:
    LogOnStore(VirtualStore &store, JobLogLimits limits)
        : m_store(store)
        , m_context(1, makeDriver())
        , m_log({}, { claimedRevision(), m_now }, 42, m_context, limits, [] {})
    {
        m_context.setTime(m_now, WallTime(0));
        m_log.load([] {});
        pass(Milliseconds(1000));
    }

    JobLog &log()
    {
        return m_log;
    }

    void pass(Milliseconds duration)
    {
        for (const TimePoint until = m_now + duration; m_now < until; m_now += Milliseconds(10)) {
            m_context.advance(m_now, WallTime(m_now.time_since_epoch().count()));
            for (const auto &[request, then] : std::exchange(m_calls, {})) {
                then(m_store.execute(request, m_now));
            }
        }
    }

private:
    WriterToken claimedRevision()
    {
        const KvCommit commit { {}, { { StoreLayout().claimKey(), claim, std::nullopt } }, {} };
        return WriterToken(m_store.execute(commit, m_now)->revision.value());
    }

    JobDriver makeDriver()
    {
        JobDriver driver;
        driver.readTime = [this] {
            return JobTime { m_now, WallTime(m_now.time_since_epoch().count()) };
        };
        driver.callStore = [this](KvRequest request, Milliseconds, JobDriver::KvHandler then) {
            m_calls.emplace_back(std::move(request), std::move(then));
        };
        driver.log = [](const LogEvent &) {
        };
        driver.observe = [](std::string_view, const QueueName &, std::string_view, Milliseconds) {
        };
        driver.count = [](std::string_view, std::string_view) {
        };
        return driver;
    }

    VirtualStore &m_store;
    TimePoint m_now { Milliseconds(1'000'000) };
    std::vector<std::pair<KvRequest, JobDriver::KvHandler>> m_calls;
    JobContext m_context;
    JobLog m_log;
};

void acceptJob(LogOnStore &test, const JobSpec &spec)
{
    test.log().append(JobAccepted { std::make_shared<const JobSpec>(spec), WallTime(0) }, RecordUrgency::Urgent);
}

/** Has each task of an accepted job run, the last one still running. */
void runJob(LogOnStore &test, const JobSpec &spec)
{
    const std::uint32_t width = spec.steps.front().count;
    for (std::uint32_t index = 0; index < width; ++index) {
        const RunRef run { { { spec.id, 0, 0 }, index }, RunNumber(1) };
        test.log().append(RunPlaced { run, WorkerId("worker-with-a-long-name"), WorkerLife(1'700'000'000'000) },
                          RecordUrgency::Urgent);
        if (index + 1 < width) {
            test.log().append(RunEnded { run, RunEnd::Done, CheckpointId("0123456789abcdef") }, RecordUrgency::Urgent);
        }
    }
}

std::uint32_t doneTasks(const JobTable &table, const JobSpec &spec)
{
    std::uint32_t done = 0;
    for (std::uint32_t index = 0; index < spec.steps.front().count; ++index) {
        done += table.task({ { spec.id, 0, 0 }, index }).isDone ? 1 : 0;
    }
    return done;
}

/** Large jobs that were accepted together, and what the store takes. */
struct SnapshotCase
{
    const char *name;
    std::uint64_t jobs;
    std::uint32_t width;
    std::size_t valueBytes;
};

const std::vector<SnapshotCase> snapshotCases {
    { "one small job", 1, 20, 16'384 },
    { "jobs whose snapshots fit together", 3, 20, 16'384 },
    { "jobs whose snapshots don't fit together", 12, 80, 16'384 },
    { "many jobs", 200, 10, 16'384 },
    { "a job whose snapshot fits into no value", 2, 2000, 16'384 },
};

} // namespace

BOOST_AUTO_TEST_SUITE(Log)

/** The snapshots of all jobs of a slot went into one commit; one that the store doesn't take stopped the writer for
 * good. */
BOOST_AUTO_TEST_CASE(snapshotsAreSpreadOverCommitsThatTheStoreTakes)
{
    for (const SnapshotCase &row : snapshotCases) {
        VirtualStore store({ .valueBytes = row.valueBytes });
        JobLogLimits limits;
        limits.slots = 8;
        limits.valueBytes = row.valueBytes;
        std::vector<JobSpec> jobs;
        {
            LogOnStore test(store, limits);
            for (std::uint64_t number = 1; number <= row.jobs; ++number) {
                acceptJob(test, jobs.emplace_back(batchJob(number, 1, row.width)));
            }
            for (const JobSpec &job : jobs) {
                runJob(test, job);
            }
            test.pass(Milliseconds(30'000));
            for (std::uint64_t number = 0; number < 40; ++number) {
                acceptJob(test, jobs.emplace_back(batchJob(1000 + number, 1, 1)));
                runJob(test, jobs.back());
                test.pass(Milliseconds(500));
            }
            BOOST_TEST(test.log().commitAge().count() == 0, row.name << ": all is committed");
        }
        BOOST_TEST(store.commitsBeyondLimits() == 0U, row.name);
        LogOnStore next(store, limits);
        for (const JobSpec &job : jobs) {
            BOOST_TEST(doneTasks(next.log().table(), job) + 1 == job.steps.front().count, row.name);
        }
    }
}

/** The bound decides what goes into a commit, so it has to hold for each kind of record. */
BOOST_AUTO_TEST_CASE(recordsTakeNoMoreThanTheirBound)
{
    JobSpec spec = repeatedJob(1, WallTime(1'700'000'000'000));
    spec.payload = std::string(4000, 'x');
    spec.schedule->repetitions = 300;
    spec.steps.front().requiredLabel = Label("a label that a caller chose");
    spec.steps.front().image = ImageName("an image");
    for (std::uint32_t step = 0; step < 40; ++step) {
        spec.steps.push_back(spec.steps.back());
        spec.steps.back().after = { 0, 1, step };
    }
    const auto shared = std::make_shared<const JobSpec>(spec);
    const auto job = std::make_shared<Job>(shared, WallTime(1'700'000'000'000));
    for (std::uint32_t number = 0; number < 150; ++number) {
        if (number % 3 == 0) {
            job->addDoneOccurrence();
            continue;
        }
        job->beginOccurrence();
        Task &task = *job->find({ { spec.id, number, 0 }, 1 });
        task.lastRun = RunNumber(4'000'000'000);
        task.failures = 4'000'000'000;
        task.checkpoint = CheckpointId("0123456789abcdef");
        task.runs.push_back({ RunNumber(4'000'000'000), WorkerId("worker"), WorkerLife(1'700'000'000'000'000) });
    }
    const RunRef run { { { spec.id, 4'000'000'000, 4'000'000'000 }, 4'000'000'000 }, RunNumber(4'000'000'000) };
    const std::vector<JobRecord> records {
        JobAccepted { shared, WallTime(1'700'000'000'000) },
        RunPlaced { run, WorkerId("worker"), WorkerLife(1'700'000'000'000'000) },
        JobBegun { spec.id },
        RunEnded { run, RunEnd::Lost, CheckpointId("0123456789abcdef") },
        JobClosed { spec.id, JobPhase::Completed, WallTime(1'700'000'000'000) },
        JobSnapshot { job },
    };
    const std::size_t empty = encodeJobSlot({ 1, 1, {} }).size();
    for (const JobRecord &record : records) {
        const std::size_t bytes = encodeJobSlot({ 1, 1, { record } }).size() - empty;
        BOOST_TEST(bytes <= maxEncodedBytes(record), "kind " << record.index());
    }
}

/**
 * Guards against ends that a writer acknowledges after it has lost the shard, without a record of them: the worker
 * forgets them, and the task runs again after a successful run.
 */
BOOST_AUTO_TEST_CASE(flushOfALostLogConfirmsNothing)
{
    VirtualStore store;
    LogOnStore test(store, {});
    bool isFlushed = false;
    test.log().flush([&isFlushed] { isFlushed = true; });
    BOOST_TEST(isFlushed, "nothing is to be committed");
    acceptJob(test, batchJob(1));
    test.pass(Milliseconds(1000));
    // Another host claims, and nothing is under way when this one learns of it.
    store.put(StoreLayout().claimKey(), "another");
    test.log().checkWriter([](WriterCheck /*check*/) {});
    test.pass(Milliseconds(100));
    BOOST_TEST(!test.log().provenAt().has_value());
    const RunRef run { { { batchJob(1).id, 0, 0 }, 0 }, RunNumber(1) };
    BOOST_TEST(!test.log().append(RunEnded { run, RunEnd::Done, {} }, RecordUrgency::Urgent));
    isFlushed = false;
    test.log().flush([&isFlushed] { isFlushed = true; });
    test.pass(Milliseconds(1000));
    BOOST_TEST(!isFlushed, "an end that was refused counts as recorded");
}

/** The second copy of a commit is refused since it was applied, which doesn't tell that the claim still holds. */
BOOST_AUTO_TEST_CASE(commitFoundAfterALostAnswerDoesNotConfirmASupersededClaim)
{
    const StoreLayout layout;
    const WriterToken token(7);
    TimePoint now { Milliseconds(1'000'000) };
    std::deque<std::pair<KvRequest, JobDriver::KvHandler>> calls;
    JobDriver driver;
    driver.readTime = [&now] {
        return JobTime { now, WallTime(0) };
    };
    driver.callStore = [&calls](KvRequest request, Milliseconds, JobDriver::KvHandler then) {
        calls.emplace_back(std::move(request), std::move(then));
    };
    driver.log = [](const LogEvent &) {
    };
    driver.observe = [](std::string_view, const QueueName &, std::string_view, Milliseconds) {
    };
    driver.count = [](std::string_view, std::string_view) {
    };
    JobContext context(1, driver);
    context.setTime(now, WallTime(0));
    bool isLost = false;
    bool isCommitted = false;
    JobLog log(layout, { token, now }, 42, context, JobLogLimits {}, [&isLost] { isLost = true; });
    log.load([] {});
    calls.front().second(KvReply {});
    calls.clear();
    const TimePoint confirmedBefore = log.lastConfirmed();
    log.append(JobAccepted { std::make_shared<const JobSpec>(batchJob(1)), WallTime(0) }, RecordUrgency::Urgent,
               [&isCommitted] { isCommitted = true; });
    // The first copy is applied, its answer lost; another host claims; the second copy is sent 5 s later.
    now += Milliseconds(50);
    context.advance(now, WallTime(0));
    BOOST_TEST_REQUIRE(calls.size() == 1U);
    const KvCommit commit = std::get<KvCommit>(calls.front().first);
    now += Milliseconds(5000);
    context.advance(now, WallTime(0));
    BOOST_TEST_REQUIRE(calls.size() == 2U);
    KvError conflict { KvErrorKind::Conflict, {} };
    conflict.entries.push_back({ layout.claimKey(), "another", StoreRevision(99), false });
    conflict.entries.push_back({ commit.puts.front().key, commit.puts.front().value, StoreRevision(8), false });
    calls.back().second(tl::unexpected(conflict));
    BOOST_TEST(isCommitted);
    BOOST_TEST((log.lastConfirmed() == confirmedBefore), "the superseded claim counts as confirmed 5 s later");
    BOOST_TEST(isLost);
}

BOOST_AUTO_TEST_SUITE_END()
