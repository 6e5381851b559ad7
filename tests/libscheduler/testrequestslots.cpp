#include "requestoutcome.h"
#include "requestworld.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

BOOST_AUTO_TEST_SUITE(LeavingEndpoints, *boost::unit_test::label("promise-leaving-endpoint"))

BOOST_AUTO_TEST_CASE(aLeavingEndpointGetsNoNewRequest)
{
    struct Row
    {
        std::string name;
        std::function<void(RequestWorld &)> leave;
        /** Sends that the news itself costs. */
        int allowed;
    };
    const Script refusesLeaving { Deed::Refuse, Milliseconds(2), RefusalReason::Leaving };
    const Script refusesStale { Deed::Refuse, Milliseconds(2), RefusalReason::StaleEpoch };
    const std::vector<Row> rows {
        { "by list",
          [](RequestWorld &world) { world.host("one").updateEndpoint(world.info("w1", WorkerState::Leaving)); }, 0 },
        { "by report", [](RequestWorld &world) { world.host("one").handleReport(world.report("w1", true)); }, 0 },
        { "by refusal", [&](RequestWorld &world) { world.script("w1", {}, refusesLeaving); }, 8 },
        { "by a newer epoch", [&](RequestWorld &world) { world.script("w1", {}, refusesStale); }, 8 },
        { "removed", [](RequestWorld &world) { world.host("one").removeEndpoint(WorkerId("w1")); }, 0 },
        { "by failure",
          [](RequestWorld &world) {
              world.script("w1", {}, { Deed::BreakUnrun, Milliseconds(2) });
          },
          8 },
    };
    for (const Row &row : rows) {
        RequestWorld world(3, "retry-budget = 100\n");
        world.addHost("one");
        world.addWorker("one", "w1");
        world.addWorker("one", "w2", 2);
        std::vector<const Outcome *> outcomes;
        constexpr int calls = 14;
        outcomes.reserve(calls);
        for (int number = 0; number < calls; ++number) {
            outcomes.push_back(&world.call("one", "r" + std::to_string(number), true));
        }
        const int before = world.sends("w1");
        row.leave(world);
        world.run(Milliseconds(100));
        for (int number = 0; number < 20; ++number) {
            outcomes.push_back(&world.call("one", "s" + std::to_string(number), true));
        }
        world.run(Milliseconds(1000));
        BOOST_TEST(world.sends("w1") - before <= row.allowed, row.name);
        for (const Outcome *outcome : outcomes) {
            BOOST_TEST(replyCodeName(outcome->reply.code) == "ok", row.name);
        }
    }
}

BOOST_AUTO_TEST_CASE(aShedEndpointIsProbedAndComesBack)
{
    RequestWorld world;
    world.addHost("one");
    world.addWorker("one", "w1");
    world.script("w1", {}, { Deed::NotSend });
    for (int number = 0; number < 5; ++number) {
        world.call("one", "r" + std::to_string(number), true);
    }
    world.run(Milliseconds(100));
    BOOST_TEST(world.logged("endpoint_shed") == 1);
    world.script("w1", {});
    const Outcome &outcome = world.call("one", "s", true);
    world.run(Milliseconds(2000));
    BOOST_TEST(world.logged("endpoint_probed") == 1);
    BOOST_TEST(world.logged("endpoint_recovered") == 1);
    BOOST_TEST(replyCodeName(outcome.reply.code) == "ok");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestSlots, *boost::unit_test::label("promise-no-overcommit"))

