#pragma once

#include "admissionbatch.h"
#include "admissionline.h"
#include "admissionstatistics.h"
#include "jobcontext.h"
#include "lifetime.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace currantring {

/** A step that waits for tickets, and what a request for them depends on. */
struct AdmissionDemand
{
    StepRef step;
    QueueName queue;
    AdmissionTerms terms;
    AdmissionNeed need;
    /** The workers that could run tasks of the step now, in order of preference. */
    std::vector<AdmissionCandidate> candidates;
};

/** What became of a step after a request for its tickets. */
enum class AdmissionUse {
    /** At least one task was placed. */
    Started,
    /** Tasks can be placed only once more workers are admitted. */
    Incomplete,
    NotPlaced,
};

/**
 * Requests and caches the tickets that admit the steps of some queues to workers.
 *
 * The service handles the requests of one host in turn, so only one is sent at a time: a second one would only wait
 * there, while its step could be placed or a more urgent one come. Thread safety: one thread at a time.
 */
class AdmissionClient
{
public:
    /**
     * Precondition: @p context outlives the object. @p onChange runs after each answer, and when requests may be sent
     * again after a failure.
     */
    AdmissionClient(JobContext &context, std::function<void()> onChange);

    /** Whether @p step may be placed on the worker: there is a ticket for its @p life that isn't about to expire. */
    [[nodiscard]] bool isAdmitted(const StepRef &step, const WorkerId &worker, WorkerLife life) const;
    /** The ticket for a start that is sent now; empty when there is none that is valid. */
    [[nodiscard]] std::string ticket(const StepRef &step, const WorkerId &worker, WorkerLife life) const;
    /** Whether @p step has no ticket for the worker but a request might yield one. */
    [[nodiscard]] bool mayObtainTicket(const StepRef &step, const WorkerId &worker, WorkerLife life) const;
    /** Whether there are tickets of @p step, which may have expired. */
    [[nodiscard]] bool hasTickets(const StepRef &step) const;

    /** Whether a request may be sent: none is pending, and the last one hasn't just failed. */
    [[nodiscard]] bool maySend() const;
    /** The steps of @p byUrgency that a request may be sent for now, in order; empty while none may be sent. */
    [[nodiscard]] std::vector<StepRef> turns(const std::vector<StepRef> &byUrgency);
    /**
     * Requests tickets for as many candidates as is best.
     *
     * Precondition: the step was returned by turns() since the last request, and there are candidates.
     */
    void ask(const AdmissionDemand &demand);
    /** No request for @p step makes sense at present. */
    void postpone(const StepRef &step);
    /** The step whose request has ended since the last call; the caller is to place it and to call noteUse(). */
    [[nodiscard]] std::optional<StepRef> takeAnswered();
    void noteUse(const StepRef &step, AdmissionUse use);

    /** Drops a ticket that the worker has refused. */
    void drop(const StepRef &step, const WorkerId &worker);
    /** Drops what is kept for @p step; the answer to a request under way for it is disregarded. */
    void forgetStep(const StepRef &step);
    void forgetJob(const JobId &job);
    /** Number of steps that something is kept for. */
    [[nodiscard]] std::size_t trackedSteps() const;

private:
    struct Ticket
    {
        std::string text;
        WorkerLife life;
        TimePoint requestedAt {};
        TimePoint answeredAt {};
        Milliseconds validity {};
    };
    struct Admission
    {
        std::map<WorkerId, Ticket> tickets;
        /** Lives of the workers that the policy doesn't admit the step to; such a decision is final. */
        std::map<WorkerId, WorkerLife> denied;
    };
    struct Request
    {
        StepRef step;
        QueueName queue;
        std::vector<AdmissionCandidate> workers;
        Milliseconds statedDuration {};
        TimePoint sentAt {};
    };

    void handleAnswer(const Request &request, const AdmissionResult &result);
    void applyAnswer(const Request &request, const AdmissionAnswer &answer);
    void backOff();
    void logAnswer(const Request &request, const AdmissionResult &result);
    [[nodiscard]] std::size_t requestLimit(const AdmissionTerms &terms) const;
    [[nodiscard]] const Ticket *find(const StepRef &step, const WorkerId &worker, WorkerLife life) const;
    [[nodiscard]] TimePoint validUntil(const Ticket &ticket) const;

    JobContext &m_context;
    std::function<void()> m_onChange;
    Lifetime m_lifetime;
    AdmissionLine m_line;
    AdmissionStatistics m_statistics;
    std::map<StepRef, Admission> m_admissions;
    std::optional<StepRef> m_answered;
    bool m_isRequestPending = false;
    /** The step of the pending request, unless it was forgotten since. */
    std::optional<StepRef> m_requested;
    /** No request is sent before this time after a failure. */
    TimePoint m_retryAt {};
    std::uint32_t m_failures = 0;
    /** Until this time the validity is taken to count from the request, as the refusal of a ticket has shown. */
    TimePoint m_countsFromRequestUntil {};
};

} // namespace currantring
