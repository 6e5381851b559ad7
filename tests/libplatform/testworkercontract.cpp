#include "contractsubject.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

constexpr std::int64_t longTerm = 600'000;
constexpr const char *longWork = R"({"runMs": 600000})";

CommandFence fence(std::uint64_t epoch = 1)
{
    return { ShardId(3), Epoch(epoch) };
}

/** The worker's own clock. */
template<typename Subject>
std::int64_t clockOf(Subject &subject)
{
    const WorkerResult result = subject.command(RenewLeases { fence(), WorkerTime(0), {} });
    return result ? result->report.clock.value() : 0;
}

template<typename Subject>
StartAttempt startOf(Subject &subject, const std::string &task, std::uint32_t attempt = 1)
{
    const std::int64_t clock = clockOf(subject);
    StartAttempt start { fence(), TaskId(task), AttemptNumber(attempt), OwnerId("o"), {}, {}, {}, {} };
    start.spec.declared = { Millicores(400), Mebibytes(10), AcceleratorCount(0) };
    start.spec.program = longWork;
    start.startBy = WorkerTime(clock + longTerm);
    start.leaseUntil = WorkerTime(clock + longTerm);
    return start;
}

bool refusedWith(const WorkerResult &result, RefusalReason reason)
{
    return !result && result.error().kind == WorkerErrorKind::Refused && result.error().reason == reason;
}

/** Phase of the one attempt in the reply; nullopt when the call gave none. */
std::optional<AttemptPhase> phaseIn(const WorkerResult &result)
{
    if (!result || result->report.attempts.size() != 1) {
        return std::nullopt;
    }
    return result->report.attempts.front().phase;
}

template<typename Subject>
std::optional<AttemptPhase> reportedPhase(Subject &subject)
{
    return phaseIn(subject.command(RenewLeases { fence(), WorkerTime(0), {} }));
}

template<typename Subject>
std::vector<ContractCase<Subject>> attemptCases()
{
    return {
        { "a start runs, and a second one of the same attempt is refused",
          [](Subject &s) {
              const StartAttempt start = startOf(s, "t");
              BOOST_TEST((phaseIn(s.command(start)) == AttemptPhase::Running));
              BOOST_TEST(refusedWith(s.command(start), RefusalReason::AlreadyStarted));
              BOOST_TEST(s.truth()["runs"].size() == 1U);
          } },
        { "an older epoch is refused for its shard only",
          [](Subject &s) {
              StartAttempt start = startOf(s, "t");
              BOOST_TEST((s.command(RenewLeases { fence(5), WorkerTime(0), {} }).has_value()));
              BOOST_TEST(refusedWith(s.command(start), RefusalReason::StaleEpoch));
              BOOST_TEST(s.truth()["runs"].empty());
              start.fence.shard = ShardId(4);
              BOOST_TEST((s.command(start).has_value()));
          } },
        { "a start past its time is refused",
          [](Subject &s) {
              StartAttempt start = startOf(s, "t");
              start.startBy = WorkerTime(1);
              BOOST_TEST(refusedWith(s.command(start), RefusalReason::TooLate));
              BOOST_TEST(s.truth()["runs"].empty());
          } },
        { "a start without room is refused",
          [](Subject &s) {
              BOOST_TEST((s.command(startOf(s, "t1")).has_value()));
              BOOST_TEST((s.command(startOf(s, "t2")).has_value()));
              BOOST_TEST(refusedWith(s.command(startOf(s, "t3")), RefusalReason::NoRoom));
              BOOST_TEST((s.command(StopAttempt { fence(), TaskId("t1"), AttemptNumber(1) }).has_value()));
              BOOST_TEST((s.command(startOf(s, "t3")).has_value()));
          } },
        { "a stop before the start leaves a tombstone",
          [](Subject &s) {
              const StopAttempt stop { fence(), TaskId("t"), AttemptNumber(1) };
              BOOST_TEST((phaseIn(s.command(stop)) == AttemptPhase::NeverStarted));
              BOOST_TEST(refusedWith(s.command(startOf(s, "t")), RefusalReason::AlreadyStarted));
              BOOST_TEST((reportedPhase(s) == AttemptPhase::NeverStarted));
              BOOST_TEST(s.truth()["runs"].empty());
          } },
        { "a checkpoint stops the attempt and is given again when repeated",
          [](Subject &s) {
              BOOST_TEST((s.command(startOf(s, "t")).has_value()));
              const CheckpointAttempt checkpoint { fence(), TaskId("t"), AttemptNumber(1) };
              const WorkerResult first = s.command(checkpoint);
              const WorkerResult second = s.command(checkpoint);
              BOOST_REQUIRE((phaseIn(first) == AttemptPhase::Checkpointed && phaseIn(second) == phaseIn(first)));
              const CheckpointId id = first->report.attempts.front().checkpoint;
              BOOST_TEST(id == second->report.attempts.front().checkpoint);
              StartAttempt next = startOf(s, "t", 2);
              next.resumeFrom = id;
              BOOST_TEST((phaseIn(s.command(next)) == AttemptPhase::Running));
              BOOST_TEST(s.truth()["runs"][1]["resumedFrom"] == id.value());
          } },
        { "commands to an unknown attempt are refused",
          [](Subject &s) {
              const TaskId task("t");
              const AttemptNumber attempt(1);
              BOOST_TEST(
                  refusedWith(s.command(CheckpointAttempt { fence(), task, attempt }), RefusalReason::UnknownAttempt));
              BOOST_TEST(refusedWith(s.command(ThrottleAttempt { fence(), task, attempt, 50 }),
                                     RefusalReason::UnknownAttempt));
          } },
        { "an ended attempt is reported until it is recorded",
          [](Subject &s) {
              StartAttempt start = startOf(s, "t");
              start.spec.program = R"({"runMs": 0, "result": "done"})";
              BOOST_TEST((s.command(start).has_value()));
              BOOST_TEST(awaitCondition([&s] { return reportedPhase(s) == AttemptPhase::Succeeded; }));
              const AttemptKey key { start.task, start.attempt };
              BOOST_TEST(s.command(RenewLeases { fence(), WorkerTime(0), { key } })->report.attempts.empty());
              BOOST_TEST(refusedWith(s.command(start), RefusalReason::AlreadyStarted));
          } },
        { "an attempt whose lease isn't renewed lapses",
          [](Subject &s) {
              StartAttempt start = startOf(s, "t");
              start.leaseUntil = WorkerTime(start.leaseUntil.value() - longTerm + 1);
              BOOST_TEST((s.command(start).has_value()));
              BOOST_TEST(awaitCondition([&s] { return reportedPhase(s) == AttemptPhase::LeaseLapsed; }));
          } },
    };
}

