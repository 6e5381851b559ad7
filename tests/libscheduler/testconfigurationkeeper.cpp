#include "configurationhost.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

std::string document(int tick)
{
    return "[defaults]\ngroup-commit-tick = " + std::to_string(tick) + "\n";
}

ApplyConfiguration change(const std::string &id, std::uint64_t madeAgainst, int tick = 1)
{
    return { ChangeId(id), "ann", ConfigurationVersion(madeAgainst), document(tick) };
}

ConfigurationRecord record(std::uint64_t version)
{
    return { ConfigurationVersion(version), ChangeId("r" + std::to_string(version)), "bob", document(2) };
}

void seedStore(Store &store, std::uint64_t version)
{
    store.write({ "configuration/current", nlohmann::json(record(version)).dump(), {}, {} });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Configurations)

BOOST_AUTO_TEST_CASE(changesAreSettledUnderFaults)
{
    struct Case
    {
        std::string name;
        std::uint64_t stored;
        ApplyConfiguration change;
        Fault reads;
        Fault writes;
        /** Faults end after this time. */
        Milliseconds healed;
        ReplyCode code;
        /** Part of the body. */
        std::string body;
        std::uint64_t inForce;
    };
    using enum Fault;
    const Milliseconds never(100000);
    const Milliseconds soon(1000);
    ApplyConfiguration broken = change("c", 0);
    broken.text = "[defaults]\nnonsense = 1\n";
    ApplyConfiguration anonymous = change("", 0);
    anonymous.author = "";
    const std::vector<Case> cases {
        { "first", 0, change("c", 0), None, None, never, ReplyCode::Ok, "\"version\":1", 1 },
        { "next", 4, change("c", 4), None, None, never, ReplyCode::Ok, "\"version\":5", 5 },
        { "stale", 4, change("c", 3), None, None, never, ReplyCode::Conflict, "\"author\":\"bob\"", 4 },
        { "ahead", 4, change("c", 9), None, None, never, ReplyCode::Conflict, "\"version\":4", 4 },
        { "not empty", 4, change("c", 0), None, None, never, ReplyCode::Conflict, "\"change\":\"r4\"", 4 },
        { "invalid", 0, broken, None, None, never, ReplyCode::Invalid, "configuration.toml:2:1", 0 },
        { "anonymous", 0, anonymous, None, None, never, ReplyCode::Invalid, "change id", 0 },
        { "reply lost", 0, change("c", 0), None, ReplyLost, never, ReplyCode::Ok, "\"version\":1", 1 },
        { "reply and archive lost", 4, change("c", 4), None, ReplyLost, never, ReplyCode::Ok, "\"version\":5", 5 },
        { "request lost for a while", 4, change("c", 4), None, RequestLost, soon, ReplyCode::Ok, "\"version\":5", 5 },
        { "request lost for long", 4, change("c", 4), None, RequestLost, never, ReplyCode::NotYetKnown, "again", 4 },
        { "store down", 0, change("c", 0), NotSent, NotSent, never, ReplyCode::NotYetKnown, "again", 0 },
        { "store down for a while", 4, change("c", 4), NotSent, NotSent, soon, ReplyCode::Ok, "\"version\":5", 5 },
        { "store silent", 0, change("c", 0), Silent, Silent, never, ReplyCode::NotYetKnown, "again", 0 },
        { "repeat in force",
          4,
          { ChangeId("r4"), "bob", ConfigurationVersion(3), document(2) },
          None,
          None,
          never,
          ReplyCode::Ok,
          "\"version\":4",
          4 },
        { "id of another document", 4, change("r4", 4), None, None, never, ReplyCode::Invalid, "new change id", 4 },
    };
    for (const Case &row : cases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Store store;
            if (row.stored > 0) {
                seedStore(store, row.stored);
            }
            Host host(store);
            host.keeper.start();
            host.run(Milliseconds(200));
            store.reads = row.reads;
            store.writes = row.writes;
            host.context.schedule(row.healed, [&] { store.reads = store.writes = Fault::None; });
            const auto reply = host.apply(row.change);
            BOOST_REQUIRE(reply.has_value());
            BOOST_TEST(static_cast<int>(reply->code) == static_cast<int>(row.code));
            BOOST_TEST(reply->body.find(row.body) != std::string::npos, reply->body);
            BOOST_TEST((host.keeper.record() ? host.keeper.record()->version.value() : 0) == row.inForce);
        }
    }
}

