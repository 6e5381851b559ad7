#pragma once

#include "callercall.h"
#include "siteconfiguration.h"
#include "virtualworker.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace currantring {

/**
 * Watches what truly happens at the workers and what callers are told, and notes what must not be.
 *
 * Thread safety: one thread at a time.
 */
class SiteJudge
{
public:
    /** Bounds that hold for the site under test. */
    struct Bounds
    {
        Milliseconds cancel { 3000 };
        Milliseconds noted { 1000 };
        Milliseconds early { 250 };
    };

    void noteConfiguration(const SiteConfiguration &configuration);
    void noteWorker(const WorkerEntry &entry);
    /** The time of day at which the virtual clock stood at 0. */
    void noteWallStart(WallTime start);
    /** The hosts' clocks jump by so much at most. */
    void noteClockSteps(Milliseconds most);
    /** All that ran on a worker is gone with it. */
    void noteFact(const WorkerRunEvent &fact);
    void noteSubmission(const std::shared_ptr<const JobSpec> &spec);
    void noteCancelSent(const JobId &job, TimePoint at);
    void noteAnswer(const CallerCall &call, const CallAnswer &answer, TimePoint sentAt, TimePoint at);
    /** Whether all accepted jobs that can be done and weren't cancelled are shown as completed; notes those that
     * aren't. */
    void checkAllDone(const std::map<JobId, JobPhase> &shown);

    [[nodiscard]] bool isAccepted(const JobId &job) const;
    [[nodiscard]] const std::vector<std::string> &violations() const;
    [[nodiscard]] std::size_t starts() const;
    /** Runs that were started of one task. */
    [[nodiscard]] std::uint32_t startsOf(const TaskRef &task) const;
    /** Members of gangs whose others didn't come in time. */
    [[nodiscard]] std::size_t membersLeftAlone() const;

private:
    struct TaskTruth
    {
        std::uint32_t starts = 0;
        std::uint32_t failed = 0;
        std::uint32_t acknowledgedFailures = 0;
        bool isDone = false;
        /** Runs that ended done, and whether a further run started after that. */
        std::map<RunRef, bool> doneRuns;
        std::optional<TimePoint> doneNotedAt;
        std::map<RunRef, WorkerId> running;
    };
    struct JobTruth
    {
        std::shared_ptr<const JobSpec> spec;
        std::optional<TimePoint> acceptedAt;
        bool mayHaveBeenAccepted = false;
        std::optional<TimePoint> cancelSentAt;
        std::optional<TimePoint> cancelledAt;
        bool wasShownCompleted = false;
    };

    void takeStart(const WorkerRunEvent &fact);
    void checkPlace(const WorkerRunEvent &fact, const StepSpec &step, const JobSpec &job);
    void checkRoom(const WorkerRunEvent &fact);
    void checkOrder(const WorkerRunEvent &fact, const StepSpec &step);
    void checkDue(const WorkerRunEvent &fact, const JobSpec &spec);
    void checkCompleted(const JobSpec &spec, TimePoint at);
    [[nodiscard]] std::uint32_t failuresOf(const TaskRef &task, const StepSpec &step);
    void violation(const std::string &rule, TimePoint at, const std::string &what);
    [[nodiscard]] std::uint32_t attemptLimit(const JobSpec &spec) const;

    Bounds m_bounds;
    SiteConfiguration m_configuration;
    std::map<WorkerId, WorkerEntry> m_workers;
    std::map<JobId, JobTruth> m_jobs;
    std::map<TaskRef, TaskTruth> m_tasks;
    std::size_t m_starts = 0;
    std::size_t m_membersLeftAlone = 0;
    WallTime m_wallStart;
    std::vector<std::string> m_violations;
};

} // namespace currantring