template<typename Subject>
std::vector<ContractCase<Subject>> faultCases()
{
    return {
        { "a start whose reply is lost has an unknown outcome and took effect",
          [](Subject &s) {
              const StartAttempt start = startOf(s, "t");
              s.throwFault({ { "fault", "loseReply" }, { "worker", "w0" }, { "count", 1 } });
              BOOST_TEST((s.command(start).error().kind == WorkerErrorKind::Unknown));
              BOOST_TEST(refusedWith(s.command(start), RefusalReason::AlreadyStarted));
              BOOST_TEST((reportedPhase(s) == AttemptPhase::Running));
          } },
        { "a truncated reply is unknown",
          [](Subject &s) {
              const StartAttempt start = startOf(s, "t");
              s.throwFault({ { "fault", "truncate" }, { "worker", "w0" }, { "count", 1 } });
              BOOST_TEST((s.command(start).error().kind == WorkerErrorKind::Unknown));
              BOOST_TEST((reportedPhase(s) == AttemptPhase::Running));
          } },
        { "a leaving worker refuses starts",
          [](Subject &s) {
              s.throwFault({ { "fault", "leaving" }, { "worker", "w0" }, { "on", true } });
              BOOST_TEST(refusedWith(s.command(startOf(s, "t")), RefusalReason::Leaving));
          } },
        { "a failing worker fails what it starts",
          [](Subject &s) {
              s.throwFault({ { "fault", "failing" }, { "worker", "w0" }, { "on", true } });
              BOOST_TEST((phaseIn(s.command(startOf(s, "t"))) == AttemptPhase::Failed));
          } },
        { "a refusing worker runs nothing",
          [](Subject &s) {
              s.throwFault({ { "fault", "failing" }, { "worker", "w0" }, { "on", true }, { "refuse", true } });
              BOOST_TEST(refusedWith(s.command(startOf(s, "t")), RefusalReason::Failing));
              BOOST_TEST(s.truth()["runs"].empty());
          } },
        { "a frozen worker gives an unknown outcome, and a fresh connection works later",
          [](Subject &s) {
              s.throwFault({ { "fault", "freezeWorker" }, { "worker", "w0" }, { "on", true } });
              const RenewLeases renew { fence(), WorkerTime(0), {} };
              BOOST_TEST((s.hastyCommand(renew).error().kind == WorkerErrorKind::Unknown));
              BOOST_TEST(s.hasReplacedConnections());
              s.throwFault({ { "fault", "freezeWorker" }, { "worker", "w0" }, { "on", false } });
              BOOST_TEST(awaitCondition([&] { return s.hastyCommand(renew).has_value(); }));
          } },
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerContract)

BOOST_AUTO_TEST_CASE_TEMPLATE(attempts, Subject, Subjects)
{
    runAll(attemptCases<Subject>());
}

BOOST_AUTO_TEST_CASE_TEMPLATE(faults, Subject, Subjects)
{
    runAll(faultCases<Subject>());
}

BOOST_AUTO_TEST_SUITE_END()
