#pragma once

#include "admissionclient.h"
#include "evacuationlist.h"
#include "joblog.h"
#include "joburgency.h"
#include "leaseauthority.h"
#include "loadadmission.h"
#include "noroomcache.h"
#include "queueregistry.h"
#include "rackwaits.h"
#include "readysteps.h"
#include "runplacer.h"

#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace currantring {

class WorkerCostTable;

/**
 * Places ready tasks in order of urgency, and starts their runs once the placement is committed to the log.
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
        const LeaseAuthority &authority;
        WorkerFleet &fleet;
        EvacuationList &evacuations;
        const RunPlacer &placer;
        const WorkerHealth &health;
        const QueueRegistry &queues;
        LoadAdmission &loadAdmission;
        /** By how much a task's run time grows on another rack than its own; nullopt when that isn't known. */
        std::optional<double> farFactor;
    };
    /** Called when a placed run is dropped before its start was sent. */
    using LossHandler = std::function<void(const WorkerId &worker, const LiveRun &run, std::string_view reason)>;

    /** Precondition: @p parts outlive the object. */
    RunStarter(Parts parts, LossHandler onLoss);

    /** Queues the task for placement: it has no run, or a copy of it is wanted. */
    void open(const TaskRef &task, const Job &job);
    /** Removes the task from those that wait for placement, if it is one of them; it is done. */
    void withdraw(const TaskRef &task);
    /** All tasks of @p step are done, or its job is closed. */
    void forgetStep(const StepRef &step);
    void forgetJob(const JobId &job);
    /** Schedules a placement pass over the waiting tasks. */
    void requestPass();
    /** A run has ended at the worker, and its capacity has come free. */
    void noteEnd(const WorkerLink &link, const LiveRun &run);
    /** Discards the admission ticket of a worker that refused the run. */
    void dropTicket(const RunRef &run, const WorkerId &worker);
    /** Whether the task is waiting for placement. */
    [[nodiscard]] bool isOpen(const TaskRef &task) const;
    /** Number of the job's tasks that wait for a worker. */
    [[nodiscard]] std::size_t waitingTasks(const JobId &job) const;
    /** Number of steps with waiting tasks, and of steps for which tickets or decisions are kept. */
    [[nodiscard]] std::size_t trackedSteps() const;
    /** The placement request of a task; nullopt when its queue or job is unknown. */
    [[nodiscard]] std::optional<PlacementRequest> requestFor(const TaskRef &task, const StepSpec &step,
                                                             const QueueName &queue) const;

