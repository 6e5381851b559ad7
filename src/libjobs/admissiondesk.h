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
 * Keeps the tickets with which the steps of some queues are admitted to workers, and asks for them.
 *
 * Thread safety: one thread at a time.
 */
class AdmissionDesk
{
public:
    /** Precondition: @p context outlives the object. @p onAnswer runs when a step may have become placeable. */
    AdmissionDesk(JobContext &context, std::function<void()> onAnswer);

    /** The ticket of @p step for @p worker; empty when there is none that is valid for a while yet. */
    [[nodiscard]] std::string ticket(const StepRef &step, const WorkerId &worker) const;
    /** Whether an answer about @p worker could bring a ticket that isn't there. */
    [[nodiscard]] bool isWorthAsking(const StepRef &step, const WorkerId &worker) const;
    /** Asks which of @p workers may run the step, about 100 at most; does nothing while too much is being asked. */
    void ask(const StepRef &step, const std::vector<WorkerId> &workers);
    /** A worker refused the ticket; it is of no more use. */
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
        bool isAsking = false;
        TimePoint askAgainAt {};
        std::map<WorkerId, Ticket> tickets;
        /** The policy doesn't let the step run there; that holds for good. */
        std::set<WorkerId> denied;
    };

    void take(const StepRef &step, const std::vector<WorkerId> &workers, TimePoint askedAt,
              const AdmissionResult &result);

    JobContext &m_context;
    std::function<void()> m_onAnswer;
    Lifetime m_lifetime;
    std::map<StepRef, Admission> m_admissions;
    std::size_t m_asking = 0;
};

} // namespace currantring
