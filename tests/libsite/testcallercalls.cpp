#include "callerwire.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

SiteConfiguration configuration()
{
    SiteConfiguration configuration;
    configuration.version = ConfigurationVersion(1);
    QueueEntry queue;
    queue.name = QueueName("queue");
    queue.service = ServiceName("office");
    queue.host = "office.example";
    queue.prefix = "/jobs/";
    configuration.queues = { queue };
    return configuration;
}

/** Whether the submission with @p body is taken; otherwise it has to be refused with a response. */
bool isTaken(const std::string &body)
{
    const SiteConfiguration known = configuration();
    const net::HttpRequest request { "POST", "/jobs/5c0e7a21d94b36f8", { { "Host", "office.example" } }, body };
    const auto decoded = platform::decodeCall(request, &known);
    if (const auto *response = std::get_if<net::HttpResponse>(&decoded)) {
        BOOST_TEST(response->status == 400, body.substr(0, 60));
        return false;
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerCalls)

BOOST_AUTO_TEST_CASE(submissionIsTaken)
{
    BOOST_TEST(isTaken(R"({"spec":"x","steps":[{"count":2,"cpu":500,"memMb":10,"estimateMs":9}]})"));
}

/** Guards against calls that wait for good, and times that overflow when they are added to the clock. */
BOOST_AUTO_TEST_CASE(timesToWaitAreBounded)
{
    struct Row
    {
        std::string header;
        std::int64_t ms = 0;
    };
    for (const Row &row :
         { Row { "1", 1 }, Row { "2500", 2500 }, Row { "60000", 60'000 }, Row { "60001", 60'000 },
           Row { "1000000000001", 60'000 }, Row { "9223372036854775807", 60'000 }, Row { "9223372036854775808", 3000 },
           Row { "-1", 3000 }, Row { "0", 3000 }, Row { "x", 3000 }, Row { "", 3000 } }) {
        const SiteConfiguration known = configuration();
        const net::HttpRequest request {
            "GET", "/jobs/5c0e7a21d94b36f8", { { "Host", "office.example" }, { "X-Deadline-Ms", row.header } }, {}
        };
        const auto decoded = platform::decodeCall(request, &known);
        const auto *const call = std::get_if<platform::DecodedCall>(&decoded);
        BOOST_REQUIRE(call != nullptr);
        BOOST_TEST(call->timeLeft.count() == row.ms, row.header);
    }
}

/** What a caller sends must not end the process, whatever it is. */
BOOST_AUTO_TEST_CASE(malformedSubmissionsAreRefused)
{
    constexpr std::size_t depth = 500'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    std::string objects;
    for (std::size_t level = 0; level < depth; ++level) {
        objects += R"({"a":)";
    }
    objects += "1" + std::string(depth, '}');
    for (const std::string &body :
         { std::string(), std::string("["), std::string("5"), std::string("null"), std::string("[]"),
           std::string(R"({"spec":5,"steps":[]})"), std::string(R"({"spec":"x","steps":5})"),
           std::string(R"({"spec":"x","steps":[5]})"), std::string(R"({"spec":"x","steps":[]})"),
           std::string(R"({"spec":"x","steps":[{"count":-1,"cpu":1}]})"),
           std::string(R"({"spec":"x","steps":[{"count":4000000000,"cpu":1}]})"),
           std::string("{\"spec\":\"\xff\xfe\",\"steps\":[{\"count\":1}]}"),
           std::string(R"({"spec":"\ud800","steps":[{"count":1}]})"),
           std::string(R"({"spec":"x","steps":[{"count":1,"after":[0]}]})"), nested,
           R"({"spec":"x","steps":)" + nested + "}", R"({"spec":"x","steps":[)" + objects + "]}",
           R"({"spec":"x","steps":[{"count":1,"after":)" + nested + "}]}" }) {
        BOOST_TEST(!isTaken(body), body.substr(0, 60));
    }
}

BOOST_AUTO_TEST_SUITE_END()
