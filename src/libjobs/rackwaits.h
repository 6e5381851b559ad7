#pragma once

#include "jobcontext.h"
#include "joburgency.h"
#include "racksurvey.h"
#include "rackwaitpolicy.h"

#include <map>
#include <optional>
#include <vector>

namespace currantring {

/**
 * How long the open work of an occurrence may wait and still meet the job's objective, if the estimates hold; negative
 * when it is late. Precondition: the occurrence has begun. Thread safety: reentrant.
 */
Milliseconds slackToObjective(const Job &job, std::uint32_t occurrence, const QueueEntry &queue, WallTime now);

/** A step whose tasks prefer a rack, in one placement pass. */
struct RackCandidate
{
    StepRef ref;
    const StepSpec &step;
    ServiceName service;
    /** Racks that are as good as each other; the one with the shortest expected wait counts. */
    std::vector<Label> racks;
    /** Tasks without a place. */
    std::size_t tasks = 0;
    Milliseconds waited {};
    std::optional<Milliseconds> slack;
};

/**
 * The waits of steps for a near rack: gives the policy its inputs, and reports its decisions.
 *
 * Steps are asked about in the order in which they are placed, so that each decision knows what precedes it. Nothing is
 * reserved for a step that waits. Thread safety: one thread at a time.
 */
class RackWaits
{
public:
    /** Precondition: the arguments outlive the object. */
    RackWaits(double farFactor, const WorkerFleet &fleet, JobContext &context);

    /** A placement pass begins. */
    void beginPass();
    /** The pass starts to place steps by urgency; what was counted for steps placed out of order is discarded. */
    void beginOrder();
    /** A run has ended at the worker. */
    void noteEnd(const WorkerLink &link, const LiveRun &run);
    /** No worker has room for a task of the step, whatever its rack. */
    void noteShortage(const StepSpec &step);
    /** Whether no worker of the rack had room for a task of the step at the beginning of the pass. */
    bool isFull(const StepSpec &step, const Label &rack);
    /** Returns how many tasks of a step that found no room on its racks wait for some. */
    std::size_t decide(const RackCandidate &candidate);
    /** Whether all tasks of the step wait for the rack, or have room there; decides nothing. */
    bool wantsOnlyRack(const RackCandidate &candidate);
    /** Tasks of the step go on waiting, and precede what comes later in this pass. */
    void addWaiting(const Label &rack, const StepSpec &step, std::size_t tasks);
    /** A task of a step that prefers @p rack was placed on the worker. */
    void notePlaced(const StepRef &step, const Label &rack, const WorkerLink &link);
    void forgetStep(const StepRef &step);
    void forgetJob(const JobId &job);
    /** Number of steps that a decision is kept for. */
    [[nodiscard]] std::size_t trackedSteps() const;
    /** Whether steps have waited for a rack in this pass. */
    [[nodiscard]] bool hasWaiting() const;

private:
    /** What the policy decides for one rack, and from which inputs. */
    struct Outlook
    {
        Label rack;
        RackWaitInputs inputs;
        RackWaitDecision decision;
    };
    /** Whether fillers, or other tasks, found no room on any worker. */
    struct Shortage
    {
        bool isOfFillers = false;
        bool isOfOthers = false;
    };

    RackSurvey &survey();
    const ExpectedEnds &expectedEnds(const Label &rack);
    Outlook outlookOn(const RackCandidate &candidate, const Label &rack, std::size_t maxFree);
    Outlook bestOutlook(const RackCandidate &candidate);
    void report(const RackCandidate &candidate, const Outlook &outlook);
    [[nodiscard]] bool isShort(const StepSpec &step) const;

    RackWaitPolicy m_policy;
    const WorkerFleet &m_fleet;
    JobContext &m_context;
    RackTurnover m_turnover;
    /** Valid within one pass. */
    std::optional<RackSurvey> m_survey;
    /** Expected ends of the runs on a rack, and when they were read. */
    std::map<Label, std::pair<TimePoint, ExpectedEnds>> m_expected;
    /** Need of the waiting tasks that precede, by rack and whether they are fillers. */
    std::map<std::pair<Label, bool>, CapacitySum> m_ahead;
    /** In the present pass, and in the one before. */
    Shortage m_shortage;
    Shortage m_lastShortage;
    bool m_hasWaiting = false;
    /** Tasks that wait for a rack, of each step that was decided on. */
    std::map<StepRef, std::size_t> m_waiting;
};

} // namespace currantring
