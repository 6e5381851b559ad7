#include "standinplatform.h"
#include "workerrequestcodec.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr std::int64_t offset = 5'000'000;

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint(Milliseconds(milliseconds));
}

StandinWorkerOptions workerOptions(const char *id)
{
    StandinWorkerOptions options;
    options.info.id = WorkerId(id);
    options.info.capacity = { Millicores(1000), Mebibytes(1000), AcceleratorCount(0) };
    options.info.slots = 2;
    options.info.services = { ServiceName("echo") };
    options.serviceTime = Milliseconds(10);
    options.usageLag = Milliseconds(100);
    options.clockOffset = WorkerTime(offset);
    return options;
}

/** Two workers and one truth. */
struct Workers
{
    StandinTruth truth;
    StandinWorker first { workerOptions("w0"), truth };
    StandinWorker second { workerOptions("w1"), truth };
};

StartAttempt startOf(std::uint32_t attempt, const char *program, std::int64_t leaseUntil = 1'000'000)
{
    StartAttempt start;
    start.fence = { ShardId(0), Epoch(1) };
    start.task = TaskId("t");
    start.attempt = AttemptNumber(attempt);
    start.spec.declared = { Millicores(400), Mebibytes(100), AcceleratorCount(0) };
    start.spec.program = program;
    start.startBy = WorkerTime(offset + 1'000'000);
    start.leaseUntil = WorkerTime(offset + leaseUntil);
    return start;
}

RenewLeases renewUntil(std::int64_t time)
{
    return { { ShardId(0), Epoch(1) }, WorkerTime(offset + time), {} };
}

/** Phase and moment of the end of the first attempt that ran, such as "succeeded 500". */
std::string endOfFirstRun(const StandinTruth &truth)
{
    const StandinRun &run = truth.runs().front();
    return std::string(attemptPhaseName(run.phase))
        + (run.end ? " " + std::to_string(run.end->time_since_epoch().count()) : "");
}

struct EndCase
{
    std::string name;
    const char *program;
    TaskKind kind;
    std::int64_t leaseUntil;
    std::string end;
};

const std::vector<EndCase> &endCases()
{
    static const std::vector<EndCase> rows {
        { "work that is done", R"({"runMs": 500})", TaskKind::Batch, 900, "succeeded 500" },
        { "work that fails", R"({"runMs": 500, "fail": true})", TaskKind::Batch, 900, "failed 500" },
        { "work longer than its lease", R"({"runMs": 5000})", TaskKind::Batch, 900, "lease-lapsed 900" },
        { "work done as the lease ends", R"({"runMs": 900})", TaskKind::Batch, 900, "succeeded 900" },
        { "a watcher", R"({"runMs": 500})", TaskKind::Watcher, 900, "lease-lapsed 900" },
        { "a lease that is over at the start", R"({"runMs": 500})", TaskKind::Batch, -900, "lease-lapsed 0" },
        { "a program that is no JSON runs as declared", "sort", TaskKind::Batch, 900, "succeeded 70" },
    };
    return rows;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StandinWorkerRules)

BOOST_AUTO_TEST_CASE(attemptsEndByThemselvesAtTheRightMoment)
{
    for (const EndCase &row : endCases()) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Workers workers;
            StartAttempt start = startOf(1, row.program, row.leaseUntil);
            start.spec.kind = row.kind;
            start.spec.declaredRunTime = Milliseconds(70);
            BOOST_TEST(workers.first.apply(start, at(0)).has_value());
            workers.first.advance(at(10'000));
            BOOST_TEST(endOfFirstRun(workers.truth) == row.end);
            BOOST_TEST(workers.truth.liveCount(TaskId("t")) == 0U);
            BOOST_TEST((workers.first.declaredUse() == Resources {}));
        }
    }
}

