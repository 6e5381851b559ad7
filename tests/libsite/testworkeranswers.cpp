#include "workerwire.h"

#include <sstream>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr unsigned ok = 200;
constexpr unsigned conflict = 409;

std::string describe(const RunRef &run)
{
    const TaskRef &task = run.task;
    std::ostringstream text;
    text << task.step.job.value() << '/' << task.step.occurrence << '/' << task.step.step << '/' << task.index << '#'
         << run.number.value();
    return text.str();
}

std::string describe(ReportedEnd end)
{
    switch (end) {
    case ReportedEnd::Done:
        return "done";
    case ReportedEnd::Failed:
        return "failed";
    case ReportedEnd::Stopped:
        return "stopped";
    case ReportedEnd::LeaseExpired:
        return "lease-expired";
    case ReportedEnd::GangBroken:
        return "gang-broken";
    case ReportedEnd::GangIncomplete:
        break;
    }
    return "gang-incomplete";
}

/** All fields of a result on one line: clock, life, rows that run, rows that ended. */
std::string describe(const WorkerResult &result)
{
    std::ostringstream text;
    if (!result) {
        text << workerFailureName(result.error().failure);
        if (result.error().clock) {
            text << " at " << result.error().clock->value();
        }
        return text.str();
    }
    text << result->clock.value();
    if (result->life) {
        text << " life " << result->life->value();
    }
    for (const RunningRow &row : result->running) {
        text << " runs " << describe(row.run) << ' ' << row.checkpoint.value() << ' ' << row.percent << ' '
             << row.gauge;
    }
    for (const EndedRow &row : result->ended) {
        text << " ended " << row.number.value() << ' ' << describe(row.run) << ' ' << describe(row.end) << ' '
             << row.checkpoint.value();
    }
    return text.str();
}

std::string decode(unsigned status, const std::string &body)
{
    return describe(platform::decodeAnswer(net::HttpAnswer { { status, {}, body }, net::ConnectionId(9) }));
}

struct Case
{
    const char *name;
    const char *body;
    const char *expected;
};

const std::vector<Case> wholeAnswers {
    { "a start's answer", R"({"clockMs":482113})", "482113" },
    { "a poll's answer",
      R"({"clockMs":482113,"born":1780602606000,
          "running":[["5c0e7a21d94b36f8.0.1.3",2,"cp-1",41,3500],["j.1.2.3",4,"",100]],
          "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done","cp-2"],[59,"j.0.0.0",2,"failed",""]]})",
      "482113 life 1780602606000 runs 5c0e7a21d94b36f8/0/1/3#2 cp-1 41 3500 runs j/1/2/3#4  100 0"
      " ended 58 5c0e7a21d94b36f8/0/1/9#1 done cp-2 ended 59 j/0/0/0#2 failed " },
    { "lists first", R"({"finished":[],"running":[["j.0.0.1",1,"c",5,6]],"clockMs":7})", "7 runs j/0/0/1#1 c 5 6" },
    { "nothing in it", "{}", "0" },
    { "blanks and line ends", " {\r\n\t\"clockMs\" : 3 , \"running\" : [ ] }\n", "3" },
    { "every kind of end",
      R"({"finished":[[1,"j.0.0.0",1,"done",""],[2,"j.0.0.0",1,"stopped",""],[3,"j.0.0.0",1,"lapsed",""],
          [4,"j.0.0.0",1,"broken",""],[5,"j.0.0.0",1,"alone",""],[6,"j.0.0.0",1,"failed",""],[7,"j.0.0.0",1,"new",""]]})",
      "0 ended 1 j/0/0/0#1 done  ended 2 j/0/0/0#1 stopped  ended 3 j/0/0/0#1 lease-expired "
      " ended 4 j/0/0/0#1 gang-broken  ended 5 j/0/0/0#1 gang-incomplete  ended 6 j/0/0/0#1 failed "
      " ended 7 j/0/0/0#1 failed " },
};

