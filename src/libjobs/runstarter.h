#pragma once

#include "admissionclient.h"
#include "joblog.h"
#include "joburgency.h"
#include "queueregistry.h"
#include "readysteps.h"
#include "roommemo.h"
#include "runplacer.h"

#include <functional>
#include <optional>
#include <vector>

namespace currantring {

class PriceList;

/**
 * Places the tasks that may start, in the order of their urgency, and orders their starts once this is on record.
 *
 * Thread safety: one thread at a time.
 */
class RunStarter
{
public:
    struct Parts
    {
        JobLog &log;
        JobContext &context;
        WorkerFleet &fleet;
        const RunPlacer &placer;
        const WorkerHealth &health;
        const QueueRegistry &queues;
    };
    /** A placed run comes to nothing before its start was ordered. */
    using LossHandler = std::function<void(const WorkerId &worker, const LiveRun &run, std::string_view reason)>;

    /** Precondition: @p parts outlive the object. */
    RunStarter(Parts parts, LossHandler onLoss);

    /** The task may start; it has no run, or a copy is wanted. */
    void open(const TaskRef &task, const Job &job);
    void forgetJob(const JobId &job);
    /** Looks soon for places for what waits. */
    void requestPass();
    /** A worker didn't admit a run with its ticket. */
    void dropTicket(const RunRef &run, const WorkerId &worker);
    /** Whether the task waits for a place. */
    [[nodiscard]] bool isOpen(const TaskRef &task) const;
    /** What the placer has to know of a task; nullopt when its queue is unknown. */
    [[nodiscard]] std::optional<PlacementWish> wishFor(const TaskRef &task, const StepSpec &step,
                                                       const QueueName &queue) const;

private:
    struct Choice
    {
        TaskRef task;
        WorkerLink *link = nullptr;
        RunNumber number;
    };

    void pass();
    void placeStep(const StepRef &step);
    void placeTasks(const StepRef &step, const ReadyStep &ready);
    WorkerLink *choose(const PlacementWish &wish, std::optional<PriceList> &prices);
    void placeGang(const StepRef &step, const ReadyStep &ready);
    bool tryGang(const StepRef &step, const ReadyStep &ready, const Label &rack);
    void requireTicket(const StepRef &step, const QueueEntry &queue, PlacementWish &wish) const;
    void askAdmission(const StepRef &step, const QueueEntry &queue, PlacementWish wish);
    [[nodiscard]] Label rackOf(const StepRef &step, const StepSpec &spec) const;
    LiveRun reserve(const Choice &choice, const ReadyStep &ready);
    void record(const Choice &choice, const LiveRun &run);
    void start(const RunRef &run, const WorkerId &worker);
    [[nodiscard]] const Task *taskOf(const TaskRef &ref) const;
    [[nodiscard]] JobUrgency urgencyOfStep(const StepRef &step, const ReadyStep &ready, const QueueEntry &queue) const;

    Parts m_parts;
    LossHandler m_onLoss;
    Lifetime m_lifetime;
    ReadySteps m_ready;
    AdmissionClient m_admission;
    /** Within one pass. */
    RoomMemo m_noRoom;
    bool m_passRequested = false;
    std::optional<TimePoint> m_lastPass;
};

} // namespace currantring
