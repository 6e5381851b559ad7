#include "connectionmemory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <set>

using namespace currantring::net;

namespace {

constexpr std::size_t budget = 8'388'608;
constexpr std::size_t largestRequest = 278'528;
constexpr std::size_t smallRequest = 8192;
constexpr std::size_t step = 16'384;

struct Outcome
{
    std::size_t mostHeld = 0;
    std::size_t smallServed = 0;
    std::size_t small = 0;
};

/** Notes for a connection what it holds, and closes others until all are within the budget. */
void hold(ConnectionMemory &memory, std::set<ConnectionMemory::Key> &open, ConnectionMemory::Key key, std::size_t bytes)
{
    if (!open.contains(key)) {
        return;
    }
    memory.note(key, bytes);
    for (auto excess = memory.excess(); excess; excess = memory.excess()) {
        memory.remove(*excess);
        open.erase(*excess);
    }
}

/** @p clients connections take in a largest request step by step and keep it; small requests come in beside them. */
Outcome replay(std::size_t budgetBytes, std::size_t clients)
{
    ConnectionMemory memory;
    memory.setBudget(budgetBytes);
    std::set<ConnectionMemory::Key> open;
    ConnectionMemory::Key last = 0;
    for (std::size_t client = 0; client < clients; ++client) {
        open.insert(++last);
    }
    Outcome outcome;
    for (std::size_t bytes = step; bytes <= largestRequest; bytes += step) {
        for (ConnectionMemory::Key client = 1; client <= clients; ++client) {
            hold(memory, open, client, bytes);
            if (client % 8 == 0) {
                const ConnectionMemory::Key key = ++last;
                open.insert(key);
                ++outcome.small;
                hold(memory, open, key, smallRequest);
                outcome.smallServed += open.contains(key) ? 1 : 0;
                memory.remove(key);
                open.erase(key);
            }
            outcome.mostHeld = std::max(outcome.mostHeld, memory.held());
        }
    }
    return outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionMemories)

/** Guards against many clients that are each within the limit of a connection and exceed the host's memory together. */
BOOST_AUTO_TEST_CASE(clientsWithLargeRequestsStayWithinTheBudgetAndSmallRequestsAreServed)
{
    struct Row
    {
        std::size_t clients;
        /** Held without a budget, as before. */
        std::size_t baseline;
    };
    for (const Row row :
         { Row { 16, 16 * largestRequest }, Row { 100, 100 * largestRequest }, Row { 412, 412 * largestRequest } }) {
        const Outcome before = replay(std::numeric_limits<std::size_t>::max(), row.clients);
        const Outcome now = replay(budget, row.clients);
        BOOST_TEST(before.mostHeld == row.baseline);
        BOOST_TEST(now.mostHeld <= budget);
        // The best possible: all small requests.
        BOOST_TEST(now.smallServed == now.small);
        BOOST_TEST_MESSAGE(row.clients << " clients: held " << before.mostHeld << " before, " << now.mostHeld
                                       << " now, bound " << budget << "; small requests served " << now.smallServed
                                       << " of " << now.small);
    }
}

/** Guards against closing connections while all of them together are within the budget. */
BOOST_AUTO_TEST_CASE(nothingIsClosedWithinTheBudget)
{
    ConnectionMemory memory;
    memory.setBudget(100);
    memory.note(1, 60);
    memory.note(2, 40);
    BOOST_TEST(!memory.excess().has_value());
    memory.note(2, 41);
    BOOST_TEST(memory.excess().value_or(0) == 1U);
    memory.note(1, 10);
    BOOST_TEST(!memory.excess().has_value());
    BOOST_TEST(memory.held() == 51U);
}

/** Guards against closing a new connection in favour of an older one that holds as much. */
BOOST_AUTO_TEST_CASE(amongEqualConnectionsTheOldestIsClosed)
{
    ConnectionMemory memory;
    memory.setBudget(100);
    for (const ConnectionMemory::Key key : { 7U, 3U, 5U }) {
        memory.note(key, 50);
    }
    BOOST_TEST(memory.excess().value_or(0) == 3U);
    memory.remove(3);
    BOOST_TEST(!memory.excess().has_value());
    BOOST_TEST(memory.heldBy(3) == 0U);
    BOOST_TEST(memory.heldBy(5) == 50U);
}

BOOST_AUTO_TEST_SUITE_END()