const std::vector<Case> tolerated {
    { "unknown fields of every type",
      R"({"a":null,"b":true,"clockMs":5,"c":-1,"d":1.5,"e":"x","f":[1,["y",{}]],"g":{"running":[[1]],"clockMs":9}})",
      "5" },
    { "a known name inside an unknown object", R"({"x":{"born":3,"finished":7},"born":4})", "0 life 4" },
    { "a known name inside a row's extra field",
      R"({"running":[["j.0.0.1",1,"c",5,6,{"clockMs":8,"running":[1]}]],"clockMs":2})", "2 runs j/0/0/1#1 c 5 6" },
    { "more fields in rows",
      R"({"running":[["j.0.0.1",1,"c",5,6,7,"x",[8]]],"finished":[[1,"j.0.0.2",3,"done","c",null,{}]]})",
      "0 runs j/0/0/1#1 c 5 6 ended 1 j/0/0/2#3 done c" },
    { "a gauge that isn't a number", R"({"running":[["j.0.0.1",1,"c",5,null],["j.0.0.2",1,"c",5,"6"],
        ["j.0.0.3",1,"c",5,true],["j.0.0.4",1,"c",5,[7]],["j.0.0.5",1,"c",5,{"x":8}]]})",
      "0 runs j/0/0/1#1 c 5 0 runs j/0/0/2#1 c 5 0 runs j/0/0/3#1 c 5 0 runs j/0/0/4#1 c 5 0 runs j/0/0/5#1 c 5 0" },
    { "a gauge with a fraction", R"({"running":[["j.0.0.1",1,"c",5,6.9]]})", "0 runs j/0/0/1#1 c 5 6" },
    { "a gauge below zero", R"({"running":[["j.0.0.1",1,"c",5,-6]]})", "0 runs j/0/0/1#1 c 5 -6" },
    { "numbers with fractions",
      R"({"clockMs":7.9,"running":[["j.0.0.1",2.5,"c",41.9]],"finished":[[3.5,"j.0.0.1",1.0,"done",""]]})",
      "7 runs j/0/0/1#2 c 41 0 ended 3 j/0/0/1#1 done " },
    { "truth values as the run's number and percent",
      R"({"running":[["j.0.0.1",true,"c",false]],"finished":[[1,"j.0.0.1",true,"done",""]]})",
      "0 runs j/0/0/1#1 c 0 0 ended 1 j/0/0/1#1 done " },
    { "a clock below zero", R"({"clockMs":-12})", "-12" },
    { "no life", R"({"born":null})", "0" },
    { "a life that is text", R"({"born":"3"})", "0" },
    { "a life with a fraction", R"({"born":3.5})", "0" },
    { "a life that is a truth value", R"({"born":true})", "0" },
    { "a life that is a list", R"({"born":[3]})", "0" },
    { "a life below zero", R"({"born":-3})", "0 life -3" },
    { "no lists", R"({"running":null,"finished":null})", "0" },
    { "empty objects for lists", R"({"running":{},"finished":{}})", "0" },
    { "the later of two fields counts",
      R"({"clockMs":"x","clockMs":2,"born":3,"born":4,"running":[["j.0.0.1",1,"c",5]],"running":[["j.0.0.2",1,"c",5]],
          "finished":[[1]],"finished":[[1,"j.0.0.1",1,"done",""]]})",
      "2 life 4 runs j/0/0/2#1 c 5 0 ended 1 j/0/0/1#1 done " },
    { "the later of two lives, of which it isn't a number", R"({"born":3,"born":"4"})", "0" },
    { "escapes in names and values",
      R"({"clock\u004ds":6,"running":[["a\"\\\/\u00e9\ud83d\ude00\n.0.0.1",1,"c\tx",5]],"\"running\"":[1]})",
      "6 runs a\"\\/\u00e9\U0001F600\n/0/0/1#1 c\tx 5 0" },
    { "a name with a zero character", R"({"clockMs\u0000":6,"running":[["j\u0000.0.0.1",1,"c",5]]})", "0 runs j" },
    { "tasks with odd names",
      R"({"running":[["",1,"",0],["j",1,"",0],["1.2",1,"",0],["a.b.1.2.3",1,"",0],["j.x.-1.99999999999",1,"",0]]})",
      "0 runs /0/0/0#1  0 0 runs j/0/0/0#1  0 0 runs 1/0/0/2#1  0 0 runs a.b/1/2/3#1  0 0 runs j/0/0/0#1  0 0" },
    { "the byte order mark", "\xef\xbb\xbf{\"clockMs\":3}", "3" },
    { "the largest numbers",
      R"({"clockMs":9223372036854775807,"running":[["j.0.0.1",4294967295,"c",4294967295]],
          "finished":[[18446744073709551615,"j.0.0.1",1,"done",""]]})",
      "9223372036854775807 runs j/0/0/1#4294967295 c 4294967295 0 ended 18446744073709551615 j/0/0/1#1 done " },
};

