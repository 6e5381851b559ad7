#pragma once

#include "standinattempt.h"
#include "standintruth.h"
#include "workerrequest.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantring {

/** What a failing worker does. */
enum class StandinHealth {
    Sound,
    /** Starts attempts, and each fails at once; refuses requests. */
    FailsAttempts,
    /** Refuses attempts and requests. */
    RefusesAll,
};

/** What one worker is told at its start. */
struct StandinWorkerOptions
{
    WorkerInfo info;
    /** How long a request takes unless its body says otherwise. */
    Milliseconds serviceTime {};
    /** Age of the usage in reports. */
    Milliseconds usageLag {};
    /** Reading of the worker's own clock at time 0. */
    WorkerTime clockOffset;
};

/** A request that an endpoint runs; the slot is taken until the answer is ready. */
struct StandinServing
{
    EndpointAnswer answer;
    TimePoint readyAt;
};

/**
 * One worker of the platform as a pure state machine: attempts under leases, and an endpoint with counted slots.
 *
 * Time is passed in and never goes back. Thread safety: one thread at a time, together with its StandinTruth.
 */
class StandinWorker
{
public:
    /** Precondition: @p truth outlives the worker. */
    StandinWorker(StandinWorkerOptions options, StandinTruth &truth);

    /** Carries out one command as workerrequest.h says. */
    WorkerResult apply(const WorkerRequest &request, TimePoint now);
    /**
     * Takes a slot and runs the request, or refuses it. A body `{"serviceMs": 20}` sets the time it takes. The answer
     * is the JSON object of service, request and the echoed body.
     */
    tl::expected<StandinServing, EndpointError> beginRequest(const EndpointRequest &request, TimePoint now);
    /** Ends the attempts and requests that are over at @p now. Other calls do so by themselves. */
    void advance(TimePoint now);
    /** When the next attempt ends, lapses, or the next request is ready. */
    [[nodiscard]] std::optional<TimePoint> nextEvent() const;

    void setAddress(const Address &address);
    void setLeaving(bool leaving);
    void setHealth(StandinHealth health);
    /** Adds @p delay to the time that each request takes. */
    void setSlowness(Milliseconds delay);

    [[nodiscard]] const WorkerInfo &info() const;
    /** The worker's own clock at @p now. */
    [[nodiscard]] WorkerTime clock(TimePoint now) const;
    /** Requests being served at the last time seen. */
    [[nodiscard]] std::uint32_t activeRequests() const;
    /** Declared amounts of the attempts that run. */
    [[nodiscard]] const Resources &declaredUse() const;

private:
    WorkerResult run(const StartAttempt &request, TimePoint now);
    WorkerResult run(const StopAttempt &request, TimePoint now);
    WorkerResult run(const CheckpointAttempt &request, TimePoint now);
    WorkerResult run(const ThrottleAttempt &request, TimePoint now);
    WorkerResult run(const RenewLeases &request, TimePoint now);
    [[nodiscard]] RefusalReason refusalOf(const StartAttempt &request, TimePoint now) const;
    [[nodiscard]] bool admit(const CommandFence &fence);
    void begin(const StartAttempt &request, TimePoint now);
    /** Why the attempt fails as soon as it has started; empty when it doesn't. */
    [[nodiscard]] std::string failureAtStart(const StartAttempt &request) const;
    void leaveTombstone(const StopAttempt &request);
    void end(StandinAttempt &attempt, AttemptPhase phase, std::string detail, TimePoint when);
    [[nodiscard]] AttemptReport reportOf(const StandinAttempt &attempt, TimePoint now) const;
    void noteUsage(TimePoint now);
    [[nodiscard]] Resources laggedUsage(TimePoint now) const;
    [[nodiscard]] WorkerReport baseReport(TimePoint now) const;
    [[nodiscard]] WorkerReply replyFor(const StandinAttempt &attempt, TimePoint now) const;
    [[nodiscard]] TimePoint toTimePoint(WorkerTime time) const;

    StandinWorkerOptions m_options;
    StandinTruth &m_truth;
    std::map<ShardId, Epoch> m_epochs;
    std::map<AttemptKey, StandinAttempt> m_attempts;
    std::set<AttemptKey> m_running;
    std::set<AttemptKey> m_unrecorded;
    std::multiset<TimePoint> m_requests;
    Resources m_declaredUse;
    /** Total use from each time on. */
    std::deque<std::pair<TimePoint, Resources>> m_usage;
    StandinHealth m_health = StandinHealth::Sound;
    Milliseconds m_slowness {};
};

} // namespace currantring
