#include "jobevents.h"
#include "loadadmission.h"
#include "virtualjobs.h"
#include "virtualsite.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace currantring;

namespace {

const CapacityClass counted { ServiceName("office"), false };
constexpr Milliseconds day { 86'400'000 };

QueueEntry queueOf(std::uint32_t priority)
{
    QueueEntry queue;
    queue.name = QueueName("queue" + std::to_string(priority));
    queue.service = counted.service;
    queue.priority = priority;
    queue.stretch = 1.5;
    queue.targetLatency = Milliseconds(300);
    return queue;
}

/** Urgency of a job of priority 2 that has just been submitted. */
JobUrgency urgencyOfNew(const JobSpec &spec)
{
    Job job(std::make_shared<const JobSpec>(spec), WallTime(0));
    job.beginOccurrence();
    return urgencyOf(job, 0, queueOf(2), WallTime(0));
}

/** A load on 100 cores, and the job that is submitted under it; the fields are what a row of the table changes. */
struct Situation
{
    /** How long the waiting work takes at the full rate, if its estimates are right. */
    double backlogSeconds = 20;
    std::uint32_t backlogPriority = 0;
    DeadlineState backlogState = DeadlineState::OnTime;
    /** Remaining work of each waiting job, in core-seconds. */
    double backlogJobWork = 1;
    /** Estimates and true durations of what waits and of what ended. */
    Milliseconds estimate { 1000 };
    Milliseconds duration { 1000 };
    /** Estimate of one more waiting task. */
    Milliseconds oneEstimate { 1000 };
    /** How long work has been left waiting, the age of the sums, the age of the writer. */
    Milliseconds waitingFor { 5000 };
    Milliseconds sumAge { 50 };
    Milliseconds writerAge { 20'000 };
    bool hasEnds = true;
    std::int64_t capacity = 100'000;
    Resources need { Millicores(1000), Mebibytes(1000), AcceleratorCount(0) };
    JobSpec job = batchJob(1, 2, 10, Milliseconds(600), Millicores(1000));
    ServiceName service = counted.service;
};

/** The decision in a situation, by the functions that RunController calls. */
LoadDecision decisionIn(const Situation &situation)
{
    const TimePoint now(Milliseconds(100'000));
    LoadAdmission admission(now - situation.writerAge);
    StepSpec step;
    step.need = situation.need;
    step.estimate = situation.estimate;
    constexpr int tasksPerTick = 10;
    for (TimePoint at = now - Milliseconds(5000); at < now && situation.hasEnds; at += Milliseconds(100)) {
        for (int task = 0; task < tasksPerTick; ++task) {
            admission.recordDone(counted, QueueName("waiting"), step, situation.duration, at);
        }
    }
    const auto tasks = static_cast<std::size_t>(situation.backlogSeconds * 100);
    const JobUrgency urgency { situation.backlogPriority, situation.backlogState, WorkKind::Job,
                               std::sqrt(situation.backlogJobWork * 1e6), 0 };
    for (const Milliseconds age : { situation.waitingFor, situation.sumAge }) {
        LeftWork left { now - age, {}, {} };
        left.steps.push_back({ true, counted, urgency, QueueName("waiting"), tasks, step.need, step.estimate });
        left.steps.push_back({ true, counted, urgency, QueueName("waiting"), 1, step.need, situation.oneEstimate });
        left.capacity[counted.service] = { Millicores(situation.capacity), Millicores(situation.capacity),
                                           Millicores(0) };
        admission.takeLeftWork(left);
    }
    QueueEntry queue = queueOf(2);
    queue.service = situation.service;
    return admission.mayRefuse(situation.job, now)
        ? admission.decide(situation.job, queue, urgencyOfNew(situation.job), now)
        : LoadDecision();
}

struct Row
{
    const char *name;
    bool isAccepted;
    std::function<void(Situation &)> change;
};

JobSpec jobOf(Milliseconds estimate)
{
    return batchJob(1, 2, 10, estimate, Millicores(1000));
}

const std::vector<Row> &rows()
{
    static const std::vector<Row> all {
        { "20 s of work of a higher priority", false,
          [](Situation &) {
          } },
        { "2 s of work", true,
          [](Situation &at) {
              at.backlogSeconds = 2;
          } },
        // The job itself: what its caller states decides its objective.
        { "estimate 0, 20 s", false,
          [](Situation &at) {
              at.job = jobOf(Milliseconds(0));
          } },
        { "estimate 0, 0.9 s", true,
          [](Situation &at) {
              at.job = jobOf(Milliseconds(0));
              at.backlogSeconds = 0.9;
          } },
        { "estimate of days", true,
          [](Situation &at) {
              at.job = jobOf(day);
          } },
        { "estimate ten times too high", true,
          [](Situation &at) {
              at.job = jobOf(Milliseconds(6000));
          } },
        { "estimate ten times too low", false,
          [](Situation &at) {
              at.job = jobOf(Milliseconds(60));
          } },
        { "long-running job", true,
          [](Situation &at) {
              at.job = lastingJob(1);
          } },
        { "scheduled job", true,
          [](Situation &at) {
              at.job = repeatedJob(1, WallTime(0));
          } },
        { "job that fits where those that wait don't", true,
          [](Situation &at) {
              at.need.processors = Millicores(2000);
          } },
        { "best-effort job while counted work waits", true,
          [](Situation &at) {
              for (StepSpec &step : at.job.steps) {
                  step.isFiller = true;
              }
          } },
        { "job of another service", true,
          [](Situation &at) {
              at.service = ServiceName("other");
          } },
        // The waiting work: only what precedes the job counts.
        { "work of a lower priority", true,
          [](Situation &at) {
              at.backlogPriority = 3;
          } },
        { "smaller jobs of the same priority", false,
          [](Situation &at) {
              at.backlogPriority = 2;
          } },
        { "larger jobs of the same priority", true,
          [](Situation &at) {
              at.backlogPriority = 2;
              at.backlogJobWork = 1000;
          } },
        { "late jobs of the same priority", true,
          [](Situation &at) {
              at.backlogPriority = 2;
              at.backlogState = DeadlineState::Late;
          } },
        { "2 s of work, one task of it with an estimate of days", true,
          [](Situation &at) {
              at.backlogSeconds = 2;
              at.oneEstimate = day;
          } },
        { "2 s of work whose estimates are ten times too high", true,
          [](Situation &at) {
              at.backlogSeconds = 2;
              at.estimate = Milliseconds(10'000);
          } },
        { "20 s of work whose estimates are ten times too low", false,
          [](Situation &at) {
              at.duration = Milliseconds(10'000);
          } },
        { "20 s of work whose estimates are missing", false,
          [](Situation &at) {
              at.estimate = Milliseconds(0);
          } },
        // What the writer knows.
        { "writer active for 2.9 s", true,
          [](Situation &at) {
              at.writerAge = Milliseconds(2900);
          } },
        { "no rate", true,
          [](Situation &at) {
              at.hasEnds = false;
          } },
        { "work waits for 1.9 s only", true,
          [](Situation &at) {
              at.waitingFor = Milliseconds(1900);
          } },
        { "last sums 1.1 s old", true,
          [](Situation &at) {
              at.sumAge = Milliseconds(1100);
          } },
        { "no worker may be used", true,
          [](Situation &at) {
              at.capacity = 0;
          } },
    };
    return all;
}

JobSpec jobNumber(std::uint64_t number)
{
    return batchJob(number, 2, 10, Milliseconds(600), Millicores(1000));
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadAdmissionDecisions)

/** Guards against refusing jobs that can be served, and against accepting those that can't. */
BOOST_AUTO_TEST_CASE(tableOfSingleDecisions)
{
    for (const Row &row : rows()) {
        Situation situation;
        row.change(situation);
        const LoadDecision decision = decisionIn(situation);
        BOOST_TEST(decision.isAccepted == row.isAccepted, row.name << ": finish " << decision.finish.count());
        BOOST_TEST((decision.isAccepted || decision.retryAfter >= Milliseconds(1000)), row.name);
    }
}

/** Guards against callers that all come back at once, or before there is capacity for them. */
BOOST_AUTO_TEST_CASE(refusedJobsReturnAtTheRateOfTheCapacity)
{
    Situation situation;
    constexpr std::uint64_t jobs = 100;
    const TimePoint now(Milliseconds(100'000));
    LoadAdmission admission(TimePoint {});
    StepSpec step = situation.job.steps.front();
    constexpr std::int64_t tasksInSecond = 100;
    for (int task = 0; task < 2 * tasksInSecond; ++task) {
        admission.recordDone(counted, QueueName("waiting"), step, step.estimate, now - Milliseconds(100));
    }
    for (const Milliseconds age : { Milliseconds(4000), Milliseconds(0) }) {
        LeftWork left { now - age, {}, {} };
        left.steps.push_back(
            { true, counted, { 0 }, QueueName("waiting"), 10 * tasksInSecond, step.need, step.estimate });
        left.capacity[counted.service] = { Millicores(60'000), Millicores(60'000), Millicores(0) };
        admission.takeLeftWork(left);
    }
    std::map<std::int64_t, int> returnsInSecond;
    std::vector<Milliseconds> retryTimes;
    for (std::uint64_t number = 1; number <= jobs; ++number) {
        const LoadDecision decision =
            admission.decide(jobNumber(number), queueOf(2), urgencyOfNew(jobNumber(number)), now);
        BOOST_TEST(!decision.isAccepted);
        retryTimes.push_back(decision.retryAfter);
        ++returnsInSecond[decision.retryAfter.count() / 1000];
    }
    // The rate is 5 jobs a second: 10 s of work wait, and 100 jobs take 20 s.
    for (const auto &[second, count] : returnsInSecond) {
        BOOST_TEST(count <= 15, count << " return in second " << second);
    }
    BOOST_TEST((*std::ranges::min_element(retryTimes) >= Milliseconds(8000)));
    BOOST_TEST((*std::ranges::max_element(retryTimes) >= Milliseconds(25'000)));
    BOOST_TEST((retryTimes.front() < retryTimes.back()));

    // A caller that asks again at once is answered by the same inputs, and its work isn't counted twice.
    const LoadDecision first = admission.decide(jobNumber(1), queueOf(2), urgencyOfNew(jobNumber(1)), now);
    const LoadDecision again = admission.decide(jobNumber(1), queueOf(2), urgencyOfNew(jobNumber(1)), now);
    BOOST_TEST(!again.isAccepted);
    BOOST_TEST((first.retryAfter == again.retryAfter));
    BOOST_TEST((first.finish == again.finish));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LoadAdmissionSite)

/** Guards against a refused job that is stored or runs all the same, and against refusing repeats of accepted jobs. */
BOOST_AUTO_TEST_CASE(refusedJobNeverRunsAndItsRepeatIsAcceptedAfterTheLoad)
{
    VirtualSiteOptions options;
    options.workers = 2;
    VirtualSite site(options);
    site.run(Milliseconds(1500));
    const auto submit = [&site](const JobSpec &spec) {
        return site.send(site.hosts().front(), SubmitJob { std::make_shared<const JobSpec>(spec) });
    };
    // 8 tasks run at a time, 20 a second: 15 s of work of the higher priority.
    constexpr std::uint64_t urgentJobs = 75;
    std::vector<JobSpec> urgent;
    for (std::uint64_t number = 2; number < 2 + urgentJobs; ++number) {
        urgent.push_back(batchJob(number, 1, 4));
        urgent.back().queue = QueueName("urgent");
        submit(urgent.back());
    }
    site.run(Milliseconds(5000));

    const JobSpec refused = batchJob(1);
    const std::size_t first = submit(refused);
    const std::size_t repeatOfAccepted = submit(urgent.back());
    const std::size_t lasting = submit(lastingJob(100, 1));
    site.run(Milliseconds(1000));
    BOOST_REQUIRE(site.calls()[first].answer.has_value());
    BOOST_TEST((site.calls()[first].answer->outcome == CallOutcome::Refused));
    BOOST_TEST((site.calls()[first].answer->retryAfter >= Milliseconds(1000)));
    BOOST_TEST(site.logCount(events::jobRefusedLoad) == 1U);
    BOOST_TEST((site.calls()[repeatOfAccepted].answer->outcome == CallOutcome::Accepted));
    BOOST_TEST((site.calls()[lasting].answer->outcome == CallOutcome::Accepted));

    site.run(site.calls()[first].answer->retryAfter + Milliseconds(10'000));
    site.judge().checkAllCompleted({});
    for (const std::string &violation : site.judge().violations()) {
        BOOST_TEST(!violation.starts_with("REFUSED"), violation);
    }
    const TaskRef task { { refused.id, 0, 0 }, 0 };
    BOOST_TEST(!site.isRunning(task));
    const std::size_t read = site.send(site.hosts().front(), ReadJob { refused.id });
    site.run(Milliseconds(500));
    BOOST_TEST((site.calls()[read].answer->outcome == CallOutcome::Unknown));

    BOOST_TEST(site.submit(refused));
    BOOST_TEST(site.runUntil([&] { return site.phaseOf(refused.id) == JobPhase::Completed; }, Milliseconds(20'000)));
}

BOOST_AUTO_TEST_SUITE_END()
