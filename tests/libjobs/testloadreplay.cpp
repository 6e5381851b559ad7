#include "admissionloadmodel.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace currantring;

BOOST_AUTO_TEST_SUITE(LoadAdmissionReplay)

namespace {

/** Short jobs of the highest priority, and batch jobs, as in the first deployment. */
LoadKind urgentKind(double usual, double burst)
{
    return { 0, 1.5, Milliseconds(250), 2, 10, Milliseconds(640), Millicores(5000), usual, burst, 1 };
}

LoadKind batchKind(double usual, double burst)
{
    return { 2, 2, Milliseconds(1000), 2, 20, Milliseconds(1700), Millicores(3500), usual, burst, 1 };
}

/** Jobs of the lower priority that can wait for 5 s at most. */
LoadKind shortBatchKind(double usual, double burst, double estimateFactor = 1)
{
    return { 2, 1.5, Milliseconds(300), 2, 10, Milliseconds(600), Millicores(3500), usual, burst, estimateFactor };
}

/** The load pattern in which jobs of the lower priority can't be served for some time. */
LoadPattern urgentBurst()
{
    return { "urgent burst of 4 for 6 s, short batch behind it",
             { urgentKind(0.3, 4), shortBatchKind(0.3, 0.3) },
             Milliseconds(6000) };
}

std::string line(const std::string &which, const LoadOutcome &outcome)
{
    return "  " + which + ": on time " + std::to_string(outcome.onTime) + ", late " + std::to_string(outcome.late)
        + ", never " + std::to_string(outcome.never) + ", refused " + std::to_string(outcome.refused) + " ("
        + std::to_string(outcome.refusals) + " refusals), accepted in vain " + std::to_string(outcome.acceptedInVain)
        + " (" + std::to_string(outcome.acceptedInVainBehind) + " of lower priority), peak of returns "
        + std::to_string(outcome.returnPeak) + ", waiting steps " + std::to_string(outcome.waitingSteps);
}

struct Replay
{
    LoadOutcome baseline;
    LoadOutcome decided;
};

Replay replay(const LoadPattern &pattern)
{
    Replay result { AdmissionLoadModel(pattern, false).play(), AdmissionLoadModel(pattern, true).play() };
    const int best = AdmissionLoadModel(pattern, false).bestInTime();
    BOOST_TEST_MESSAGE(pattern.name << ", " << result.baseline.jobs << " jobs\n"
                                    << line("accept all", result.baseline) << "\n"
                                    << line("decision  ", result.decided) << "\n  best possible in time: " << best);
    BOOST_TEST(result.decided.onTime + result.decided.late <= best);
    return result;
}

} // namespace

/** Guards against refusals that cost more jobs than they save, in each load pattern. */
BOOST_AUTO_TEST_CASE(refusalsCostNoJobThatCouldBeServed)
{
    const Milliseconds burst(5400);
    std::vector<LoadPattern> patterns {
        { "batch burst of 2.2 for 5.4 s", { batchKind(0.67, 2.2) }, burst },
        { "the same, and a third of the capacity lost", { batchKind(0.67, 2.2) }, burst, 1.0 / 3 },
        { "the same, of short batch", { shortBatchKind(0.67, 2.2) }, burst, 1.0 / 3 },
        { "all load 1.7 for 3 s", { urgentKind(0.4, 0.7), batchKind(0.4, 0.7) }, Milliseconds(3000) },
        { "short batch burst of 9 for 5.4 s", { shortBatchKind(0.67, 9) }, burst },
        urgentBurst(),
    };
    for (const double factor : { 0.0, 0.1, 10.0 }) {
        LoadPattern pattern = urgentBurst();
        pattern.name += ", estimates of batch times " + std::to_string(factor);
        pattern.kinds.back().estimateFactor = factor;
        patterns.push_back(pattern);
    }
    for (const LoadPattern &pattern : patterns) {
        const auto [baseline, decided] = replay(pattern);
        // Jobs that return compete with new ones, which the baseline lets pass those that can't be in time any more.
        constexpr double keptInTime = 0.95;
        const double inTime = decided.onTime + decided.late;
        BOOST_TEST(inTime >= keptInTime * (baseline.onTime + baseline.late), pattern.name);
        BOOST_TEST(decided.acceptedInVain <= baseline.acceptedInVain, pattern.name);
        if (decided.refusals == 0) {
            BOOST_TEST(decided.onTime == baseline.onTime, pattern.name);
            BOOST_TEST(decided.late == baseline.late, pattern.name);
        }
    }
}

/** Guards against refusing what can be served after all: the bursts of the present deployments are short enough. */
BOOST_AUTO_TEST_CASE(burstsThatJobsCanWaitForLeadToNoRefusal)
{
    for (const double lost : { 0.0, 1.0 / 3 }) {
        const LoadPattern pattern { "batch burst", { batchKind(0.67, 2.2) }, Milliseconds(5400), lost };
        BOOST_TEST(AdmissionLoadModel(pattern, true).play().refusals == 0);
    }
}

/** Guards against accepting jobs that can't be finished in time; fails when all jobs are accepted. */
BOOST_AUTO_TEST_CASE(jobsThatCannotBeFinishedAreRefusedAndServedLater)
{
    const auto [baseline, decided] = replay(urgentBurst());
    BOOST_TEST(decided.refusals > 0);
    BOOST_TEST(decided.acceptedInVainBehind * 2 <= baseline.acceptedInVainBehind);
    BOOST_TEST(decided.refused == 0);
}

/** Guards against a second peak of callers that come back as told. */
BOOST_AUTO_TEST_CASE(patientCallersFormNoSecondPeak)
{
    for (const double factor : { 0.0, 0.1, 1.0 }) {
        LoadPattern pattern = urgentBurst();
        pattern.kinds.back().estimateFactor = factor;
        const auto [baseline, decided] = replay(pattern);
        BOOST_TEST(decided.refusals > 0);
        BOOST_TEST(decided.returnPeak <= 1.0);
        BOOST_TEST(decided.waitingSteps <= baseline.waitingSteps);
    }
}

/** Guards against callers that gain from ignoring the retry time, or take from others by it. */
BOOST_AUTO_TEST_CASE(impatientCallersHarmNoOthers)
{
    LoadPattern pattern = urgentBurst();
    pattern.habit = CallerHabit::Impatient;
    const auto [baseline, decided] = replay(pattern);
    BOOST_TEST(decided.onTime >= baseline.onTime);
    BOOST_TEST(decided.onTime + decided.late >= baseline.onTime + baseline.late);
    BOOST_TEST(decided.acceptedInVain <= baseline.acceptedInVain);
}

BOOST_AUTO_TEST_SUITE_END()
