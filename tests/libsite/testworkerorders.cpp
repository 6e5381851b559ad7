#include "workerwire.h"

#include <vector>

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

struct Case
{
    const char *name;
    WorkerOrder order;
    const char *target;
    const char *body;
};

RunRef run()
{
    return { { { JobId("5c0e7a21d94b36f8"), 2, 1 }, 30 }, RunNumber(4) };
}

StartOrder start(std::string payload, std::string checkpoint = {}, std::string ticket = {})
{
    return { WriterToken(7),   run(), std::move(payload), CheckpointId(std::move(checkpoint)), WorkerTime(9),
             std::move(ticket) };
}

std::vector<Case> cases()
{
    constexpr std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
    return {
        { "a poll for the first answer", PollOrder { WriterToken(7), {}, {}, {}, {} }, "/currantring/hold",
          R"({"fencingToken":7,"lastSeen":0})" },
        { "a poll that holds the lease and waits",
          PollOrder { WriterToken(7), WorkerTime(486'000), EndNumber(58), Milliseconds(500), WorkerChannel(3) },
          "/currantring/hold", R"({"deadlineMs":486000,"fencingToken":7,"lastSeen":58,"waitMs":500})" },
        { "the largest numbers", PollOrder { WriterToken(largest), WorkerTime(-1), EndNumber(largest), {}, {} },
          "/currantring/hold",
          R"({"deadlineMs":-1,"fencingToken":18446744073709551615,"lastSeen":18446744073709551615})" },
        { "a start", start("work"), "/currantring/run-start",
          R"({"deadlineMs":9,"fencingToken":7,"run":4,"spec":"work","task":"5c0e7a21d94b36f8.2.1.30"})" },
        { "a start from a checkpoint, with a ticket", start("work", "cp-1", "t-2"), "/currantring/run-start",
          R"({"checkpoint":"cp-1","deadlineMs":9,"fencingToken":7,"run":4,"spec":"work",)"
          R"("task":"5c0e7a21d94b36f8.2.1.30","ticket":"t-2"})" },
        { "nothing to be done", start(""), "/currantring/run-start",
          R"({"deadlineMs":9,"fencingToken":7,"run":4,"spec":"","task":"5c0e7a21d94b36f8.2.1.30"})" },
        { "escapes in each text", start(R"({"a":"b\c"})", "c\"1\"", "t\\\n"), "/currantring/run-start",
          R"({"checkpoint":"c\"1\"","deadlineMs":9,"fencingToken":7,"run":4,"spec":"{\"a\":\"b\\c\"}",)"
          R"("task":"5c0e7a21d94b36f8.2.1.30","ticket":"t\\\n"})" },
        { "a stop", StopOrder { WriterToken(7), run() }, "/currantring/run-stop",
          R"({"fencingToken":7,"run":4,"task":"5c0e7a21d94b36f8.2.1.30"})" },
        { "a pace", PaceOrder { WriterToken(7), run(), 35 }, "/currantring/pace",
          R"({"fencingToken":7,"percent":35,"run":4,"task":"5c0e7a21d94b36f8.2.1.30"})" },
    };
}

std::string everyCharacter()
{
    std::string text;
    for (int letter = 0; letter < 0x80; ++letter) {
        text += static_cast<char>(letter);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerOrders)

BOOST_AUTO_TEST_CASE(casesByName)
{
    for (const Case &row : cases()) {
        const net::HttpRequest request = platform::encodeOrder(WorkerId("i-1"), row.order);
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST(request.method == "POST");
            BOOST_TEST(request.target == row.target);
            BOOST_TEST(request.body == row.body);
            BOOST_REQUIRE(request.headers.size() == 1U);
            BOOST_TEST(request.headers.front().name == "X-Expected-Instance");
            BOOST_TEST(request.headers.front().value == "i-1");
        }
    }
}

/** What the worker reads is what was ordered, and the bytes are those of nlohmann's own writer. */
BOOST_AUTO_TEST_CASE(textsArriveWhole)
{
    const std::vector<std::string> texts { "",
                                           "plain",
                                           "\"",
                                           "\\",
                                           "\\\"\\",
                                           "/",
                                           "\x7f",
                                           std::string(1, '\0'),
                                           everyCharacter(),
                                           "caf\u00e9 \u2028 \U0001F600",
                                           "\xc2\x80\xf4\x8f\xbf\xbf",
                                           "end\n",
                                           R"({"spec":"{\"spec\":\"\\\\\"}","task":"x"})",
                                           std::string(100'000, '"'),
                                           std::string(5000, 'x') + "\t" + std::string(5000, '\\') };
    for (const std::string &text : texts) {
        const std::string body = platform::encodeOrder(WorkerId("i-1"), start(text, "c" + text, "t" + text)).body;
        const nlohmann::json read = nlohmann::json::parse(body);
        BOOST_TEST((read.at("spec") == text));
        BOOST_TEST((read.at("checkpoint") == "c" + text));
        BOOST_TEST((read.at("ticket") == "t" + text));
        BOOST_TEST((read.size() == 7U));
        BOOST_TEST((read.dump() == body));
    }
}

/** Text that isn't UTF-8 can't be written as JSON; decoded calls and answers never hold any. */
BOOST_AUTO_TEST_CASE(whatIsNotUtf8IsRefused)
{
    BOOST_CHECK_THROW(platform::encodeOrder(WorkerId("i-1"), start("a\xff")), nlohmann::json::exception);
    BOOST_CHECK_THROW(platform::encodeOrder(WorkerId("i-1"), start("\xc3")), nlohmann::json::exception);
}

BOOST_AUTO_TEST_SUITE_END()
