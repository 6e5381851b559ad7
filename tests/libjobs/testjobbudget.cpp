#include "jobbudget.h"
#include "virtualjobs.h"
#include "virtualsite.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr std::size_t budget = 1000;
const QueueName large("large");
const QueueName small("small");

struct Held
{
    std::size_t ofLarge = 0;
    std::size_t ofSmall = 0;
};

JobRoom roomFor(std::size_t bytes, const QueueName &queue, const Held &held)
{
    JobMemory memory;
    memory.add(large, held.ofLarge);
    memory.add(small, held.ofSmall);
    return JobBudget::roomFor(bytes, queue, memory, budget);
}

constexpr std::size_t payloadBytes = 12'000;

/** A job that waits for good: its task is larger than any worker. */
JobSpec waitingJob(std::uint64_t number, const char *queue, std::size_t bytes = payloadBytes)
{
    JobSpec spec = batchJob(number, 1, 1, Milliseconds(400), Millicores(1'000'000));
    spec.queue = QueueName(queue);
    return withPayload(std::move(spec), "pad=" + std::string(bytes, 'x'));
}

CallAnswer answerTo(VirtualSite &site, const HostId &host, const JobSpec &spec)
{
    const std::size_t call = site.send(host, SubmitJob { std::make_shared<const JobSpec>(spec) });
    BOOST_REQUIRE(site.runUntil([&site, call] { return site.calls()[call].answer.has_value(); }, Milliseconds(3100)));
    return *site.calls()[call].answer;
}

/** Submits jobs until one isn't accepted; returns how many were, and the last answer. */
std::pair<std::uint64_t, CallAnswer> fill(VirtualSite &site, const char *queue, std::uint64_t first)
{
    constexpr std::uint64_t mostJobs = 400;
    for (std::uint64_t number = 0; number < mostJobs; ++number) {
        const HostId host = site.hosts().at(number % site.hosts().size());
        const CallAnswer answer = answerTo(site, host, waitingJob(first + number, queue));
        if (answer.outcome != CallOutcome::Accepted) {
            return { number, answer };
        }
    }
    return { mostJobs, {} };
}

VirtualSiteOptions options(std::vector<Mebibytes> memory)
{
    VirtualSiteOptions options;
    options.memory = std::move(memory);
    options.valueBytes = platformValueBytes;
    return options;
}

constexpr Milliseconds startTime { 3000 };

} // namespace

BOOST_AUTO_TEST_SUITE(JobBudgets)

BOOST_AUTO_TEST_CASE(aQueueHoldsAsMuchAsIsLeftFree)
{
    struct Row
    {
        std::string name;
        std::size_t bytes = 0;
        QueueName queue;
        Held held;
        JobRoom room = JobRoom::Free;
    };
    const std::vector<Row> rows {
        { "half of an empty budget", 500, large, {}, JobRoom::Free },
        { "more than half never fits", 501, large, {}, JobRoom::NeverFits },
        { "nor beside others", 501, small, { 500, 0 }, JobRoom::NeverFits },
        { "up to half in all", 100, large, { 400, 0 }, JobRoom::Free },
        { "beyond half", 101, large, { 400, 0 }, JobRoom::Full },
        { "another queue beside one with half", 250, small, { 500, 0 }, JobRoom::Free },
        { "as much as is left free", 251, small, { 500, 0 }, JobRoom::Full },
        { "less for each, the more hold some", 1, large, { 334, 333 }, JobRoom::Full },
        { "what was accepted under a larger budget", 1, small, { 5000, 0 }, JobRoom::Full },
    };
    for (const Row &row : rows) {
        BOOST_TEST((roomFor(row.bytes, row.queue, row.held) == row.room), row.name);
    }
    BOOST_TEST((JobBudget::roomFor(1'000'000, large, JobMemory(), std::nullopt) == JobRoom::Free));
}

