#include "shardlog.h"
#include "standinstore.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds step(10);

/** Several writers of one shard before one store, without hosts around them. */
class Writers
{
public:
    ShardLog &add(const std::string &host)
    {
        m_contexts.push_back(std::make_unique<Context>(m_contexts.size() + 1));
        const ChartSet charts = ChartSet::load(CURRANTRING_CHARTS).value();
        m_logs.push_back(std::make_unique<ShardLog>(ShardId(0), HostId(host),
                                                    TaskCharts { charts.task, charts.attempt }, *m_contexts.back(),
                                                    ShardLog::Handlers { [] {},
                                                                         [] {
                                                                         } }));
        m_logs.back()->setLimits({ Milliseconds(50), std::chrono::hours(1), maximumSnapshotInterval });
        return *m_logs.back();
    }

    bool runUntil(const std::function<bool()> &condition, Milliseconds limit)
    {
        for (const TimePoint end = m_now + limit; m_now < end && !condition(); m_now += step) {
            for (const auto &context : m_contexts) {
                context->advance(m_now, WallTime(m_now.time_since_epoch().count()));
                answer(*context);
            }
        }
        return condition();
    }

private:
    void answer(Context &context)
    {
        for (const Action &action : context.takeActions()) {
            if (const auto *call = std::get_if<StoreCallAction>(&action)) {
                context.completeStore(call->call, m_store.apply(call->request, m_now));
            }
        }
    }

    TimePoint m_now {};
    StandinStore m_store;
    std::vector<std::unique_ptr<Context>> m_contexts;
    std::vector<std::unique_ptr<ShardLog>> m_logs;
};

TaskSubmitted submitted(const std::string &name, std::size_t programBytes = 10)
{
    TaskSpec spec;
    spec.program = std::string(programBytes, 'x');
    return TaskSubmitted { TaskId(name), OwnerId("alpha"), SubmissionKey(name), spec };
}

bool commits(Writers &writers, ShardLog &log, const LedgerRecord &record)
{
    bool committed = false;
    static_cast<void>(log.append(record, true, [&](bool ok) { committed = ok; }));
    return writers.runUntil([&] { return committed; }, Milliseconds(20'000));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShardLogs)

BOOST_AUTO_TEST_CASE(claimsAloneDontFillTheRing)
{
    Writers writers;
    ShardLog &first = writers.add("first");
    first.claim();
    writers.runUntil([&] { return first.state() == ShardLog::State::Active; }, Milliseconds(5000));
    BOOST_TEST(commits(writers, first, submitted("kept")));
    ShardLog *last = &first;
    for (std::uint64_t claim = 0; claim < 2 * logRingSlots; ++claim) {
        last = &writers.add("host" + std::to_string(claim % 2));
        last->claim();
        const bool taken =
            writers.runUntil([&] { return last->state() == ShardLog::State::Active; }, Milliseconds(20'000));
        BOOST_REQUIRE_MESSAGE(taken, "claim " << claim << " isn't taken");
    }
    BOOST_TEST((last->ledger().find(TaskId("kept")) != nullptr));
    BOOST_TEST(commits(writers, *last, submitted("new")));
}

BOOST_AUTO_TEST_CASE(oneOfTwoProcessesUnderOneHostIdTakesTheShard)
{
    Writers writers;
    ShardLog &left = writers.add("same");
    ShardLog &right = writers.add("same");
    left.claim();
    right.claim();
    const auto isOver = [](const ShardLog &log) {
        return log.state() == ShardLog::State::Active || log.state() == ShardLog::State::Fenced;
    };
    BOOST_TEST(writers.runUntil([&] { return isOver(left) && isOver(right); }, Milliseconds(5000)));
    BOOST_TEST((left.state() == ShardLog::State::Active) != (right.state() == ShardLog::State::Active));
}

BOOST_AUTO_TEST_CASE(aGroupThatIsGatheredIsFullBeforeItIsTooLargeForTheStore)
{
    Writers writers;
    ShardLog &log = writers.add("host");
    log.claim();
    writers.runUntil([&] { return log.state() == ShardLog::State::Active; }, Milliseconds(5000));
    constexpr std::size_t programBytes = 16'384;
    int taken = 0;
    while (!log.isGroupFull()) {
        BOOST_REQUIRE(log.append(submitted("task" + std::to_string(++taken), programBytes)).has_value());
    }
    BOOST_TEST(taken * programBytes < maximumStoreValueBytes);
    BOOST_TEST(commits(writers, log, TaskEnded { TaskId("task1"), TaskEnd::Cancelled, "test" }));
    BOOST_TEST(!log.isGroupFull());
}

BOOST_AUTO_TEST_CASE(aPausedWriterFindsItsNextSlotTaken)
{
    Writers writers;
    ShardLog &paused = writers.add("paused");
    paused.claim();
    writers.runUntil([&] { return paused.state() == ShardLog::State::Active; }, Milliseconds(5000));
    ShardLog &successor = writers.add("successor");
    successor.claim();
    writers.runUntil([&] { return successor.state() == ShardLog::State::Active; }, Milliseconds(5000));
    std::optional<bool> committed;
    static_cast<void>(paused.append(submitted("late"), true, [&](bool ok) { committed = ok; }));
    BOOST_TEST(writers.runUntil([&] { return committed.has_value(); }, Milliseconds(5000)));
    BOOST_TEST(!committed.value());
    BOOST_TEST((paused.state() == ShardLog::State::Fenced));
    BOOST_TEST((successor.ledger().find(TaskId("late")) == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
