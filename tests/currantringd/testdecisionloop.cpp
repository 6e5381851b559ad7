#include "decisionloop.h"
#include "thread.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace currantring;

namespace {

constexpr Milliseconds noWait { 0 };

/** A loop on a clock that the test sets, which notes what it is given. */
struct LoopWithNotes
{
    Context context { 1 };
    Milliseconds now { 0 };
    std::string notes;
    std::function<void(Input &)> onInput;
    DecisionLoop loop { context,
                        { [this] {
                             return ClockReading { TimePoint(now), WallTime(now.count()) };
                         },
                          [this](Input &input) {
                              if (onInput) {
                                  onInput(input);
                              }
                          },
                          [this](Action &action) {
                              if (const auto *count = std::get_if<CountAction>(&action)) {
                                  notes += count->name;
                              }
                          },
                          [this] {
                              notes += '.';
                          } } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(DecisionLoops)

BOOST_AUTO_TEST_CASE(inputsAreHandledInOrderAndTheirActionsBeforeTheNextInput)
{
    LoopWithNotes test;
    test.onInput = [&test](Input &input) {
        const std::uint64_t token = std::get<CallerGone>(input).caller.value();
        test.notes += 'i';
        test.context.count(std::to_string(token));
    };
    for (std::uint64_t token = 1; token <= 3; ++token) {
        test.loop.post(CallerGone { CallerToken(token) });
    }
    BOOST_TEST(test.loop.turn(noWait));
    BOOST_TEST(test.notes == "i1i2i3.");
}

BOOST_AUTO_TEST_CASE(dueTimersRunBeforeInputs)
{
    LoopWithNotes test;
    test.onInput = [&test](Input & /*input*/) {
        test.notes += 'i';
    };
    test.context.schedule(Milliseconds(10), [&test] { test.context.count("t"); });
    test.loop.post(StopAsked {});
    BOOST_TEST(test.loop.turn(noWait));
    BOOST_TEST(test.notes == "i.");
    test.now = Milliseconds(10);
    test.loop.post(StopAsked {});
    BOOST_TEST(test.loop.turn(noWait));
    BOOST_TEST(test.notes == "i.ti.");
}

BOOST_AUTO_TEST_CASE(actionsDecidedOutsideOfATurnAreNotLeftWaiting)
{
    LoopWithNotes test;
    test.context.count("s");
    BOOST_TEST(test.loop.turn(noWait));
    BOOST_TEST(test.notes == "s.");
}

BOOST_AUTO_TEST_CASE(exitEndsTheLoopAfterTheActionsBesideIt)
{
    LoopWithNotes test;
    test.onInput = [&test](Input & /*input*/) {
        test.context.count("a");
        test.context.exit();
        test.context.count("b");
    };
    test.loop.post(StopAsked {});
    test.loop.run();
    BOOST_TEST(test.notes == "ab.");
}

BOOST_AUTO_TEST_CASE(anInputWakesALoopThatWaits)
{
    LoopWithNotes test;
    test.onInput = [&test](Input & /*input*/) {
        test.context.exit();
    };
    Thread loop("loop", [&test] { test.loop.run(); });
    test.loop.post(StopAsked {});
    loop.join();
    BOOST_TEST(!test.notes.empty());
}

BOOST_AUTO_TEST_CASE(noInputOfManyThreadsIsLostAndEachKeepsItsOrder)
{
    constexpr std::uint64_t threads = 4;
    constexpr std::uint64_t each = 2000;
    LoopWithNotes test;
    std::map<std::uint64_t, std::uint64_t> last;
    std::uint64_t handled = 0;
    bool ordered = true;
    test.onInput = [&](Input &input) {
        const std::uint64_t token = std::get<CallerGone>(input).caller.value();
        std::uint64_t &previous = last[token / each];
        ordered = ordered && (token % each == 0 || token == previous + 1);
        previous = token;
        if (++handled == threads * each) {
            test.context.exit();
        }
    };
    std::vector<Thread> producers;
    for (std::uint64_t thread = 0; thread < threads; ++thread) {
        producers.emplace_back("producer", [&test, thread] {
            for (std::uint64_t index = 0; index < each; ++index) {
                test.loop.post(CallerGone { CallerToken(thread * each + index) });
            }
        });
    }
    test.loop.run();
    producers.clear();
    BOOST_TEST(handled == threads * each);
    BOOST_TEST(ordered);
}

BOOST_AUTO_TEST_CASE(offersPastTheBoundAreDroppedAndPostsAreNot)
{
    LoopWithNotes test;
    int handled = 0;
    test.onInput = [&handled](Input & /*input*/) {
        ++handled;
    };
    BOOST_TEST(test.loop.offer(StopAsked {}, 2));
    BOOST_TEST(test.loop.offer(StopAsked {}, 2));
    BOOST_TEST(!test.loop.offer(StopAsked {}, 2));
    BOOST_TEST(test.loop.post(StopAsked {}));
    test.loop.turn(noWait);
    BOOST_TEST(handled == 3);
}

BOOST_AUTO_TEST_CASE(aClosedLoopGivesBackWhatItDidNotHandleAndTakesNothingMore)
{
    LoopWithNotes test;
    test.loop.post(CallerGone { CallerToken(7) });
    const std::deque<Input> left = test.loop.close();
    BOOST_REQUIRE(left.size() == 1U);
    BOOST_TEST(std::get<CallerGone>(left.front()).caller.value() == 7U);
    BOOST_TEST(!test.loop.post(StopAsked {}));
}

BOOST_AUTO_TEST_SUITE_END()
