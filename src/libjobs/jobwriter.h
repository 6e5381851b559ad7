#pragma once

#include "callercall.h"
#include "jobbudget.h"
#include "runcontroller.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace currantring {

/**
 * Serves one shard as its writer, from the claim until the shard is lost: handles callers' calls for its jobs and has
 * their tasks run.
 *
 * Thread safety: one thread at a time.
 */
class JobWriter
{
public:
    using Answer = std::function<void(const CallAnswer &answer)>;
    struct Handlers
    {
        std::function<std::shared_ptr<const SiteConfiguration>()> configuration;
        /** When this writer sent the last heartbeat that all hosts have heard; nullopt when it hears no host. */
        std::function<std::optional<TimePoint>()> heardByAll;
        /** Memory for jobs. */
        std::function<JobBudget::Bytes()> budget;
        /** Another host has claimed the shard. The handler must not destroy the object during this call. */
        std::function<void()> onLost;
    };

    /** Precondition: @p context outlives the object. */
    JobWriter(StoreLayout layout, RunController::Options options, std::uint64_t nonce, JobLogLimits logLimits,
              SiteFormats formats, JobContext &context, Handlers handlers);

    /** Loads the log, then starts to handle calls and to place tasks. */
    void begin();
    /** Handles @p call; @p then runs once, unless the shard is lost first. Calls are queued until the log is loaded. */
    void handle(const CallerCall &call, Answer then);
    /** Applies the current configuration and requests another placement pass. */
    void reconsider();
    /** Lowers the bounds on the leases that earlier writers may have granted. */
    void limitInherited(TimePoint until);
    /** How long leases may be valid that were granted up to now; nullopt while inactive. */
    [[nodiscard]] std::optional<RemainingLeases> remainingLeases() const;
    /** Ignores further calls and flushes the log; @p then runs after the flush. */
    void finish(std::function<void()> then);
    /** Whether the log is loaded and the shard not lost. */
    [[nodiscard]] bool isActive() const;
    /** Precondition: isActive(). */
    [[nodiscard]] const WorkerFleet &fleet() const;
    /** See RunController::trackedWork(); nullopt while inactive. */
    [[nodiscard]] std::optional<std::size_t> trackedWork() const;
    /** How long the commit in progress has been unanswered by the store. */
    [[nodiscard]] Milliseconds commitAge() const;

private:
    void activate();
    void keepUntilLoaded(const CallerCall &call, Answer then);
    void submit(const SubmitJob &call, Answer then);
    void read(const ReadJob &call, const Answer &then);
    void cancel(const CancelJob &call, Answer then);
    void count(const CountWaiting &call, const Answer &then);
    void answerCount(const CountWaiting &call, const Answer &then) const;
    bool refuseWhileStuck(const CallerCall &call, const Answer &then);
    bool refuseUnderLoad(const SubmitJob &call, const Answer &then);
    bool refuseBeyondBudget(const SubmitJob &call, const Answer &then);
    void answerUnknown(const Answer &then);
    void handleShardLost();
    void scheduleWriterCheck();

    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    RunController::Options m_options;
    SiteFormats m_formats;
    JobLog m_log;
    std::unique_ptr<RunController> m_controller;
    /** Calls that arrived before the log was loaded. */
    std::vector<std::pair<CallerCall, Answer>> m_waiting;
    std::size_t m_waitingBytes = 0;
    JobBudget m_budget;
    /** Callers to be answered once the acceptance of a job is committed. */
    std::map<JobId, std::vector<Answer>> m_accepting;
    /** Callers to be answered once the cancellation of a job is committed. */
    std::map<JobId, std::vector<Answer>> m_cancelling;
    bool m_isLost = false;
    bool m_isFinishing = false;
};

} // namespace currantring
