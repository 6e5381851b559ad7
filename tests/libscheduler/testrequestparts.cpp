#include "backoff.h"
#include "endpointhealth.h"
#include "endpointselector.h"
#include "firststart.h"
#include "requesthomes.h"
#include "requestoutcome.h"
#include "requestqueue.h"
#include "requestrecord.h"
#include "retrybudget.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint(Milliseconds(milliseconds));
}

template<RequestQueuePolicy Queue>
std::string drain(Queue &queue, std::size_t most)
{
    std::string order;
    for (auto next = queue.pop(); next && order.size() < most; next = queue.pop()) {
        order += next->owner.value();
    }
    return order;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestQueues)

BOOST_AUTO_TEST_CASE(earliestDeadlineComesFirstWithinAnOwner)
{
    FairRequestQueue queue;
    queue.push({ 1, OwnerId("a"), at(30) }, 1);
    queue.push({ 2, OwnerId("a"), at(10) }, 1);
    queue.push({ 3, OwnerId("a"), at(20) }, 1);
    BOOST_TEST(queue.remove(3));
    BOOST_TEST(!queue.remove(3));
    BOOST_TEST(queue.pop()->number == 2U);
    BOOST_TEST(queue.pop()->number == 1U);
    BOOST_TEST(!queue.pop().has_value());
}

BOOST_AUTO_TEST_CASE(ownersShareByWeightAndTheFifoBaselineDoesNot)
{
    FairRequestQueue fair;
    FifoRequestQueue fifo;
    for (std::uint64_t number = 0; number < 40; ++number) {
        const QueuedRequest request { number, OwnerId(number < 20 ? "a" : "b"), at(1000) };
        fair.push(request, number < 20 ? 1 : 3);
        fifo.push(request, 1);
    }
    const std::string fairOrder = drain(fair, 16);
    BOOST_TEST(std::count(fairOrder.begin(), fairOrder.end(), 'b') == 12);
    BOOST_TEST(drain(fifo, 16) == std::string(16, 'a'));
}

BOOST_AUTO_TEST_CASE(idlenessSavesUpNoClaim)
{
    FairRequestQueue queue;
    for (std::uint64_t number = 0; number < 10; ++number) {
        queue.push({ number, OwnerId("a"), at(1000) }, 1);
    }
    drain(queue, 10);
    for (std::uint64_t number = 10; number < 20; ++number) {
        queue.push({ number, OwnerId(number < 15 ? "a" : "b"), at(1000) }, 1);
    }
    const std::string order = drain(queue, 4);
    BOOST_TEST(std::count(order.begin(), order.end(), 'b') == 2);
}