private:
    struct Assignment
    {
        TaskRef task;
        WorkerLink *link = nullptr;
        RunNumber number;
    };

    /** How tasks with a preferred rack are placed. */
    enum class RackUse {
        /** On the rack until the step has waited for a fixed time. */
        FixedWait,
        /** On the rack or not at all. */
        OnlyOnRack,
        /** On any worker; those outside of the rack cost more. */
        Preferred,
    };

    /** Longest wait for a rack. */
    static constexpr Milliseconds maxRackWait { 3000 };

    void pass();
    void reportLeftWork();
    [[nodiscard]] LeftWork leftWork() const;
    static void addLaterSteps(const Job &job, std::uint32_t occurrence, WaitingStep like, LeftWork &left);
    [[nodiscard]] bool mayLackOtherThanProcessors(const ReadyStep &ready, const QueueEntry &queue) const;
    [[nodiscard]] std::map<ServiceName, ServiceCapacity> capacityOfServices() const;
    [[nodiscard]] std::vector<StepRef> stepsByUrgency() const;
    void placeStep(const StepRef &step);
    void placeTasks(const StepRef &step, const ReadyStep &ready);
    std::size_t placeEach(const StepRef &step, const ReadyStep &ready, RackUse use, std::size_t maxCount);
    std::size_t placeByRackPolicy(const StepRef &step, const ReadyStep &ready);
    bool hasPlaceForOthers(PlacementRequest request, std::optional<WorkerCostTable> &costs);
    WorkerLink *choose(const PlacementRequest &request, std::optional<WorkerCostTable> &costs);
    void placeGang(const StepRef &step, const ReadyStep &ready);
    bool placeGangOn(const StepRef &step, const ReadyStep &ready, const Label &rack);
    void requireTicket(const StepRef &step, const QueueEntry &queue, PlacementRequest &request) const;
    [[nodiscard]] bool lacksTickets(const StepRef &step, const QueueEntry &queue) const;
    void waitForTickets(const StepRef &step, const QueueEntry &queue);
    void placeAnswered();
    void askAdmission();
    [[nodiscard]] std::optional<AdmissionDemand> admissionDemand(const StepRef &step, const ReadyStep &ready);
    [[nodiscard]] FillerThrottling throttlingOf(const ReadyStep &ready, const ServiceName &service);
    [[nodiscard]] bool mayWaitForRack(const ReadyStep &ready) const;
    [[nodiscard]] bool isWaitingForRack(const ReadyStep &ready, const Label &rack) const;
    void startDeferred();
    void noteSchedulableRacks();
    [[nodiscard]] bool isRackAbsent(const Label &rack) const;
    [[nodiscard]] bool wantsOnlyRack(const StepRef &step, const ReadyStep &ready, const Label &rack);
    [[nodiscard]] bool mayGangWait(const StepRef &step, const ReadyStep &ready);
    [[nodiscard]] RackCandidate rackCandidate(const StepRef &step, const ReadyStep &ready,
                                              std::vector<Label> racks) const;
    void noteNoRoom(const PlacementRequest &request);
    void notePlacedOnRack(const StepRef &step, const StepSpec &spec, const WorkerLink &link);
    void scheduleRackRetry();
    [[nodiscard]] std::size_t waitingTasksOf(const StepRef &step) const;
    [[nodiscard]] std::string_view obstacleToStart(const TaskRef &task, const Job &job, const WorkerLink &link,
                                                   const std::string &ticket) const;
    [[nodiscard]] Label rackOf(const StepRef &step, const StepSpec &spec) const;
    LiveRun reserve(const Assignment &assignment, const ReadyStep &ready);
    void record(const Assignment &assignment, const LiveRun &run);
    void start(const RunRef &run, const WorkerId &worker);
    void sendStart(const RunRef &run, const WorkerId &worker, const GrantTerm &term);
    [[nodiscard]] std::optional<GrantTerm> startTerm();
    void requestProof();
    [[nodiscard]] const Task &task(const TaskRef &ref) const;
    [[nodiscard]] JobUrgency urgencyOfStep(const StepRef &step, const ReadyStep &ready, const Job &job,
                                           const QueueEntry &queue) const;

    Parts m_parts;
    LossHandler m_onLoss;
    Lifetime m_lifetime;
    ReadySteps m_ready;
    AdmissionClient m_admission;
    /** Steps that the present pass couldn't place completely and that need tickets, in order of urgency. */
    std::vector<StepRef> m_waitingForTickets;
    bool m_isRetryScheduled = false;
    /** Decides on waits for racks where the cost of running elsewhere is known. */
    std::optional<RackWaits> m_rackWaits;
    bool m_isRackRetryScheduled = false;
    /** Valid within one pass. */
    NoRoomCache m_noRoom;
    std::map<ServiceName, bool> m_isMostlyUnused;
    /** Labels of the workers that may get new runs, while there is an evacuation; valid within one pass. */
    std::set<Label> m_schedulableLabels;
    /** Committed runs whose starts wait until the claim is proven and the list of evacuations is read. */
    std::vector<std::pair<RunRef, WorkerId>> m_deferredStarts;
    /** While the claim is being read for these. */
    bool m_isProofRequested = false;
    bool m_passRequested = false;
    std::optional<TimePoint> m_lastPass;
};

} // namespace currantring
