#include "contractsubject.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

EndpointRequest requestOf(const std::string &id, std::string body = "hello", std::uint64_t epoch = 1)
{
    return { { ShardId(3), Epoch(epoch) },
             WorkerId("w0"),
             {},
             ServiceName("echo"),
             RequestId(id),
             std::move(body),
             Milliseconds(0) };
}

bool refusedWith(const EndpointResult &result, RefusalReason reason)
{
    return !result && result.error().kind == EndpointErrorKind::Refused && result.error().reason == reason;
}

bool isUnknown(const EndpointResult &result)
{
    return !result && result.error().kind == EndpointErrorKind::Unknown;
}

template<typename Subject>
int executions(Subject &subject, const char *id)
{
    return subject.truth()["executions"].value(id, 0);
}

/** Takes both slots of the worker. */
template<typename Subject>
void fillSlots(Subject &subject)
{
    subject.occupy(requestOf("first", R"({"serviceMs": 600000})"));
    subject.occupy(requestOf("second", R"({"serviceMs": 600000})"));
    BOOST_TEST(
        awaitCondition([&subject] { return executions(subject, "first") + executions(subject, "second") == 2; }));
}

template<typename Subject>
std::vector<ContractCase<Subject>> requestCases()
{
    return {
        { "an answer names its request and echoes the body",
          [](Subject &s) {
              const EndpointResult result = s.serve(requestOf("r"));
              BOOST_REQUIRE(result.has_value());
              BOOST_TEST(result->request == RequestId("r"));
              BOOST_TEST(nlohmann::json::parse(result->body)["echo"] == "hello");
              BOOST_TEST(executions(s, "r") == 1);
          } },
        { "an empty body is a request like another",
          [](Subject &s) {
              BOOST_TEST(s.serve(requestOf("r", "")).has_value());
          } },
        { "a request past the slots is refused and not run",
          [](Subject &s) {
              fillSlots(s);
              BOOST_TEST(refusedWith(s.serve(requestOf("third")), RefusalReason::NoRoom));
              BOOST_TEST(executions(s, "third") == 0);
              BOOST_TEST(s.truth()["peaks"]["w0"]["requests"] == 2);
          } },
        { "an older epoch is refused",
          [](Subject &s) {
              BOOST_TEST(s.serve(requestOf("new", "", 2)).has_value());
              BOOST_TEST(refusedWith(s.serve(requestOf("old", "", 1)), RefusalReason::StaleEpoch));
              BOOST_TEST(executions(s, "old") == 0);
          } },
        { "an unknown service is refused",
          [](Subject &s) {
              EndpointRequest request = requestOf("r");
              request.service = ServiceName("other");
              BOOST_TEST(refusedWith(s.serve(request), RefusalReason::None));
          } },
        { "a leaving worker refuses requests",
          [](Subject &s) {
              s.throwFault({ { "fault", "leaving" }, { "worker", "w0" }, { "on", true } });
              BOOST_TEST(refusedWith(s.serve(requestOf("r")), RefusalReason::Leaving));
          } },
        { "a failing worker refuses requests",
          [](Subject &s) {
              s.throwFault({ { "fault", "failing" }, { "worker", "w0" }, { "on", true } });
              BOOST_TEST(refusedWith(s.serve(requestOf("r")), RefusalReason::Failing));
          } },
    };
}

template<typename Subject>
std::vector<ContractCase<Subject>> faultCases()
{
    return {
        { "a truncated answer is unknown and was run",
          [](Subject &s) {
              s.throwFault({ { "fault", "truncate" }, { "worker", "w0" }, { "count", 1 } });
              BOOST_TEST(isUnknown(s.serve(requestOf("r"))));
              BOOST_TEST(executions(s, "r") == 1);
              BOOST_TEST(s.serve(requestOf("r2")).has_value());
          } },
        { "a lost answer is unknown, and the request isn't repeated",
          [](Subject &s) {
              BOOST_TEST(s.serve(requestOf("warm-up")).has_value());
              s.throwFault({ { "fault", "loseReply" }, { "worker", "w0" }, { "count", 1 } });
              BOOST_TEST(isUnknown(s.serve(requestOf("r"))));
              BOOST_TEST(executions(s, "r") == 1);
          } },
        { "a frozen worker gives an unknown outcome, and a fresh connection works later",
          [](Subject &s) {
              BOOST_TEST(s.serve(requestOf("warm-up")).has_value());
              s.throwFault({ { "fault", "freezeWorker" }, { "worker", "w0" }, { "on", true } });
              BOOST_TEST(isUnknown(s.hastyServe(requestOf("r"))));
              BOOST_TEST(s.hasReplacedConnections());
              s.throwFault({ { "fault", "freezeWorker" }, { "worker", "w0" }, { "on", false } });
              BOOST_TEST(s.serve(requestOf("r2")).has_value());
          } },
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointContract)

BOOST_AUTO_TEST_CASE_TEMPLATE(requests, Subject, Subjects)
{
    runAll(requestCases<Subject>());
}

BOOST_AUTO_TEST_CASE_TEMPLATE(faults, Subject, Subjects)
{
    runAll(faultCases<Subject>());
}

BOOST_AUTO_TEST_SUITE_END()