BOOST_AUTO_TEST_CASE(askingAgainSettlesAChangeThatWasSuperseded)
{
    Store store;
    Host host(store);
    host.keeper.start();
    host.apply(change("first", 0));
    store.entries.erase("configuration/history/1"); // The best-effort copy was lost; superseding archives it.
    host.apply(change("second", 1, 2));
    host.apply(change("third", 2, 3));
    const auto reply = host.apply(change("first", 0));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST((reply->code == ReplyCode::Ok));
    BOOST_TEST(reply->body == R"({"change":"first","version":1})");
    BOOST_TEST((host.apply(change("other", 0))->code == ReplyCode::Conflict));
}

BOOST_AUTO_TEST_CASE(ofRacingOperatorsOneWins)
{
    for (const Fault writes : { Fault::None, Fault::ReplyLost }) {
        Store store;
        seedStore(store, 1);
        Host left(store, 1);
        Host right(store, 2);
        store.writes = writes;
        std::vector<ReplyCode> codes;
        left.keeper.apply(change("l", 1), [&](const CallerReply &reply) { codes.push_back(reply.code); });
        right.keeper.apply(change("r", 1, 2), [&](const CallerReply &reply) { codes.push_back(reply.code); });
        for (int round = 0; round < 100; ++round) {
            left.run(Milliseconds(10));
            right.run(Milliseconds(10));
        }
        BOOST_REQUIRE(codes.size() == 2U);
        BOOST_TEST(std::ranges::count(codes, ReplyCode::Ok) == 1);
        BOOST_TEST(std::ranges::count(codes, ReplyCode::Conflict) == 1);
    }
}

BOOST_AUTO_TEST_CASE(otherHostsLearnByWatchOrPoll)
{
    const std::vector<std::pair<Fault, int>> rows { { Fault::None, 150 },
                                                    { Fault::NotSent, 3100 },
                                                    { Fault::Silent, 3100 } };
    for (const auto &[watches, bound] : rows) {
        Store store;
        store.watches = watches;
        Host host(store);
        host.keeper.start();
        host.run(Milliseconds(1000));
        BOOST_TEST(host.keeper.isKnownEmpty());
        seedStore(store, 3);
        host.run(Milliseconds(bound));
        BOOST_REQUIRE(host.keeper.record().has_value());
        BOOST_TEST(!host.keeper.isKnownEmpty());
    }
}

BOOST_AUTO_TEST_CASE(aSilentOrDeadStoreIsAskedAtABoundedRate)
{
    for (const Fault fault : { Fault::None, Fault::NotSent, Fault::Silent }) {
        Store store;
        store.reads = store.watches = fault;
        Host host(store);
        host.keeper.start();
        host.run(Milliseconds(60000));
        // Two calls in a second at most, and the first trials.
        BOOST_TEST(host.calls <= 130U);
        BOOST_TEST(host.calls >= 10U);
        BOOST_TEST(host.keeper.isKnownEmpty() == (fault == Fault::None));
        host.keeper.stop();
        host.run(Milliseconds(20000));
        const std::size_t calls = host.calls;
        host.run(Milliseconds(60000));
        BOOST_TEST(host.calls == calls);
    }
}

