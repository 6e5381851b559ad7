#include "callerapi.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <iostream>

#include <nlohmann/json.hpp>

using namespace currantring;

namespace {

constexpr WallTime now(1'000'000);

nlohmann::json goodBatch()
{
    return { { "owner", "alpha" },  { "key", "proofs-1" },  { "kind", "batch" },   { "urgent", true },
             { "millicores", 800 }, { "mebibytes", 256 },   { "accelerators", 1 }, { "deadlineMs", 60'000 },
             { "runMs", 500 },      { "program", "run it" } };
}

/** Places of the findings in their order, separated by blanks. */
std::string places(const ParsedRequest &parsed)
{
    if (parsed) {
        return "accepted";
    }
    std::string text;
    for (const Finding &finding : parsed.error()) {
        text += (text.empty() ? "" : " ") + finding.place;
    }
    return text;
}

struct BadSubmission
{
    const char *name;
    std::function<void(nlohmann::json &)> spoil;
    const char *places;
};

const std::vector<BadSubmission> &badSubmissions()
{
    static const std::vector<BadSubmission> rows {
        { "no owner", [](nlohmann::json &body) { body.erase("owner"); }, "body.owner" },
        { "empty key", [](nlohmann::json &body) { body["key"] = ""; }, "body.key" },
        { "key too long", [](nlohmann::json &body) { body["key"] = std::string(201, 'k'); }, "body.key" },
        { "key with a line end", [](nlohmann::json &body) { body["key"] = "a\nb"; }, "body.key" },
        { "owner is a number", [](nlohmann::json &body) { body["owner"] = 3; }, "body.owner" },
        { "unknown kind", [](nlohmann::json &body) { body["kind"] = "nightly"; }, "body.kind" },
        { "no kind", [](nlohmann::json &body) { body.erase("kind"); }, "body.kind" },
        { "zero processors", [](nlohmann::json &body) { body["millicores"] = 0; }, "body.millicores" },
        { "negative memory", [](nlohmann::json &body) { body["mebibytes"] = -1; }, "body.mebibytes" },
        { "negative accelerators", [](nlohmann::json &body) { body["accelerators"] = -1; }, "body.accelerators" },
        { "fractional processors", [](nlohmann::json &body) { body["millicores"] = 1.5; }, "body.millicores" },
        { "size past 64 bits", [](nlohmann::json &body) { body["millicores"] = 18446744073709551615ULL; },
          "body.millicores" },
        { "no deadline", [](nlohmann::json &body) { body.erase("deadlineMs"); }, "body.deadlineMs" },
        { "deadline in the past", [](nlohmann::json &body) { body["deadlineMs"] = -5; }, "body.deadlineMs" },
        { "no run time", [](nlohmann::json &body) { body.erase("runMs"); }, "body.runMs" },
        { "no program", [](nlohmann::json &body) { body.erase("program"); }, "body.program" },
        { "urgent is a text", [](nlohmann::json &body) { body["urgent"] = "yes"; }, "body.urgent" },
        { "unknown member", [](nlohmann::json &body) { body["cores"] = 2; }, "body.cores" },
        { "a watcher with a deadline", [](nlohmann::json &body) { body["kind"] = "watcher"; },
          "body.deadlineMs body.runMs" },
        { "several mistakes at once",
          [](nlohmann::json &body) {
              body.erase("owner");
              body["millicores"] = 0;
              body.erase("deadlineMs");
              body["cores"] = 2;
          },
          "body.owner body.millicores body.deadlineMs body.cores" },
    };
    return rows;
}

struct BadCall
{
    const char *name;
    std::function<void(ServiceCallInput &)> spoil;
    const char *places;
};

ServiceCallInput goodCall()
{
    return { "booking", "alpha", "request-1", "250", "yes", "body" };
}

const std::vector<BadCall> &badCalls()
{
    static const std::vector<BadCall> rows {
        { "no owner", [](ServiceCallInput &input) { input.owner.reset(); }, "header Currantring-Owner" },
        { "owner not ASCII", [](ServiceCallInput &input) { input.owner = "\xff"; }, "header Currantring-Owner" },
        { "empty request id", [](ServiceCallInput &input) { input.request = ""; }, "header Currantring-Request-Id" },
        { "timeout with a unit", [](ServiceCallInput &input) { input.timeoutMs = "5s"; },
          "header Currantring-Timeout-Ms" },
        { "no time left", [](ServiceCallInput &input) { input.timeoutMs = "0"; }, "header Currantring-Timeout-Ms" },
        { "timeout past 64 bits", [](ServiceCallInput &input) { input.timeoutMs = "99999999999999999999"; },
          "header Currantring-Timeout-Ms" },
        { "idempotent maybe", [](ServiceCallInput &input) { input.idempotent = "maybe"; },
          "header Currantring-Idempotent" },
        { "several mistakes at once",
          [](ServiceCallInput &input) {
              input.service = std::string(201, 's');
              input.owner = "";
              input.timeoutMs = "-1";
          },
          "path header Currantring-Owner header Currantring-Timeout-Ms" },
    };
    return rows;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerApi)

BOOST_AUTO_TEST_CASE(aBatchTaskIsReadWhole)
{
    const ParsedRequest parsed = parseSubmission(goodBatch().dump(), now);
    BOOST_REQUIRE(parsed.has_value());
    const auto &submit = std::get<SubmitTask>(*parsed);
    BOOST_TEST(submit.owner.value() == "alpha");
    BOOST_TEST(submit.key.value() == "proofs-1");
    BOOST_TEST((submit.spec.kind == TaskKind::Batch));
    BOOST_TEST(submit.spec.urgent);
    BOOST_TEST(submit.spec.declared.processors.value() == 800);
    BOOST_TEST(submit.spec.declared.memory.value() == 256);
    BOOST_TEST(submit.spec.declared.accelerators.value() == 1);
    BOOST_TEST(submit.spec.deadline.value() == 1'060'000);
    BOOST_TEST(submit.spec.declaredRunTime.count() == 500);
    BOOST_TEST(submit.spec.program == "run it");
}

BOOST_AUTO_TEST_CASE(aWatcherNeedsNoDeadline)
{
    nlohmann::json body = goodBatch();
    body["kind"] = "watcher";
    body.erase("deadlineMs");
    body.erase("runMs");
    body.erase("accelerators");
    const ParsedRequest parsed = parseSubmission(body.dump(), now);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((std::get<SubmitTask>(*parsed).spec.kind == TaskKind::Watcher));
}

BOOST_AUTO_TEST_CASE(badSubmissionsGiveAllTheirFindings)
{
    for (const BadSubmission &row : badSubmissions()) {
        BOOST_TEST_CONTEXT(row.name)
        {
            nlohmann::json body = goodBatch();
            row.spoil(body);
            BOOST_TEST(places(parseSubmission(body.dump(), now)) == row.places);
        }
    }
}

BOOST_AUTO_TEST_CASE(aBodyThatIsNoObjectGivesOneFinding)
{
    for (const char *body : { "{", "[]", "7", "not json", "{\"owner\":\"\xff\"}" }) {
        BOOST_TEST_CONTEXT(body)
        {
            BOOST_TEST(places(parseSubmission(body, now)) == "body");
        }
    }
}

BOOST_AUTO_TEST_CASE(aDeeplyNestedValueIsOnlyAFinding)
{
    constexpr std::size_t depth = 200'000;
    nlohmann::json body = goodBatch();
    body.erase("key");
    std::string text = body.dump();
    text.pop_back();
    text += ",\"key\":" + std::string(depth, '[') + std::string(depth, ']') + "}";
    BOOST_TEST(places(parseSubmission(text, now)) == "body.key");
}

BOOST_AUTO_TEST_CASE(aCallIsReadWhole)
{
    const ParsedRequest parsed = parseServiceCall(goodCall());
    BOOST_REQUIRE(parsed.has_value());
    const auto &call = std::get<CallService>(*parsed);
    BOOST_TEST(call.service.value() == "booking");
    BOOST_TEST(call.owner.value() == "alpha");
    BOOST_TEST(call.request.value() == "request-1");
    BOOST_TEST(call.timeout.value().count() == 250);
    BOOST_TEST(call.idempotent.value());
    BOOST_TEST(call.body == "body");
}

BOOST_AUTO_TEST_CASE(aCallWithoutOptionalHeadersLeavesThemOpen)
{
    const ParsedRequest parsed = parseServiceCall({ "booking", "alpha", {}, {}, {}, std::string("\0\xff", 2) });
    BOOST_REQUIRE(parsed.has_value());
    const auto &call = std::get<CallService>(*parsed);
    BOOST_TEST(!call.timeout.has_value());
    BOOST_TEST(!call.idempotent.has_value());
    BOOST_TEST(call.request.value().empty());
    BOOST_TEST(call.body.size() == 2U);
}

BOOST_AUTO_TEST_CASE(badCallsGiveAllTheirFindings)
{
    for (const BadCall &row : badCalls()) {
        BOOST_TEST_CONTEXT(row.name)
        {
            ServiceCallInput input = goodCall();
            row.spoil(input);
            BOOST_TEST(places(parseServiceCall(input)) == row.places);
        }
    }
}

BOOST_AUTO_TEST_CASE(cancellationEvictionAndChangeAreRead)
{
    const ParsedRequest cancel = parseCancellation("t1", R"({"reason":"no longer wanted"})");
    BOOST_REQUIRE(cancel.has_value());
    BOOST_TEST(std::get<CancelTask>(*cancel).reason == "no longer wanted");
    const ParsedRequest evict = parseEviction("t1", R"({"reason":"host leaves","onBehalfOf":"t2"})");
    BOOST_REQUIRE(evict.has_value());
    BOOST_TEST(std::get<EvictTask>(*evict).onBehalfOf.value() == "t2");
    const ParsedRequest change =
        parseConfigurationChange(R"({"change":"c1","author":"someone","madeAgainst":4,"text":"a = 1"})");
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(std::get<ApplyConfiguration>(*change).madeAgainst.value() == 4U);
    BOOST_TEST(places(parseCancellation("t1", "")) == "body.reason");
    BOOST_TEST(places(parseCancellation(std::string(300, 't'), "{}")) == "path body.reason");
    BOOST_TEST(places(parseEviction("t1", R"({"reason":7})")) == "body.reason");
    BOOST_TEST(places(parseConfigurationChange(R"({"madeAgainst":-1})"))
               == "body.change body.author body.madeAgainst body.text");
}

BOOST_AUTO_TEST_CASE(eachVerdictHasItsStatus)
{
    BOOST_TEST(httpStatus(ReplyCode::Ok) == 200);
    BOOST_TEST(httpStatus(ReplyCode::Invalid) == 400);
    BOOST_TEST(httpStatus(ReplyCode::NotFound) == 404);
    BOOST_TEST(httpStatus(ReplyCode::NotRun) == 503);
    BOOST_TEST(httpStatus(ReplyCode::OutcomeUnknown) == 502);
    BOOST_TEST(httpStatus(ReplyCode::NotYetKnown) == 503);
    BOOST_TEST(httpStatus(ReplyCode::Conflict) == 409);
}

BOOST_AUTO_TEST_CASE(findingsAreWrittenAsJson)
{
    const auto body = nlohmann::json::parse(findingsBody({ { "body.key", Severity::Error, "expected it" } }));
    BOOST_TEST(body["outcome"] == "invalid");
    BOOST_TEST(body["findings"][0]["place"] == "body.key");
    BOOST_TEST(body["findings"][0]["message"] == "expected it");
}

/** Guards against a body of a megabyte that becomes a document, findings and an answer of many. */
BOOST_AUTO_TEST_CASE(largeBodiesAreFindingsOfBoundedLength)
{
    constexpr std::size_t length = 999'000;
    constexpr std::size_t mostFindings = 25;
    std::string objects = R"({"owner":[{})";
    std::string members = R"({"owner":"x")";
    for (int number = 0; objects.size() < length; ++number) {
        objects += ",{}";
        members += ",\"" + std::to_string(number) + "\":1";
    }
    const std::string text = R"({"owner":")" + std::string(length, 'x') + "\"}";
    const std::string name = "{\"" + std::string(length, 'x') + "\":1}";
    for (const std::string &body : { objects + "]}", members + "}", text, name }) {
        const ParsedRequest request = parseSubmission(body, WallTime(0));
        BOOST_REQUIRE(!request);
        BOOST_TEST(request.error().size() <= mostFindings);
        BOOST_TEST(findingsBody(request.error()).size() <= 8192U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
