#include "contractsubject.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr Milliseconds longTerm(600'000);

StorePut put(std::string key, std::string value, std::uint64_t expected, std::optional<LeaseId> lease = std::nullopt)
{
    return { std::move(key), std::move(value), StoreVersion(expected), lease };
}

bool failedWith(const StoreResult &result, StoreError error)
{
    return !result && result.error() == error;
}

/** Value under @p key, "(absent)" or "(unread)". */
template<typename Subject>
std::string valueOf(Subject &subject, const std::string &key)
{
    const StoreResult result = subject.store(StoreGet { key });
    if (!result) {
        return "(unread)";
    }
    return result->entries.empty() ? "(absent)" : result->entries.front().value;
}

template<typename Subject>
LeaseId grantLease(Subject &subject)
{
    const StoreResult result = subject.store(StoreGrantLease { longTerm });
    return result ? result->lease : LeaseId(0);
}

template<typename Subject>
std::vector<ContractCase<Subject>> entryCases()
{
    return {
        { "an absent entry reads as none",
          [](Subject &s) {
              BOOST_TEST(valueOf(s, "a") == "(absent)");
          } },
        { "a write from absent is read back with its version",
          [](Subject &s) {
              const StoreResult written = s.store(put("a/b", "1", 0));
              const StoreResult read = s.store(StoreGet { "a/b" });
              BOOST_REQUIRE((written && read && read->entries.size() == 1));
              BOOST_TEST(read->entries.front().version == written->version);
          } },
        { "keys and values keep their bytes",
          [](Subject &s) {
              const std::string key = "odd key/%2F?&+=\xc3\xa9";
              const std::string value("\x00\xff\"\\\n", 5);
              BOOST_TEST((s.store(put(key, value, 0)).has_value()));
              BOOST_TEST((valueOf(s, key) == value));
              BOOST_TEST(s.store(StoreList { "odd key/%2F?&+" })->entries.size() == 1U);
          } },
        { "a second write from absent conflicts and changes nothing",
          [](Subject &s) {
              BOOST_TEST((s.store(put("a", "1", 0)).has_value()));
              BOOST_TEST(failedWith(s.store(put("a", "2", 0)), StoreError::Conflict));
              BOOST_TEST(valueOf(s, "a") == "1");
          } },
        { "a removed and rewritten entry takes a new version",
          [](Subject &s) {
              const StoreVersion first = s.store(put("a", "1", 0))->version;
              BOOST_TEST((s.store(StoreDelete { "a" }).has_value()));
              BOOST_TEST((s.store(StoreDelete { "a" }).has_value()));
              BOOST_TEST((s.store(put("a", "2", 0))->version != first));
              BOOST_TEST(failedWith(s.store(put("a", "3", first.value())), StoreError::Conflict));
          } },
        { "a list holds the prefix's entries in key order",
          [](Subject &s) {
              for (const char *key : { "p/2", "p/1", "q/1", "p" }) {
                  BOOST_TEST((s.store(StorePut { key, key, std::nullopt, std::nullopt }).has_value()));
              }
              const StoreResult list = s.store(StoreList { "p/" });
              BOOST_REQUIRE(list->entries.size() == 2U);
              BOOST_TEST(list->entries[0].key == "p/1");
              BOOST_TEST(list->revision == StoreRevision(4));
          } },
        { "the largest value is taken and a larger one is not",
          [](Subject &s) {
              const std::string largest(maximumStoreValueBytes, 'x');
              BOOST_TEST((s.store(put("a", largest, 0)).has_value()));
              BOOST_TEST(failedWith(s.store(put("b", largest + "x", 0)), StoreError::TooLarge));
              BOOST_TEST(valueOf(s, "b") == "(absent)");
          } },
        { "the host list names the worker with all its room",
          [](Subject &s) {
              const StoreResult hosts = s.store(ReadHostList {});
              BOOST_REQUIRE(hosts->workers.size() == 1U);
              WorkerInfo seen = hosts->workers.front();
              seen.address = Address();
              BOOST_TEST((seen == contractPlatform().workers.front().info));
          } },
        { "a leaving worker is listed as such",
          [](Subject &s) {
              s.throwFault({ { "fault", "leaving" }, { "worker", "w0" }, { "on", true } });
              BOOST_TEST((s.store(ReadHostList {})->workers.front().state == WorkerState::Leaving));
          } },
    };
}