BOOST_AUTO_TEST_CASE(withTheStoreDownAPeersDocumentComesIntoForce)
{
    Store store;
    store.reads = store.watches = Fault::NotSent;
    Host host(store);
    host.keeper.start();
    const HostId peer("p");
    host.keeper.noteVersion(peer, ConfigurationVersion(0));
    host.run(Milliseconds(10));
    BOOST_TEST(host.sent.empty());
    for (int beat = 0; beat < 20; ++beat) {
        host.keeper.noteVersion(peer, ConfigurationVersion(5));
        host.run(Milliseconds(100));
    }
    BOOST_TEST(host.sent.size() == 4U); // One pull each 500 ms in 2 s.
    host.keeper.handlePush({ record(5) });
    host.keeper.noteVersion(peer, ConfigurationVersion(5));
    host.run(Milliseconds(1000));
    BOOST_TEST(host.sent.size() == 4U);
    host.keeper.handlePull(peer);
    host.run(Milliseconds(10));
    BOOST_REQUIRE(host.sent.size() == 5U);
    BOOST_TEST((std::get<ConfigurationPush>(host.sent.back().message).record == record(5)));
}

BOOST_AUTO_TEST_CASE(neverGoesBack)
{
    Store store;
    Host host(store);
    host.keeper.start();
    host.run(Milliseconds(100));
    for (const std::uint64_t version : { 5, 4, 5, 7, 6 }) {
        host.keeper.handlePush({ record(version) });
    }
    ConfigurationRecord unreadable = record(9);
    unreadable.text = "[";
    host.keeper.handlePush({ unreadable });
    const std::vector<std::uint64_t> expected { 5, 7 };
    BOOST_TEST(host.versions == expected, boost::test_tools::per_element());
    host.run(Milliseconds(100));
    BOOST_TEST(std::ranges::count(host.logged, "configuration_version_went_back") == 0);
    seedStore(store, 3); // The store was restored from an old copy.
    host.run(Milliseconds(4000));
    BOOST_TEST(host.versions == expected, boost::test_tools::per_element());
    BOOST_TEST(std::ranges::count(host.logged, "configuration_version_went_back") > 0);
    // A change made against the version in force brings the store back up.
    const auto reply = host.apply(change("c", 7));
    BOOST_TEST((reply && reply->code == ReplyCode::Ok));
    BOOST_TEST(host.keeper.record()->version.value() == 8U);
}

BOOST_AUTO_TEST_CASE(wallClockStepsDontMatter)
{
    std::vector<std::size_t> calls;
    for (const std::int64_t step : { std::int64_t(0), std::int64_t(86400000), std::int64_t(-86400000) }) {
        Store store;
        Host host(store);
        host.keeper.start();
        host.run(Milliseconds(5000));
        host.run(Milliseconds(20000), step);
        seedStore(store, 2);
        host.run(Milliseconds(1000), step);
        BOOST_TEST(host.versions.size() == 1U);
        calls.push_back(host.calls);
    }
    BOOST_TEST(calls[0] == calls[1]);
    BOOST_TEST(calls[0] == calls[2]);
}

BOOST_AUTO_TEST_CASE(aKeeperMayEndBeforeItsCalls)
{
    Store store;
    Context context(1);
    int replies = 0;
    {
        ConfigurationKeeper keeper(context, [](const Configuration &, const ConfigurationRecord &) {});
        keeper.start();
        keeper.apply(change("c", 0), [&](const CallerReply &) { ++replies; });
    }
    for (std::vector<Action> actions = context.takeActions(); !actions.empty(); actions = context.takeActions()) {
        for (const Action &action : actions) {
            const auto &call = std::get<StoreCallAction>(action);
            context.completeStore(call.call,
                                  std::holds_alternative<StoreWatch>(call.request) ? StoreResult(StoreReply {})
                                                                                   : store.serve(call.request));
        }
    }
    context.advance(TimePoint(Milliseconds(100000)), WallTime(0));
    BOOST_TEST(replies == 1);
    BOOST_TEST(store.entries.contains("configuration/current"));
}

BOOST_AUTO_TEST_SUITE_END()
