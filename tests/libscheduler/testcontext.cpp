#include "context.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

BOOST_AUTO_TEST_SUITE(ContextTimers)

BOOST_AUTO_TEST_CASE(timersRunInOrderOfTheirDueTime)
{
    Context context(1);
    std::string order;
    context.schedule(Milliseconds(20), [&] { order += "b"; });
    context.schedule(Milliseconds(10), [&] { order += "a"; });
    context.advance(TimePoint(Milliseconds(30)), WallTime(0));
    BOOST_TEST(order == "ab");
}

BOOST_AUTO_TEST_CASE(cancelledTimerDoesNotRun)
{
    Context context(1);
    bool ran = false;
    const TimerId timer = context.schedule(Milliseconds(10), [&] { ran = true; });
    context.cancel(timer);
    context.advance(TimePoint(Milliseconds(30)), WallTime(0));
    BOOST_TEST(!ran);
}

BOOST_AUTO_TEST_CASE(aCallIsCompletedOnce)
{
    Context context(1);
    int completions = 0;
    context.callStore(StoreGet { "key" }, [&](const StoreResult &) { ++completions; });
    const std::vector<Action> actions = context.takeActions();
    BOOST_REQUIRE(actions.size() == 1);
    const CallId call = std::get<StoreCallAction>(actions.front()).call;
    context.completeStore(call, StoreReply {});
    context.completeStore(call, StoreReply {});
    BOOST_TEST(completions == 1);
}

BOOST_AUTO_TEST_SUITE_END()