BOOST_AUTO_TEST_CASE(admissionRefusesWhatCannotBeServed)
{
    struct Row
    {
        const char *name;
        std::int64_t deadline;
        std::size_t waiting;
        double position;
        double meanMs;
        std::string_view reason;
    };
    const std::vector<Row> rows {
        { "fits", 100, 0, 0, 50, "" },
        { "already past", 0, 0, 0, 50, requestreason::deadlineTooShort },
        { "service longer than the time left", 40, 0, 0, 50, requestreason::deadlineTooShort },
        { "wait longer than the time left", 100, 3, 8, 50, requestreason::deadlineTooShort },
        { "wait just short enough", 100, 3, 4, 50, "" },
        { "nothing learned yet", 1, 3, 8, 0, "" },
        { "full", 100, 10, 0, 1, requestreason::queueFull },
    };
    for (const Row &row : rows) {
        const QueueConditions conditions { at(0), 10, 4, row.meanMs };
        const auto reason = refusalReason(conditions, at(row.deadline), row.waiting, row.position);
        BOOST_TEST(reason.value_or("") == row.reason, row.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RetryBudgets)

BOOST_AUTO_TEST_CASE(retriesStayWithinAFractionOfRecentRequests)
{
    struct Row
    {
        int requests;
        std::int64_t percent;
        int granted;
    };
    const std::vector<Row> rows { { 100, 10, 11 }, { 0, 10, 1 }, { 100, 0, 0 } };
    for (const Row &row : rows) {
        RetryBudget budget;
        for (int request = 0; request < row.requests; ++request) {
            budget.noteRequest(at(10), OwnerId("a"), ServiceName("s"));
        }
        int granted = 0;
        for (int attempt = 0; attempt < 50; ++attempt) {
            granted += budget.trySpend(at(20), OwnerId("a"), ServiceName("s"), row.percent) ? 1 : 0;
        }
        BOOST_TEST(granted == row.granted);
        BOOST_TEST(budget.trySpend(at(20), OwnerId("b"), ServiceName("s"), 10));
        BOOST_TEST(budget.trySpend(at(60000), OwnerId("a"), ServiceName("s"), 10));
    }
}

BOOST_AUTO_TEST_CASE(backoffStaysWithinItsBounds)
{
    Random random(3);
    const Milliseconds base { 5 };
    const Milliseconds cap { 100 };
    Backoff backoff(base, cap);
    Milliseconds wait { 0 };
    for (int step = 0; step < 100; ++step) {
        const Milliseconds next = backoff.next(random);
        BOOST_TEST((next >= base && next <= cap));
        BOOST_TEST((next <= std::max(wait, base) * 3));
        wait = next;
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EndpointChoice)

BOOST_AUTO_TEST_CASE(leastLoadedWeighsFreeSlotsWithSpeed)
{
    Random random(1);
    LeastLoadedSelector selector;
    const std::vector<EndpointCandidate> candidates { { WorkerId("slow"), 6, 100 },
                                                      { WorkerId("fast"), 4, 20 },
                                                      { WorkerId("busy"), 1, 20 } };
    BOOST_TEST(selector.select(candidates, random).value() == 1U);
    BOOST_TEST(!selector.select({}, random).has_value());
}

BOOST_AUTO_TEST_CASE(equalEndpointsAreAllUsed)
{
    Random random(1);
    LeastLoadedSelector selector;
    const std::vector<EndpointCandidate> candidates(4, EndpointCandidate { WorkerId("w"), 8, 0 });
    std::vector<int> used(4);
    for (int choice = 0; choice < 400; ++choice) {
        ++used[selector.select(candidates, random).value()];
    }
    BOOST_TEST(*std::min_element(used.begin(), used.end()) > 50);
}

BOOST_AUTO_TEST_CASE(healthFollowsTheChart)
{
    const auto chart = Chart::load(std::string(CURRANTRING_CHARTS) + "/endpoint.scxml");
    BOOST_REQUIRE(chart.has_value());
    Random random(1);
    EndpointHealth health(*chart);
    BOOST_TEST(!health.noteFailure(at(0), random));
    BOOST_TEST(!health.noteFailure(at(0), random));
    BOOST_TEST(health.noteFailure(at(0), random));
    BOOST_TEST(health.state() == "shed");
    BOOST_TEST(!health.startProbe(at(1)));
    const TimePoint due = health.probeDue().value();
    BOOST_TEST(health.startProbe(due));
    BOOST_TEST(!health.startProbe(due));
    BOOST_TEST(health.noteFailure(due, random));
    BOOST_TEST(health.startProbe(health.probeDue().value()));
    BOOST_TEST(health.noteSuccess());
    BOOST_TEST(health.isLive());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestRecords)

BOOST_AUTO_TEST_CASE(outcomesAreRememberedForTheirTime)
{
    RequestRecord record;
    const RequestKey key { OwnerId("a"), RequestId("1") };
    record.remember(at(0), key, CallerReply { ReplyCode::Ok, "answer" }, at(100));
    BOOST_TEST(record.find(at(99), key).value().body == "answer");
    BOOST_TEST(!record.find(at(100), key).has_value());
    BOOST_TEST(!record.find(at(0), RequestKey { OwnerId("b"), RequestId("1") }).has_value());
    BOOST_TEST(record.hasRoom(at(0), RequestRecord::maximumCount - 2));
    BOOST_TEST(!record.hasRoom(at(0), RequestRecord::maximumCount - 1));
    BOOST_TEST(record.hasRoom(at(100), RequestRecord::maximumCount - 1));
}

BOOST_AUTO_TEST_CASE(aHomeIsTrustedAfterTheWindow)
{
    RequestHomes homes(HostId("a"));
    const ServiceName service("s");
    const Milliseconds window { 100 };
    const RepeatBounds bounds { window, Milliseconds(20) };
    homes.setHosts(at(0), window, service, { HostId("b"), HostId("a") }, false);
    int own = 0;
    for (int number = 0; number < 100; ++number) {
        const RequestId request("request-" + std::to_string(number));
        const bool isHome = homes.home({ service, OwnerId("o"), request }) == HostId("a");
        own += isHome ? 1 : 0;
        BOOST_TEST(!homes.mayRun(at(99), bounds, { service, OwnerId("o"), request }, {}));
        BOOST_TEST(homes.mayRun(at(100), bounds, { service, OwnerId("o"), request }, {}) == isHome);
    }
    BOOST_TEST((own > 30 && own < 70));
}

BOOST_AUTO_TEST_CASE(aFreshServiceIsTrustedUntilAnEarlierHolderShowsUp)
{
    RequestHomes homes(HostId("a"));
    const ServiceName service("s");
    const Milliseconds window { 100 };
    const RepeatBounds bounds { window, Milliseconds(20) };
    const auto isTrusted = [&](std::int64_t now) {
        return homes.mayRun(at(now), bounds, { service, OwnerId("o"), RequestId("r") }, {});
    };
    homes.setHosts(at(0), window, service, { HostId("a") }, true);
    BOOST_TEST(isTrusted(0));
    homes.distrustFresh({ service });
    BOOST_TEST(!isTrusted(99));
    BOOST_TEST(isTrusted(100));
    homes.setHosts(at(200), window, service, {}, false);
    homes.setHosts(at(210), window, service, { HostId("a") }, false);
    BOOST_TEST(!isTrusted(310));
    BOOST_TEST(isTrusted(311));
    homes.forgetHistory(at(400));
    BOOST_TEST(!isTrusted(499));
}

BOOST_AUTO_TEST_CASE(hostsAgreeOnAFirstStartOnlyByEqualVotesOfWhoRanNothing)
{
    struct Row
    {
        const char *name;
        bool runsBefore;
        bool isPaused;
        std::vector<std::uint64_t> others;
        bool agrees;
    };
    const std::vector<Row> rows {
        { "alone", false, false, {}, true },
        { "all equal", false, false, { 7, 7 }, true },
        { "one differs", false, false, { 7, 8 }, false },
        { "one hasn't voted", false, false, { 7, 0 }, false },
        { "ran before", true, false, { 7, 7 }, false },
        { "paused after", false, true, { 7, 7 }, false },
    };
    for (const Row &row : rows) {
        FirstStart start;
        row.runsBefore ? start.noteRun() : void();
        start.cast(at(10), 7);
        start.cast(at(20), 8);
        BOOST_TEST(start.vote() == (row.runsBefore ? 0U : 7U), row.name);
        row.isPaused ? start.close() : void();
        BOOST_TEST((start.agree(row.others) == (row.agrees ? std::optional(at(10)) : std::nullopt)), row.name);
        BOOST_TEST(!start.agree(row.others).has_value(), row.name);
    }
}

BOOST_AUTO_TEST_CASE(aFormerHomeRunsOnlyWhatCameThroughEveryLaterHome)
{
    const ServiceName service("s");
    const RepeatBounds bounds { Milliseconds(100), Milliseconds(20) };
    const HostId a("a");
    const HostId b("b");
    const HostId c("c");
    // A request whose home moves from a to b when b joins, and on to c.
    RequestId request("r0");
    for (int number = 1; rendezvousHost({ a, b }, OwnerId("o"), request) != b
         || rendezvousHost({ a, b, c }, OwnerId("o"), request) != c;
         ++number) {
        request = RequestId("r" + std::to_string(number));
    }
    const HomeKey key { service, OwnerId("o"), request };
    struct Row
    {
        const char *name;
        std::int64_t now;
        FormerHomeAsk ask;
        bool mayRun;
    };
    const std::vector<Row> rows {
        { "still the home", 999, {}, true },
        { "plain copy after the change", 1010, {}, false },
        { "asked by the next home", 1010, { { b }, Milliseconds(10) }, true },
        { "asked by another host", 1010, { { c }, Milliseconds(10) }, false },
        { "at the end of its window", 1100, { { b }, Milliseconds(100) }, true },
        { "after its window", 1101, { { b }, Milliseconds(101) }, false },
        { "the asker was restarted", 1090, { { b }, Milliseconds(10) }, false },
    };
    for (const Row &row : rows) {
        RequestHomes homes(a);
        homes.setHosts(at(0), bounds.window, service, { a }, false);
        if (row.now >= 1000) {
            homes.setHosts(at(1000), bounds.window, service, { a, b }, false);
        }
        BOOST_TEST(homes.mayRun(at(row.now), bounds, key, row.ask) == row.mayRun, row.name);
    }
    RequestHomes homes(b);
    homes.setHosts(at(0), bounds.window, service, { a }, false);
    homes.setHosts(at(1000), bounds.window, service, { a, b }, false);
    BOOST_TEST((homes.formerHome(at(1030), key, {}).value().first == a));
    BOOST_TEST(homes.formerHome(at(1030), key, {}).value().second.homeFor.count() == 30);
    BOOST_TEST(!homes.formerHome(at(1030), key, { { a }, Milliseconds(0) }).has_value());
    homes.setHosts(at(1040), bounds.window, service, { a, b, c }, false);
    BOOST_TEST(!homes.formerHome(at(1050), key, {}).has_value());
    BOOST_TEST((homes.formerHome(at(1050), key, { { c }, Milliseconds(0) }).value().second.askedBy
                == std::vector<HostId> { c, b }));
}

BOOST_AUTO_TEST_SUITE_END()