template<typename Subject>
std::vector<ContractCase<Subject>> leaseAndWatchCases()
{
    return {
        { "an entry vanishes with its lease, and a watch sees it",
          [](Subject &s) {
              const LeaseId lease = grantLease(s);
              const StoreVersion written = s.store(put("a", "1", 0, lease))->version;
              BOOST_TEST((s.store(StoreRenewLease { lease }).has_value()));
              s.throwFault({ { "fault", "lapseLease" }, { "lease", lease } });
              BOOST_TEST(valueOf(s, "a") == "(absent)");
              const StoreResult change = s.store(StoreWatch { "a", StoreRevision(written.value()), longTerm });
              BOOST_REQUIRE((change && change->entries.size() == 1));
              BOOST_TEST(change->entries.front().version == StoreVersion(0));
          } },
        { "a lapsed lease is neither renewed nor written under",
          [](Subject &s) {
              const LeaseId lease = grantLease(s);
              s.throwFault({ { "fault", "lapseLease" }, { "lease", "all" } });
              BOOST_TEST(failedWith(s.store(StoreRenewLease { lease }), StoreError::LeaseLapsed));
              BOOST_TEST(failedWith(s.store(put("a", "1", 0, lease)), StoreError::LeaseLapsed));
              BOOST_TEST(valueOf(s, "a") == "(absent)");
          } },
        { "an entry written again without its lease outlives it",
          [](Subject &s) {
              const LeaseId lease = grantLease(s);
              const StoreVersion version = s.store(put("a", "1", 0, lease))->version;
              BOOST_TEST((s.store(put("a", "2", version.value())).has_value()));
              s.throwFault({ { "fault", "lapseLease" }, { "lease", "all" } });
              BOOST_TEST(valueOf(s, "a") == "2");
          } },
        { "a watch tells only later changes under its prefix",
          [](Subject &s) {
              const StoreRevision seen = s.store(put("p/1", "1", 0))->revision;
              BOOST_TEST((s.store(put("q/1", "1", 0)).has_value()));
              BOOST_TEST(s.store(StoreWatch { "p/", seen, Milliseconds(0) })->entries.empty());
              BOOST_TEST((s.store(put("p/2", "2", 0)).has_value()));
              const StoreResult change = s.store(StoreWatch { "p/", seen, longTerm });
              BOOST_REQUIRE((change && change->entries.size() == 1));
              BOOST_TEST(change->entries.front().key == "p/2");
              BOOST_TEST(change->revision == StoreRevision(3));
          } },
    };
}

template<typename Subject>
std::vector<ContractCase<Subject>> faultCases()
{
    return {
        { "a write whose reply is lost has an unknown outcome and took effect",
          [](Subject &s) {
              s.throwFault({ { "fault", "loseReply" }, { "count", 1 }, { "keyPrefix", "p/" } });
              BOOST_TEST((s.store(put("q", "1", 0)).has_value()));
              BOOST_TEST(failedWith(s.store(put("p/1", "1", 0)), StoreError::Unknown));
              BOOST_TEST(valueOf(s, "p/1") == "1");
              BOOST_TEST((s.store(put("p/2", "1", 0)).has_value()));
          } },
        { "in an outage nothing takes effect, and it ends",
          [](Subject &s) {
              s.throwFault({ { "fault", "outage" }, { "on", true } });
              BOOST_TEST(failedWith(s.store(put("a", "1", 0)), StoreError::NotSent));
              BOOST_TEST(failedWith(s.store(ReadHostList {}), StoreError::NotSent));
              s.throwFault({ { "fault", "outage" }, { "on", false } });
              BOOST_TEST(valueOf(s, "a") == "(absent)");
          } },
        { "a silent service gives an unknown outcome, and a fresh connection works later",
          [](Subject &s) {
              s.throwFault({ { "fault", "silentStore" }, { "on", true } });
              BOOST_TEST(failedWith(s.hastyStore(put("a", "1", 0)), StoreError::Unknown));
              BOOST_TEST(s.hasReplacedConnections());
              s.throwFault({ { "fault", "silentStore" }, { "on", false } });
              BOOST_TEST(awaitCondition([&s] { return s.hastyStore(StoreGet { "a" }).has_value(); }));
          } },
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreContract)

BOOST_AUTO_TEST_CASE_TEMPLATE(entries, Subject, Subjects)
{
    runAll(entryCases<Subject>());
}

BOOST_AUTO_TEST_CASE_TEMPLATE(leasesAndWatches, Subject, Subjects)
{
    runAll(leaseAndWatchCases<Subject>());
}

BOOST_AUTO_TEST_CASE_TEMPLATE(faults, Subject, Subjects)
{
    runAll(faultCases<Subject>());
}

BOOST_AUTO_TEST_SUITE_END()