struct ExtentCase
{
    const char *name;
    std::string body;
    ListExtent expected;
};

/** A poll's answer with @p count ends. */
std::string answerWithEnds(int count)
{
    std::string rows;
    for (int number = 1; number <= count; ++number) {
        rows += (number > 1 ? "," : "") + ("[" + std::to_string(number)) + R"(,"j.0.0.1",1,"done",""])";
    }
    return R"({"clockMs":1,"running":[],"finished":[)" + rows + "]}";
}

/** None of these can be read, so that the order may have been carried out. */
const std::vector<Case> unreadable {
    { "nothing", "", "" },
    { "not JSON", "overloaded", "" },
    { "cut off in a row", R"({"clockMs":1,"running":[["j.0.0.1",1)", "" },
    { "cut off before the end", R"({"clockMs":1)", "" },
    { "more after the end", R"({"clockMs":1} x)", "" },
    { "two answers", R"({"clockMs":1}{"clockMs":1})", "" },
    { "a comma too many", R"({"clockMs":1,})", "" },
    { "a name without quotes", R"({clockMs:1})", "" },
    { "a comment", R"({"clockMs":1/**/})", "" },
    { "bytes that aren't UTF-8", "{\"x\":\"\xff\"}", "" },
    { "half of a surrogate pair", R"({"x":"\ud83d"})", "" },
    { "a control character in text", "{\"x\":\"a\nb\"}", "" },
    { "a number beyond all bounds", R"({"x":1e999})", "" },
    { "a number with a leading zero", R"({"clockMs":01})", "" },
    { "null", "null", "" },
    { "a list", R"([{"clockMs":1}])", "" },
    { "an empty list", "[]", "" },
    { "a number", "17", "" },
    { "text", R"("clockMs")", "" },
    { "a truth value", "true", "" },
    { "a clock that is text", R"({"clockMs":"1"})", "" },
    { "a clock that is null", R"({"clockMs":null})", "" },
    { "a clock that is a truth value", R"({"clockMs":true})", "" },
    { "a clock that is a list", R"({"clockMs":[1]})", "" },
    { "a clock that is an object", R"({"clockMs":{"clockMs":1}})", "" },
    { "a list that is a number", R"({"running":1})", "" },
    { "a list that is text", R"({"finished":"x"})", "" },
    { "a list that is a truth value", R"({"running":false})", "" },
    { "a row that is a number", R"({"running":[1]})", "" },
    { "a row that is null", R"({"finished":[null]})", "" },
    { "a row that is an object", R"({"running":[{"0":"j.0.0.1","1":1,"2":"c","3":5}]})", "" },
    { "an empty row", R"({"running":[[]]})", "" },
    { "a short row that runs", R"({"running":[["j.0.0.1",1,"c"]]})", "" },
    { "a short row that ended", R"({"finished":[[1,"j.0.0.1",1,"done"]]})", "" },
    { "a short row after whole ones", R"({"running":[["j.0.0.1",1,"c",5],["j.0.0.1"]]})", "" },
    { "a task that is a number", R"({"running":[[1,1,"c",5]]})", "" },
    { "a task that is a list", R"({"running":[[["j.0.0.1"],1,"c",5]]})", "" },
    { "a run that is text", R"({"running":[["j.0.0.1","1","c",5]]})", "" },
    { "a run that is a list", R"({"running":[["j.0.0.1",[1],"c",5]]})", "" },
    { "a checkpoint that is null", R"({"running":[["j.0.0.1",1,null,5]]})", "" },
    { "a percent that is text", R"({"running":[["j.0.0.1",1,"c","5"]]})", "" },
    { "a percent that is null", R"({"running":[["j.0.0.1",1,"c",null,6]]})", "" },
    { "an end's number that is text", R"({"finished":[["1","j.0.0.1",1,"done",""]]})", "" },
    { "an end's number that is a truth value", R"({"finished":[[true,"j.0.0.1",1,"done",""]]})", "" },
    { "an ended task that is null", R"({"finished":[[1,null,1,"done",""]]})", "" },
    { "a way to end that is a number", R"({"finished":[[1,"j.0.0.1",1,0,""]]})", "" },
    { "an end's checkpoint that is an object", R"({"finished":[[1,"j.0.0.1",1,"done",{}]]})", "" },
};