BOOST_AUTO_TEST_CASE(slotsHoldInARandomScheduleWithTakeovers)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RequestWorld world(seed);
        world.addHost("one");
        world.addHost("two");
        world.addWorker("one", "w1", 4);
        world.addWorker("one", "w2", 2);
        Random random(seed);
        std::uint64_t epoch = 1;
        std::string holder = "one";
        const std::vector<Script> usual {
            { Deed::Answer, Milliseconds(30) },        { Deed::Answer, Milliseconds(400) },
            { Deed::Answer, Milliseconds(1500) },      { Deed::RunAndBreak, Milliseconds(20) },
            { Deed::AnswerWrongId, Milliseconds(50) }, { Deed::NotSend, Milliseconds(5) },
        };
        std::vector<std::pair<bool, const Outcome *>> outcomes;
        for (int step = 0; step < 600; ++step) {
            const std::string worker = uniformBelow(random, 2) == 0 ? "w1" : "w2";
            const bool hasFault = uniformBelow(random, 5) == 0;
            world.script(worker, {}, usual[hasFault ? uniformBelow(random, usual.size()) : 0]);
            const Milliseconds timeout(50 + static_cast<std::int64_t>(uniformBelow(random, 950)));
            const bool idempotent = uniformBelow(random, 2) == 0;
            const std::string entry = uniformBelow(random, 2) == 0 ? "one" : "two";
            outcomes.emplace_back(idempotent, &world.call(entry, "r" + std::to_string(step), idempotent, timeout));
            world.run(Milliseconds(static_cast<std::int64_t>(uniformBelow(random, 40))));
            if (uniformBelow(random, 10) == 0) {
                world.host(holder).handleReport(world.report(worker));
            }
            if (step % 150 == 149) {
                // The former holder isn't told; the worker refuses it, as the new one has shown a newer epoch.
                holder = holder == "one" ? "two" : "one";
                world.addWorker(holder, "w1", 4, false, ++epoch);
                world.addWorker(holder, "w2", 2, false, epoch);
            }
        }
        world.run(Milliseconds(5000));
        BOOST_TEST(world.overcommitted() == 0U, "seed " << seed);
        BOOST_TEST(world.host("one").inFlight() + world.host("two").inFlight() == 0U, "seed " << seed);
        int served = 0;
        for (std::size_t step = 0; step < outcomes.size(); ++step) {
            const auto &[idempotent, outcome] = outcomes[step];
            const int runs = world.runs("r" + std::to_string(step));
            served += outcome->reply.code == ReplyCode::Ok ? 1 : 0;
            BOOST_TEST(outcome->replies == 1);
            BOOST_TEST((idempotent || runs <= 1), "seed " << seed << " step " << step);
            BOOST_TEST((outcome->reply.code != ReplyCode::NotRun || runs == 0), "seed " << seed << " step " << step);
        }
        BOOST_TEST(served > 100, "seed " << seed << " served " << served);
    }
}

BOOST_AUTO_TEST_CASE(ownRequestsInFlightKeepTheirSlotsWhenAnEndpointComesBack)
{
    RequestWorld world;
    world.addHost("one");
    world.addWorker("one", "w1", 1);
    world.script("w1", {}, Script { Deed::Answer, Milliseconds(450) });
    world.call("one", "first", true);
    world.run(Milliseconds(10));
    world.host("one").removeEndpoint(WorkerId("w1"));
    world.addWorker("one", "w1", 1);
    world.call("one", "second", true);
    world.run(Milliseconds(2000));
    BOOST_TEST(world.runs("first") == 1);
    BOOST_TEST(world.overcommitted() == 0U);
}

BOOST_AUTO_TEST_CASE(takenOverSlotsAreUsedOnceAReportShowsThemFree)
{
    RequestWorld world;
    world.addHost("one");
    world.addWorker("one", "w1", 4, false);
    const Outcome &outcome = world.call("one", "r", true);
    world.run(Milliseconds(600));
    BOOST_TEST(world.sends("w1") == 0);
    world.host("one").handleReport(world.report("w1"));
    world.run(Milliseconds(100));
    BOOST_TEST(replyCodeName(outcome.reply.code) == "ok");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestDrain, *boost::unit_test::label("promise-graceful-stop"))

BOOST_AUTO_TEST_CASE(aDrainFinishesWhatIsInFlightAndQueued)
{
    RequestWorld world;
    world.addHost("one");
    world.addHost("two");
    world.addWorker("one", "w1", 1);
    world.settle();
    world.script("w1", {}, { Deed::Answer, Milliseconds(50) });
    std::vector<const Outcome *> accepted;
    for (int number = 0; number < 3; ++number) {
        accepted.push_back(&world.call("one", "a" + std::to_string(number), number != 1));
        accepted.push_back(&world.call("two", "b" + std::to_string(number), true));
    }
    world.run(Milliseconds(5));
    world.host("one").beginDrain();
    BOOST_TEST(world.host("one").inFlight() == 6U);
    BOOST_TEST(world.host("one").rooms().empty());
    const Outcome &refused = world.call("one", "late", true);
    const Outcome &repeat = world.call("one", "a0", true);
    world.run(Milliseconds(900));
    BOOST_TEST(refused.reason() == requestreason::draining);
    BOOST_TEST(world.runs("late") == 0);
    BOOST_TEST(repeat.reply.body == "answer to a0");
    for (const Outcome *outcome : accepted) {
        BOOST_TEST(replyCodeName(outcome->reply.code) == "ok");
    }
    BOOST_TEST(world.host("one").inFlight() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
