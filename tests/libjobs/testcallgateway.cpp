#include "callgateway.h"
#include "virtualjobs.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr std::uint64_t seed = 1;
constexpr Milliseconds callTimeout { 3000 };
/** Longer than any time that a gateway keeps a submission. */
constexpr Milliseconds gatewayPatience { 2000 };

/** A gateway whose calls go to a writer that answers when the test says so. */
struct GatewayFixture
{
    TimePoint now { Milliseconds(1000) };
    std::vector<CallOutcome> answers;
    std::vector<ForwardNumber> copies;
    bool isWriterReachable = true;
    JobContext context { seed, makeDriver() };
    CallGateway gateway { context, [this](ForwardNumber number, const CallerCall & /*call*/, Milliseconds /*left*/) {
                             if (isWriterReachable) {
                                 copies.push_back(number);
                             }
                             return isWriterReachable;
                         } };

    GatewayFixture()
    {
        context.setTime(now, WallTime(0));
    }

    JobDriver makeDriver()
    {
        JobDriver driver;
        driver.answerCaller = [this](CallerToken /*caller*/, const CallAnswer &answer) {
            answers.push_back(answer.outcome);
        };
        driver.log = [](const LogEvent & /*event*/) {
        };
        driver.count = [](std::string_view /*name*/, std::string_view /*reason*/) {
        };
        return driver;
    }

    void submit()
    {
        gateway.accept(CallerToken(1), SubmitJob { std::make_shared<const JobSpec>(batchJob(1)) }, callTimeout);
    }

    void complete(CallOutcome outcome)
    {
        gateway.complete(copies.front(), { outcome, {}, 0, {} });
    }

    void run(Milliseconds duration)
    {
        for (const TimePoint end = now + duration; now < end; now += Milliseconds(50)) {
            context.advance(now, WallTime(0));
        }
    }

    void requireOnlyAnswer(CallOutcome outcome)
    {
        BOOST_TEST_REQUIRE(answers.size() == 1U);
        BOOST_TEST((answers.front() == outcome));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Gateway, GatewayFixture)

BOOST_AUTO_TEST_CASE(refusalOfTheOnlyCopyIsPassedOnAtOnce)
{
    submit();
    complete(CallOutcome::Refused);
    requireOnlyAnswer(CallOutcome::Refused);
}

/** A job whose caller was told that it was refused started all the same, from another copy of its submission. */
BOOST_AUTO_TEST_CASE(refusedJobDoesNotStartFromAnotherCopy)
{
    submit();
    gateway.resend();
    BOOST_TEST_REQUIRE(copies.size() == 2U);
    complete(CallOutcome::Refused);
    BOOST_TEST(answers.empty());
    complete(CallOutcome::Accepted);
    requireOnlyAnswer(CallOutcome::Accepted);
}

BOOST_AUTO_TEST_CASE(refusalOfAllCopiesIsPassedOn)
{
    submit();
    gateway.resend();
    complete(CallOutcome::Refused);
    complete(CallOutcome::Refused);
    requireOnlyAnswer(CallOutcome::Refused);
}

BOOST_AUTO_TEST_CASE(refusedCallWithAnUnansweredCopyIsUndecided)
{
    submit();
    gateway.resend();
    complete(CallOutcome::Refused);
    isWriterReachable = false;
    run(gatewayPatience);
    requireOnlyAnswer(CallOutcome::Undecided);
}

BOOST_AUTO_TEST_CASE(refusedCallIsNotSentAgain)
{
    submit();
    gateway.resend();
    complete(CallOutcome::Refused);
    gateway.resend();
    run(gatewayPatience);
    BOOST_TEST(copies.size() == 2U);
}

BOOST_AUTO_TEST_CASE(callThatReachedNoWriterIsRefused)
{
    isWriterReachable = false;
    submit();
    run(gatewayPatience);
    requireOnlyAnswer(CallOutcome::Refused);
}

/** A refused read changes nothing, so its answer isn't held back for other copies. */
BOOST_AUTO_TEST_CASE(refusedReadIsPassedOnAtOnce)
{
    gateway.accept(CallerToken(1), CountWaiting { QueueName("batch") }, callTimeout);
    gateway.resend();
    complete(CallOutcome::Refused);
    requireOnlyAnswer(CallOutcome::Refused);
}

/** What an earlier writer left uncommitted can't be committed any more, so only the next writer's refusal counts. */
BOOST_AUTO_TEST_CASE(refusalOfTheNextWriterIsPassedOnAtOnce)
{
    submit();
    gateway.handleWriterChange();
    gateway.resend();
    complete(CallOutcome::Refused);
    requireOnlyAnswer(CallOutcome::Refused);
}

BOOST_AUTO_TEST_CASE(callRefusedByAnEarlierWriterIsSentToTheNext)
{
    submit();
    gateway.resend();
    complete(CallOutcome::Refused);
    gateway.handleWriterChange();
    gateway.resend();
    BOOST_TEST(copies.size() == 3U);
    complete(CallOutcome::Accepted);
    requireOnlyAnswer(CallOutcome::Accepted);
}

BOOST_AUTO_TEST_SUITE_END()