const std::vector<Case> conflicts {
    { "fenced", R"({"reason":"fence","clockMs":5})", "fenced at 5" },
    { "no clock", R"({"reason":"room"})", "no-room" },
    { "a reason that isn't known", R"({"reason":"x"})", "invalid" },
    { "no reason", "{}", "invalid" },
    { "a reason that is a number", R"({"reason":1})", "unknown" },
    { "a clock that is text", R"({"reason":"old","clockMs":"5"})", "unknown" },
    { "not JSON", "busy", "unknown" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerAnswers)

BOOST_AUTO_TEST_CASE(wholeOnesAreRead)
{
    for (const Case &row : wholeAnswers) {
        BOOST_TEST(decode(ok, row.body) == row.expected, row.name << ": " << decode(ok, row.body));
    }
}

BOOST_AUTO_TEST_CASE(oddOnesAreTolerated)
{
    for (const Case &row : tolerated) {
        const std::string read = decode(ok, row.body);
        // A zero character ends the expected text of its row.
        BOOST_TEST(read.substr(0, read.find('\0')) == row.expected, row.name << ": " << read);
    }
}

/** Tasks whose ends didn't fit into the list were taken for lost and run again. */
BOOST_AUTO_TEST_CASE(completeOnesAreToldFromPartialOnes)
{
    const std::vector<ExtentCase> cases {
        { "both lists, empty", answerWithEnds(0), ListExtent::Complete },
        { "one end less than fit", answerWithEnds(499), ListExtent::Complete },
        { "as many ends as fit", answerWithEnds(500), ListExtent::Partial },
        { "more ends than the protocol lists", answerWithEnds(501), ListExtent::Partial },
        { "no lists", R"({"clockMs":1})", ListExtent::Partial },
        { "no ends", R"({"clockMs":1,"running":[]})", ListExtent::Partial },
        { "no runs", R"({"clockMs":1,"finished":[]})", ListExtent::Partial },
        { "null for a list", R"({"clockMs":1,"running":null,"finished":[]})", ListExtent::Partial },
        { "the later of two lists is null", R"({"running":[],"finished":[],"running":null})", ListExtent::Partial },
    };
    for (const ExtentCase &row : cases) {
        const WorkerResult result =
            platform::decodeAnswer(net::HttpAnswer { { ok, {}, row.body }, net::ConnectionId(9) });
        BOOST_REQUIRE(result);
        BOOST_TEST((result->extent == row.expected), row.name);
    }
}

BOOST_AUTO_TEST_CASE(unreadableOnesAreUnknown)
{
    for (const Case &row : unreadable) {
        BOOST_TEST(decode(ok, row.body) == "unknown", row.name << ": " << decode(ok, row.body));
    }
}

/** Wherever an answer is cut, nothing of it is taken. */
BOOST_AUTO_TEST_CASE(everyCutIsUnknown)
{
    const std::string body = wholeAnswers[1].body;
    for (std::size_t length = 0; length < body.size(); ++length) {
        BOOST_TEST(decode(ok, body.substr(0, length)) == "unknown", "cut after " << length);
    }
}

BOOST_AUTO_TEST_CASE(conflictsTellTheReason)
{
    for (const Case &row : conflicts) {
        BOOST_TEST(decode(conflict, row.body) == row.expected, row.name << ": " << decode(conflict, row.body));
    }
}

BOOST_AUTO_TEST_CASE(theConnectionIsTheChannel)
{
    const net::HttpAnswer answer { { ok, {}, R"({"clockMs":1})" }, net::ConnectionId(9) };
    const WorkerResult result = platform::decodeAnswer(answer);
    BOOST_REQUIRE(result);
    BOOST_TEST(result->channel.value() == 9U);
}

BOOST_AUTO_TEST_CASE(otherStatusesIgnoreTheBody)
{
    BOOST_TEST(decode(400, "x") == "invalid");
    BOOST_TEST(decode(421, "x") == "other-worker");
    BOOST_TEST(decode(429, "x") == "unhealthy");
    BOOST_TEST(decode(503, "x") == "unhealthy");
    BOOST_TEST(decode(500, R"({"clockMs":1})") == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()