BOOST_AUTO_TEST_CASE(aRenewalProlongsTheLeaseAndNeverShortensIt)
{
    Workers workers;
    BOOST_TEST(workers.first.apply(startOf(1, R"({"runMs": 5000})", 100), at(0)).has_value());
    BOOST_TEST(workers.first.apply(renewUntil(700), at(50)).has_value());
    BOOST_TEST(workers.first.apply(renewUntil(200), at(60)).has_value());
    workers.first.advance(at(10'000));
    BOOST_TEST(endOfFirstRun(workers.truth) == "lease-lapsed 700");
}

BOOST_AUTO_TEST_CASE(aResumeOnAnotherWorkerGoesOnFromTheCheckpoint)
{
    Workers workers;
    const char *program = R"({"runMs": 500})";
    BOOST_TEST(workers.first.apply(startOf(1, program), at(0)).has_value());
    const WorkerResult stopped =
        workers.first.apply(CheckpointAttempt { { ShardId(0), Epoch(1) }, TaskId("t"), AttemptNumber(1) }, at(300));
    StartAttempt next = startOf(2, program);
    next.resumeFrom = stopped->report.attempts.front().checkpoint;
    BOOST_TEST(workers.second.apply(next, at(1000)).has_value());
    workers.second.advance(at(10'000));
    BOOST_TEST((workers.truth.runs()[1].end == at(1200)));
    BOOST_TEST(workers.truth.doubledTasks().empty());
}

BOOST_AUTO_TEST_CASE(anUnknownCheckpointFailsTheAttempt)
{
    Workers workers;
    StartAttempt start = startOf(1, R"({"runMs": 500})");
    start.resumeFrom = CheckpointId("cp-none");
    const WorkerResult result = workers.first.apply(start, at(0));
    BOOST_TEST((result->report.attempts.front().phase == AttemptPhase::Failed));
}

BOOST_AUTO_TEST_CASE(twoLiveAttemptsOfATaskAreSeen)
{
    Workers workers;
    BOOST_TEST(workers.first.apply(startOf(1, R"({"runMs": 500})"), at(0)).has_value());
    BOOST_TEST(workers.second.apply(startOf(2, R"({"runMs": 500})"), at(100)).has_value());
    BOOST_TEST((workers.truth.doubledTasks() == std::vector<TaskId> { TaskId("t") }));
}

BOOST_AUTO_TEST_CASE(aThrottleSlowsTheWorkAndLimitsItsUse)
{
    Workers workers;
    BOOST_TEST(workers.first.apply(startOf(1, R"({"runMs": 500, "usedMillicores": 800})"), at(0)).has_value());
    const ThrottleAttempt throttle { { ShardId(0), Epoch(1) }, TaskId("t"), AttemptNumber(1), 50 };
    BOOST_TEST(workers.first.apply(throttle, at(100)).has_value());
    BOOST_TEST(workers.first.apply(renewUntil(0), at(150))->report.used.processors == Millicores(800));
    BOOST_TEST(workers.first.apply(renewUntil(0), at(200))->report.used.processors == Millicores(200));
    workers.first.advance(at(10'000));
    BOOST_TEST(endOfFirstRun(workers.truth) == "succeeded 900");
}

BOOST_AUTO_TEST_CASE(usageIsReportedWithItsLag)
{
    Workers workers;
    BOOST_TEST(workers.first.apply(startOf(1, R"({"runMs": 500, "usedMillicores": 800})"), at(1000)).has_value());
    const std::vector<std::pair<std::int64_t, std::int64_t>> rows {
        { 1099, 0 }, { 1100, 800 }, { 1599, 800 }, { 1600, 0 }
    };
    for (const auto &[time, millicores] : rows) {
        const WorkerResult report = workers.first.apply(renewUntil(0), at(time));
        BOOST_TEST(report->report.used.processors == Millicores(millicores), time);
        BOOST_TEST(report->report.clock == WorkerTime(offset + time));
    }
}

BOOST_AUTO_TEST_CASE(slotsComeFreeWhenTheAnswerIsReady)
{
    Workers workers;
    EndpointRequest request;
    request.service = ServiceName("echo");
    request.request = RequestId("r");
    request.body = R"({"serviceMs": 30})";
    BOOST_TEST((workers.first.beginRequest(request, at(0))->readyAt == at(30)));
    request.body = "plain";
    BOOST_TEST((workers.first.beginRequest(request, at(0))->readyAt == at(10)));
    BOOST_TEST((workers.first.beginRequest(request, at(9)).error().reason == RefusalReason::NoRoom));
    workers.first.setSlowness(Milliseconds(5));
    BOOST_TEST((workers.first.beginRequest(request, at(10))->readyAt == at(25)));
    BOOST_TEST(workers.truth.executionCount(RequestId("r")) == 3U);
    BOOST_TEST(workers.truth.peaks().at(WorkerId("w0")).requests == 2U);
}

BOOST_AUTO_TEST_CASE(theHostListLags)
{
    StandinHostList list(Milliseconds(100));
    WorkerInfo info;
    info.id = WorkerId("w0");
    list.setWorker(info, at(0));
    info.state = WorkerState::Leaving;
    list.setWorker(info, at(50));
    BOOST_TEST((list.served(at(0)).front().state == WorkerState::Live));
    BOOST_TEST((list.served(at(149)).front().state == WorkerState::Live));
    BOOST_TEST((list.served(at(150)).front().state == WorkerState::Leaving));
}

BOOST_AUTO_TEST_CASE(storeLeasesEndAtTheirTerm)
{
    StandinStore store;
    const LeaseId lease = store.apply(StoreGrantLease { Milliseconds(100) }, at(0))->lease;
    BOOST_TEST(store.apply(StorePut { "a", "1", StoreVersion(0), lease }, at(0)).has_value());
    BOOST_TEST(store.apply(StoreRenewLease { lease }, at(90)).has_value());
    BOOST_TEST((store.nextExpiry() == at(190)));
    BOOST_TEST(store.apply(StoreGet { "a" }, at(189))->entries.size() == 1U);
    BOOST_TEST(store.apply(StoreGet { "a" }, at(190))->entries.empty());
    BOOST_TEST((store.apply(StoreRenewLease { lease }, at(190)).error() == StoreError::LeaseLapsed));
    BOOST_TEST(store.counts().at("get") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
