#include "joblog.h"
#include "virtualjobs.h"

#include <deque>

#include <boost/test/unit_test.hpp>

using namespace currantring;

BOOST_AUTO_TEST_SUITE(Log)

/** The second copy of a commit is refused since it was applied, which doesn't tell that the claim still holds. */
BOOST_AUTO_TEST_CASE(commitFoundAfterALostAnswerDoesNotConfirmASupersededClaim)
{
    const StoreLayout layout;
    const WriterToken token(7);
    TimePoint now { Milliseconds(1'000'000) };
    std::deque<std::pair<KvRequest, JobDriver::KvHandler>> calls;
    JobDriver driver;
    driver.readTime = [&now] {
        return JobTime { now, WallTime(0) };
    };
    driver.callStore = [&calls](KvRequest request, Milliseconds, JobDriver::KvHandler then) {
        calls.emplace_back(std::move(request), std::move(then));
    };
    driver.log = [](const LogEvent &) {
    };
    driver.observe = [](std::string_view, const QueueName &, std::string_view, Milliseconds) {
    };
    driver.count = [](std::string_view, std::string_view) {
    };
    JobContext context(1, driver);
    context.setTime(now, WallTime(0));
    bool isLost = false;
    bool isCommitted = false;
    JobLog log(layout, token, 42, context, JobLogLimits {}, [&isLost] { isLost = true; });
    log.load([] {});
    calls.front().second(KvReply {});
    calls.clear();
    const TimePoint confirmedBefore = log.lastConfirmed();
    log.append(JobAccepted { std::make_shared<const JobSpec>(batchJob(1)), WallTime(0) }, RecordUrgency::Urgent,
               [&isCommitted] { isCommitted = true; });
    // The first copy is applied, its answer lost; another host claims; the second copy is sent 5 s later.
    now += Milliseconds(50);
    context.advance(now, WallTime(0));
    BOOST_TEST_REQUIRE(calls.size() == 1U);
    const KvCommit commit = std::get<KvCommit>(calls.front().first);
    now += Milliseconds(5000);
    context.advance(now, WallTime(0));
    BOOST_TEST_REQUIRE(calls.size() == 2U);
    KvError conflict { KvErrorKind::Conflict, {} };
    conflict.entries.push_back({ layout.claimKey(), "another", StoreRevision(99), false });
    conflict.entries.push_back({ commit.puts.front().key, commit.puts.front().value, StoreRevision(8), false });
    calls.back().second(tl::unexpected(conflict));
    BOOST_TEST(isCommitted);
    BOOST_TEST((log.lastConfirmed() == confirmedBefore), "the superseded claim counts as confirmed 5 s later");
    BOOST_TEST(isLost);
}

BOOST_AUTO_TEST_SUITE_END()
