#include "requestoutcome.h"
#include "requestworld.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds callTime { 1000 };

Script refusal(RefusalReason reason)
{
    return Script { Deed::Refuse, Milliseconds(2), reason };
}

/** Every request of the world must be answered once, and "not run" only be said of what no endpoint ran. */
void checkTruth(const RequestWorld &world, const std::string &request, const Outcome &outcome, const std::string &name)
{
    BOOST_TEST(outcome.replies == 1, name);
    if (outcome.reply.code == ReplyCode::NotRun) {
        BOOST_TEST(world.runs(request) == 0, name);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestAnswers, *boost::unit_test::label("promise-whole-answer"))

BOOST_AUTO_TEST_CASE(anAnswerIsWholeOrAClearError)
{
    struct Row
    {
        std::string name;
        Script script;
        bool idempotent;
        ReplyCode code;
        std::string_view reason;
        std::string dropped;
    };
    const Milliseconds soon { 10 };
    const Milliseconds late { 1500 };
    const std::vector<Row> rows {
        { "in time", { Deed::Answer, soon }, false, ReplyCode::Ok, "", "" },
        { "late", { Deed::Answer, late }, false, ReplyCode::OutcomeUnknown, requestreason::deadlinePassed, "late" },
        { "late, idempotent",
          { Deed::Answer, late },
          true,
          ReplyCode::OutcomeUnknown,
          requestreason::deadlinePassed,
          "late" },
        { "out of order",
          { Deed::AnswerWrongId, soon },
          false,
          ReplyCode::OutcomeUnknown,
          requestreason::connectionLost,
          "wrong-request" },
        { "out of order, idempotent", { Deed::AnswerWrongId, soon }, true, ReplyCode::Ok, "", "wrong-request" },
        { "truncated or broken",
          { Deed::RunAndBreak, soon },
          false,
          ReplyCode::OutcomeUnknown,
          requestreason::connectionLost,
          "" },
        { "truncated or broken, idempotent", { Deed::RunAndBreak, soon }, true, ReplyCode::Ok, "", "" },
        { "doubled", { Deed::AnswerTwice, soon }, false, ReplyCode::Ok, "", "" },
    };
    for (const Row &row : rows) {
        RequestWorld world;
        world.addHost("one");
        world.addWorker("one", "w1");
        world.addWorker("one", "w2");
        world.script("w1", { row.script });
        world.script("w2", { row.script });
        // Only the first request meets the fault; the retry and the second one are served well.
        const Outcome &outcome = world.call("one", "r", row.idempotent, callTime);
        for (const char *worker : { "w1", "w2" }) {
            world.script(worker, {});
        }
        world.run(Milliseconds(3000));
        checkTruth(world, "r", outcome, row.name);
        BOOST_TEST(replyCodeName(outcome.reply.code) == replyCodeName(row.code), row.name);
        if (row.code == ReplyCode::Ok) {
            BOOST_TEST(outcome.reply.body == "answer to r", row.name);
        } else {
            BOOST_TEST(outcome.reason() == row.reason, row.name);
            BOOST_TEST((outcome.at <= TimePoint(Milliseconds(1000) + callTime)), row.name);
        }
        BOOST_TEST((row.dropped.empty() || world.counted("answers_dropped", row.dropped) == 1), row.name);
        BOOST_TEST(world.host("one").inFlight() == 0U, row.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestAtMostOnce, *boost::unit_test::label("promise-at-most-once"))

BOOST_AUTO_TEST_CASE(faultsOfEndpointsDoNotRunARequestTwice)
{
    struct Row
    {
        std::string name;
        std::deque<Script> scripts;
        ReplyCode code;
        int runs;
    };
    const std::vector<Row> rows {
        { "no fault", {}, ReplyCode::Ok, 1 },
        { "refused once", { refusal(RefusalReason::NoRoom) }, ReplyCode::Ok, 1 },
        { "not sent once", { Script { Deed::NotSend } }, ReplyCode::Ok, 1 },
        { "ran, answer lost", { Script { Deed::RunAndBreak } }, ReplyCode::OutcomeUnknown, 1 },
        { "not run, nobody can tell", { Script { Deed::BreakUnrun } }, ReplyCode::OutcomeUnknown, 0 },
        { "refused, then answer lost",
          { refusal(RefusalReason::NoRoom), Script { Deed::RunAndBreak } },
          ReplyCode::OutcomeUnknown,
          1 },
        { "answer with another id", { Script { Deed::AnswerWrongId } }, ReplyCode::OutcomeUnknown, 1 },
        { "late answer", { Script { Deed::Answer, Milliseconds(1500) } }, ReplyCode::OutcomeUnknown, 1 },
    };
    for (const Row &row : rows) {
        for (const bool repeatElsewhere : { false, true }) {
            RequestWorld world;
            world.addHost("one");
            world.addHost("two");
            world.addWorker("one", "w1");
            world.settle();
            world.script("w1", row.scripts);
            const Outcome &first = world.call("two", "r", false);
            world.run(Milliseconds(3));
            const Outcome &during = world.call(repeatElsewhere ? "one" : "two", "r", false);
            world.run(Milliseconds(1600));
            const Outcome &after = world.call(repeatElsewhere ? "one" : "two", "r", false);
            world.run(Milliseconds(1600));
            for (const Outcome *outcome : { &first, &during, &after }) {
                BOOST_TEST(outcome->replies == 1, row.name);
                BOOST_TEST(replyCodeName(outcome->reply.code) == replyCodeName(row.code), row.name);
            }
            BOOST_TEST(world.runs("r") == row.runs, row.name);
        }
    }
}

BOOST_AUTO_TEST_CASE(aRepeatThroughAnyHostMeetsTheFirstCopy)
{
    for (const bool loseReplies : { false, true }) {
        RequestWorld world(7);
        for (const char *host : { "one", "two", "three" }) {
            world.addHost(host);
            world.addWorker(host, std::string("w-") + host);
        }
        world.settle();
        world.loseReplies(loseReplies);
        for (int number = 0; number < 30; ++number) {
            const std::string request = "r" + std::to_string(number);
            world.call("one", request, false, Milliseconds(200));
            world.run(Milliseconds(number));
            world.call("two", request, false, Milliseconds(200));
            world.run(Milliseconds(300));
            world.loseReplies(false);
            const Outcome &last = world.call("three", request, false, Milliseconds(200));
            world.run(Milliseconds(300));
            BOOST_TEST(replyCodeName(last.reply.code) == "ok");
            BOOST_TEST(world.runs(request) == 1);
            world.loseReplies(loseReplies);
        }
    }
}

BOOST_AUTO_TEST_CASE(aRepeatAfterAChangeOfHostsIsNotRunAgain)
{
    for (const bool joins : { false, true }) {
        RequestWorld world(7);
        for (const char *host : { "one", "two" }) {
            world.addHost(host);
            world.addWorker(host, std::string("w-") + host);
        }
        world.settle();
        for (int number = 0; number < 30; ++number) {
            world.call("one", "r" + std::to_string(number), false);
        }
        world.run(Milliseconds(500));
        if (joins) {
            world.addHost("three");
            world.addWorker("three", "w-three", 8, false);
        } else {
            world.dropHost("two");
        }
        int unknown = 0;
        for (int number = 0; number < 30; ++number) {
            const std::string request = "r" + std::to_string(number);
            const Outcome &again = world.call("one", request, false);
            world.run(Milliseconds(50));
            BOOST_TEST(again.replies == 1);
            unknown += again.reason() == requestreason::homeChanged ? 1 : 0;
            BOOST_TEST(world.runs(request) == 1);
        }
        // A host that is gone took its record along; one that is there still answers for its former requests.
        BOOST_TEST((joins ? unknown == 0 : unknown > 3 && unknown < 27));
        world.settle();
        const Outcome &later = world.call("one", "later", false);
        world.run(Milliseconds(500));
        BOOST_TEST(replyCodeName(later.reply.code) == "ok");
    }
}

BOOST_AUTO_TEST_CASE(aPausedHostMustEarnItsHomesAnew)
{
    RequestWorld world;
    world.addHost("one");
    world.addHost("two");
    world.addWorker("one", "w1");
    world.settle();
    // The clock jumps before anything that waits is handled, as after the process was stopped and continued.
    world.context.advance(world.context.now() + Milliseconds(60000), WallTime(0));
    const Outcome &first = world.call("one", "r", false);
    world.run(Milliseconds(200));
    const Outcome &second = world.call("one", "s", false);
    world.run(Milliseconds(200));
    BOOST_TEST(first.reason() == requestreason::homeChanged);
    BOOST_TEST(second.reason() == requestreason::homeChanged);
    BOOST_TEST(world.runs("r") + world.runs("s") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestTruth, *boost::unit_test::label("promise-truthful-not-run"))

BOOST_AUTO_TEST_CASE(eachReasonForNotRunIsTrue)
{
    struct Row
    {
        std::string name;
        std::string settings;
        Script usual;
        std::function<void(RequestWorld &)> prepare;
        Milliseconds timeout;
        std::string_view reason;
    };
    const auto nothing = [](RequestWorld &) {
    };
    const auto occupy = [](RequestWorld &world) {
        world.call("one", "occupier", true, Milliseconds(500));
        world.call("one", "waiter", true, Milliseconds(900));
    };
    const Script slow { Deed::Answer, Milliseconds(450) };
    const std::vector<Row> rows {
        { "no time", "", {}, nothing, Milliseconds(0), requestreason::deadlineTooShort },
        { "queue full", "request-queue-limit = 1", slow, occupy, callTime, requestreason::queueFull },
        { "expired", "", slow, occupy, Milliseconds(100), requestreason::expiredInQueue },
        { "draining",
          "",
          {},
          [](RequestWorld &world) { world.host("one").beginDrain(); },
          callTime,
          requestreason::draining },
        { "endpoint removed",
          "",
          {},
          [](RequestWorld &world) { world.host("one").removeEndpoint(WorkerId("w1")); },
          callTime,
          requestreason::noEndpoint },
        { "removed while waiting", "", slow,
          [&occupy](RequestWorld &world) {
              occupy(world);
              world.context.schedule(Milliseconds(20), [&world] { world.host("one").removeEndpoint(WorkerId("w1")); });
          },
          callTime, requestreason::noEndpoint },
        { "refused for good", "", refusal(RefusalReason::None), nothing, callTime, requestreason::retryBudget },
        { "not sent for good", "retry-budget = 0", { Deed::NotSend }, nothing, callTime, requestreason::retryBudget },
        { "refused when time is short", "", refusal(RefusalReason::None), nothing, Milliseconds(5),
          requestreason::endpointRefused },
    };
    for (const Row &row : rows) {
        RequestWorld world(1, row.settings + "\n");
        world.addHost("one");
        world.addWorker("one", "w1", 1);
        world.script("w1", {}, row.usual);
        row.prepare(world);
        const Outcome &outcome = world.call("one", "r", true, row.timeout);
        world.run(Milliseconds(3000));
        checkTruth(world, "r", outcome, row.name);
        BOOST_TEST(replyCodeName(outcome.reply.code) == "not-run", row.name);
        BOOST_TEST(outcome.reason() == row.reason, row.name);
        BOOST_TEST(world.counted("requests_refused", std::string(row.reason)) >= 1, row.name);
    }
}

BOOST_AUTO_TEST_CASE(aRequestThatMayHaveRunIsNeverCalledNotRun)
{
    // The first send runs and breaks, every retry is surely not run: together the outcome is unknown.
    for (const Deed later : { Deed::Refuse, Deed::NotSend }) {
        RequestWorld world;
        world.addHost("one");
        world.addWorker("one", "w1");
        world.script("w1", { Script { Deed::RunAndBreak } }, Script { later });
        const Outcome &outcome = world.call("one", "r", true);
        world.run(Milliseconds(3000));
        BOOST_TEST(world.runs("r") == 1);
        BOOST_TEST(replyCodeName(outcome.reply.code) == "outcome-unknown");
    }
}

BOOST_AUTO_TEST_CASE(whatIsUnknownIsInvalid)
{
    RequestWorld world;
    world.addHost("one");
    BOOST_TEST(world.call("one", "r", true, callTime, "nobody").reason() == requestreason::unknownOwner);
    BOOST_TEST(world.call("one", "", true).reason() == requestreason::noRequestId);
    std::string reason;
    world.host("one").handleCall(CallService { OwnerId("alder"), ServiceName("none"), RequestId("r"), {}, "", {} },
                                 [&reason](const CallerReply &reply) {
                                     BOOST_TEST(replyCodeName(reply.code) == "invalid");
                                     reason = nlohmann::json::parse(reply.body)["reason"];
                                 });
    BOOST_TEST(reason == requestreason::unknownService);
}

BOOST_AUTO_TEST_SUITE_END()
