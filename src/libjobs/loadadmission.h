#pragma once

#include "jobspec.h"
#include "refusedwork.h"
#include "siteconfiguration.h"
#include "waitingwork.h"
#include "workrate.h"

#include <limits>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace currantring {

/** The tasks of one step that a placement pass left without a worker, or of a later step of the same job. */
struct WaitingStep
{
    /** Whether the tasks could start now; those of a later step depend on tasks that wait. */
    bool isOpen = true;
    CapacityClass capacity;
    JobUrgency urgency;
    QueueName queue;
    std::size_t tasks = 0;
    /** What each task needs, and its estimated duration. */
    Resources need;
    Milliseconds estimate {};
};

/** What a placement pass left waiting, and the processors that there are. */
struct LeftWork
{
    TimePoint at {};
    std::vector<WaitingStep> steps;
    std::map<ServiceName, ServiceCapacity> capacity;
};

/** Whether a job may be accepted under the present load, with the figures that the decision rests on. */
struct LoadDecision
{
    bool isAccepted = true;
    /** Whether a prediction was made; the fields below are set only then. */
    bool isPredicted = false;
    /** Time until the job's first task starts, and until the job is finished, by an optimistic prediction. */
    Milliseconds wait {};
    Milliseconds finish {};
    Milliseconds objective {};
    /** Work that precedes the job, in core-seconds; the rate at which it is completed, in cores; their age. */
    double backlog = 0;
    double rate = 0;
    Milliseconds inputAge {};
    /** Refused: when the job will be served. */
    Milliseconds retryAfter {};
};

/**
 * Refuses jobs while more work waits before them than can be completed within three times their objective.
 *
 * It handles bursts of submissions beyond the capacity that last longer than jobs can wait, and a lower priority behind
 * a backlog of higher ones. Accepting such jobs gives their callers nothing and takes processors from others. The
 * prediction is optimistic: the highest recent rate, no further arrivals, no time for the work that is running. Work
 * is counted in the same units while it waits and when it is done, with estimates that are too high lowered by the
 * recent ratio of durations to estimates, so that a common error of the estimates cancels out. Thread safety: one
 * thread at a time.
 */
class LoadAdmission
{
public:
    /** @p activeSince: when the writer became active; jobs are refused only some time after that. */
    explicit LoadAdmission(TimePoint activeSince);

    /**
     * Whether takeLeftWork() is due after a pass that left @p steps steps waiting; less often with many steps, so that
     * its cost is bounded.
     */
    [[nodiscard]] bool needsLeftWork(std::size_t steps, TimePoint now) const;
    /** Takes what the last placement pass left waiting. */
    void takeLeftWork(const LeftWork &left);
    /** Records a task that ended with its work done after @p took. */
    void recordDone(const CapacityClass &capacity, const QueueName &queue, const StepSpec &step, Milliseconds took,
                    TimePoint now);
    /** Records the work of a job that is accepted. */
    void recordAccepted(const JobSpec &spec, const QueueEntry &queue, TimePoint now);
    /** Whether decide() may refuse @p spec; when it may not, the job is accepted. */
    [[nodiscard]] bool mayRefuse(const JobSpec &spec, TimePoint now) const;
    /** @p urgency: that of the job if it is accepted at @p now. Precondition: mayRefuse(). */
    LoadDecision decide(const JobSpec &spec, const QueueEntry &queue, const JobUrgency &urgency, TimePoint now);

private:
    /** What waits for one class of capacity. */
    struct Backlog
    {
        WaitingWork work;
        /** Since when each evaluated pass has left work waiting. */
        TimePoint since {};
        /** The least that any waiting task needs. */
        Millicores leastProcessors { std::numeric_limits<std::int64_t>::max() };
        Mebibytes leastMemory { std::numeric_limits<std::int64_t>::max() };
        bool hasOpenTasks = false;
        bool hasCapacity = false;
    };
    struct Learnt
    {
        WorkRate completed;
        WorkRate accepted;
        /** Mean duration of recent runs in milliseconds. */
        std::optional<double> meanMs;
    };
    /** Recent means of the ratio of durations to estimates, of the runs of one queue. */
    struct Ratio
    {
        /** With ratios above 1 taken as 1: corrects estimates that are too high, and only these. */
        double lowering = 1;
        /** With ratios bounded by maxRatio. */
        double full = 1;
    };
    /** How long work waits for one class of capacity. */
    struct Wait
    {
        double ms = 0;
        /** Work that precedes the job, in millicore-milliseconds. */
        double preceding = 0;
        /** Highest recent rate of completion, in millicores. */
        double rate = 0;
        /** Mean rate at which work was accepted lately, in millicores. */
        double arrivalRate = 0;
        CapacityClass capacity;
    };
    struct Prediction
    {
        double finishMs = 0;
        /** The longest wait of any class. */
        Wait longest;
    };

    [[nodiscard]] double countedWork(const JobSpec &spec, const QueueEntry &queue, const CapacityClass &capacity) const;
    [[nodiscard]] double countedMs(const CapacityClass &capacity, const QueueName &queue, Milliseconds estimate) const;
    [[nodiscard]] Wait waitOf(const CapacityClass &capacity, const StepSpec &step, const JobUrgency &urgency,
                              TimePoint now) const;
    [[nodiscard]] Prediction predict(const JobSpec &spec, const QueueEntry &queue, const JobUrgency &urgency,
                                     TimePoint now) const;
    Milliseconds scheduleReturn(const JobSpec &spec, const QueueEntry &queue, const Wait &wait, double slackMs,
                                TimePoint now);

    TimePoint m_activeSince;
    /** When the backlogs were taken. */
    TimePoint m_leftAt {};
    std::map<CapacityClass, Backlog> m_backlogs;
    std::map<CapacityClass, Learnt> m_learnt;
    std::map<QueueName, Ratio> m_ratios;
    RefusedWork m_refused;
};

} // namespace currantring
