#include "boundedtaskqueue.h"
#include "callpool.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>

using namespace currantring;

namespace {

/** Jobs that hold their threads until they are let go. */
struct Gate
{
    std::promise<void> opener;
    std::shared_future<void> open = opener.get_future().share();

    std::function<void()> job(std::atomic<int> &ran)
    {
        return [open = open, &ran] {
            open.wait();
            ++ran;
        };
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CallPools)

BOOST_AUTO_TEST_CASE(takesThreadsPlusWaitingJobsAndNoMore)
{
    Gate gate;
    std::atomic<int> ran = 0;
    CallPool pool("test", { 2, 3 });
    for (int job = 0; job < 5; ++job) {
        BOOST_TEST(pool.tryRun(gate.job(ran)));
    }
    BOOST_TEST(!pool.tryRun(gate.job(ran)));
    BOOST_TEST(pool.load() == 5U);
    gate.opener.set_value();
    pool.stop();
    BOOST_TEST(ran == 5);
}

BOOST_AUTO_TEST_CASE(takesJobsAgainAfterOneHasEnded)
{
    CallPool pool("test", { 1, 0 });
    for (int round = 0; round < 100; ++round) {
        std::promise<void> done;
        // The thread may still be leaving the previous job; it then frees its place without any other event.
        while (!pool.tryRun([&done] { done.set_value(); })) {
            sched_yield();
        }
        done.get_future().wait();
    }
    pool.stop();
    BOOST_TEST(pool.load() == 0U);
}

BOOST_AUTO_TEST_CASE(runsWaitingJobsInOrder)
{
    Gate gate;
    std::atomic<int> ran = 0;
    std::string order;
    CallPool pool("test", { 1, 3 });
    BOOST_TEST(pool.tryRun(gate.job(ran)));
    for (const char name : std::string("abc")) {
        BOOST_TEST(pool.tryRun([&order, name] { order += name; }));
    }
    gate.opener.set_value();
    pool.stop();
    BOOST_TEST(order == "abc");
}

BOOST_AUTO_TEST_CASE(refusesAfterStop)
{
    CallPool pool("test", { 1, 1 });
    pool.stop();
    BOOST_TEST(!pool.tryRun([] {}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BoundedTaskQueues)

BOOST_AUTO_TEST_CASE(aConnectionPastTheBoundRunsAtOnceAsRefused)
{
    Gate gate;
    std::atomic<int> ran = 0;
    int waiting = 0;
    int refused = 0;
    BoundedTaskQueue queue(
        { 1, 1 }, [&waiting] { ++waiting; }, [&refused] { ++refused; });
    queue.enqueue(gate.job(ran));
    BOOST_TEST(waiting == 0);
    queue.enqueue(gate.job(ran));
    BOOST_TEST(waiting == 1);
    bool sawRefusing = false;
    queue.enqueue([&sawRefusing] { sawRefusing = BoundedTaskQueue::isRefusing(); });
    BOOST_TEST(sawRefusing);
    BOOST_TEST(refused == 1);
    BOOST_TEST(waiting == 1);
    BOOST_TEST(!BoundedTaskQueue::isRefusing());
    gate.opener.set_value();
    queue.shutdown();
    BOOST_TEST(ran == 2);
}

BOOST_AUTO_TEST_CASE(aConnectionWithinTheBoundIsNotRefused)
{
    std::atomic<bool> sawRefusing = true;
    BoundedTaskQueue queue(
        { 1, 0 }, [] {}, [] {});
    queue.enqueue([&sawRefusing] { sawRefusing = BoundedTaskQueue::isRefusing(); });
    queue.shutdown();
    BOOST_TEST(!sawRefusing);
}

BOOST_AUTO_TEST_SUITE_END()
