#pragma once

#include "jobcontext.h"
#include "lifetime.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace currantring {

/**
 * Requests and caches the tickets that admit the steps of some queues to workers.
 *
 * Thread safety: one thread at a time.
 */
class AdmissionClient
{
public:
    /** Precondition: @p context outlives the object. @p onAnswer runs after each answer, since a step may have become
     * placeable. */
    AdmissionClient(JobContext &context, std::function<void()> onAnswer);

    /** The ticket of @p step for @p worker; empty when there is none, or it is about to expire. */
    [[nodiscard]] std::string ticket(const StepRef &step, const WorkerId &worker) const;
    /** Whether @p step has no ticket for @p worker but a request might yield one. */
    [[nodiscard]] bool mayObtainTicket(const StepRef &step, const WorkerId &worker) const;
    /** Requests tickets for @p workers, about 100 at most; does nothing while too many requests are pending. */
    void ask(const StepRef &step, const std::vector<WorkerId> &workers);
    /** Drops a ticket that the worker has refused. */
    void drop(const StepRef &step, const WorkerId &worker);
    void forgetJob(const JobId &job);

private:
    struct Ticket
    {
        std::string text;
        TimePoint validUntil {};
    };
    struct Admission
    {
        bool isRequestPending = false;
        TimePoint retryAt {};
        std::map<WorkerId, Ticket> tickets;
        /** Workers that the policy doesn't admit the step to; such a decision is final. */
        std::set<WorkerId> denied;
    };

    void handleAnswer(const StepRef &step, const std::vector<WorkerId> &workers, TimePoint requestedAt,
                      const AdmissionResult &result);

    JobContext &m_context;
    std::function<void()> m_onAnswer;
    Lifetime m_lifetime;
    std::map<StepRef, Admission> m_admissions;
    std::size_t m_pendingRequests = 0;
};

} // namespace currantring