BOOST_AUTO_TEST_CASE(retriesFollowWhatBecomesFree)
{
    JobBudget jobs;
    JobMemory held;
    const auto at = [](std::int64_t ms) {
        return TimePoint(Milliseconds(100'000 + ms));
    };
    BOOST_TEST(jobs.retryAfter(1000, held, at(0)).count() == 30'000);
    for (std::int64_t ms = 0; ms < 6000; ms += 100) {
        held.add(large, 100);
        jobs.noteAccepted(100, JobMemory(held), at(ms));
        held.remove(large, 100);
    }
    // 100 bytes became free in each 100 ms.
    const std::int64_t wait = jobs.retryAfter(5000, held, at(6000)).count();
    BOOST_TEST(wait >= 4000);
    BOOST_TEST(wait <= 7000);
    BOOST_TEST(jobs.retryAfter(1, held, at(6000)).count() == 1000);
}

/** Guards against accepted jobs without a limit, each of which stays: 9,600 took 22 MB, without an end. */
BOOST_AUTO_TEST_CASE(oneQueueCantTakeAll)
{
    VirtualSite site(options({ Mebibytes(4) }));
    site.run(startTime);
    const auto [accepted, refused] = fill(site, "batch", 1000);
    // Half of 2 MiB, for jobs of some 15 KB.
    BOOST_TEST(accepted >= 50U);
    BOOST_TEST(accepted <= 1'048'576U / payloadBytes);
    BOOST_TEST((refused.outcome == CallOutcome::Refused));
    BOOST_TEST(!refused.isFinal);
    BOOST_TEST(refused.retryAfter.count() >= 1000);
    // Nothing of it was recorded, and another queue is served.
    BOOST_TEST(!site.phaseOf(waitingJob(1000 + accepted, "batch").id).has_value());
    JobSpec ordinary = batchJob(1);
    ordinary.queue = QueueName("urgent");
    BOOST_TEST(site.submit(ordinary));
    BOOST_TEST(site.runUntil([&] { return site.phaseOf(ordinary.id) == JobPhase::Completed; }, Milliseconds(10'000)));
    // A job that is on record is told as accepted, also when there is no room.
    BOOST_TEST((answerTo(site, site.hosts().front(), waitingJob(1000, "batch")).outcome == CallOutcome::Accepted));
    // A cancelled job makes room.
    site.send(site.hosts().front(), CancelJob { waitingJob(1000, "batch").id });
    site.run(Milliseconds(1000));
    BOOST_TEST((answerTo(site, site.hosts().front(), waitingJob(5000, "batch")).outcome == CallOutcome::Accepted));
    BOOST_TEST(site.judge().violations().empty());
}

BOOST_AUTO_TEST_CASE(aJobThatNeverFitsIsRefusedForGood)
{
    VirtualSite site(options({ Mebibytes(1) }));
    site.run(startTime);
    for (const HostId &host : site.hosts()) {
        const CallAnswer answer = answerTo(site, host, waitingJob(7, "batch", 300'000));
        BOOST_TEST((answer.outcome == CallOutcome::Refused));
        BOOST_TEST(answer.isFinal);
    }
}

/** Whichever host becomes the writer can hold what was accepted. */
BOOST_AUTO_TEST_CASE(theLeastMemoryOfAllHostsCounts)
{
    VirtualSite site(options({ Mebibytes(64), Mebibytes(4), Mebibytes(32) }));
    site.run(startTime);
    const auto [accepted, refused] = fill(site, "batch", 1000);
    BOOST_TEST(accepted <= 1'048'576U / payloadBytes);
    BOOST_TEST((refused.outcome == CallOutcome::Refused));
    for (const HostId &host : site.hosts()) {
        site.killHost(host);
        site.run(Milliseconds(8000));
        site.restartHost(host);
        site.run(startTime);
        JobSpec ordinary = batchJob(1 + site.calls().size());
        ordinary.queue = QueueName("urgent");
        BOOST_TEST(site.submit(ordinary));
    }
    BOOST_TEST(site.phaseOf(waitingJob(1000, "batch").id).has_value());
    BOOST_TEST(site.judge().violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
