#pragma once

#include "admission.h"
#include "callercall.h"
#include "jobmessage.h"
#include "kvrequest.h"
#include "logevent.h"
#include "random.h"
#include "storehealth.h"
#include "timerqueue.h"
#include "units.h"
#include "workerorder.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace currantring {

/** Readings of a host's monotonic and wall clocks, taken together. */
struct JobTime
{
    TimePoint now;
    WallTime wallNow;
};

/** I/O callbacks of the decision code; implemented on real sockets or, in tests, in virtual time. */
struct JobDriver
{
    using KvHandler = std::function<void(const KvResult &)>;
    using WorkerHandler = std::function<void(const WorkerResult &)>;
    using AdmissionHandler = std::function<void(const AdmissionResult &)>;

    /**
     * Reads the clocks. Called when an answer arrives, so that its time isn't earlier than the events it reports, even
     * when the process wasn't scheduled for a while.
     */
    std::function<JobTime()> readTime;
    /** Each handler runs once, after the call that received it has returned. */
    std::function<void(KvRequest request, Milliseconds timeout, KvHandler then)> callStore;
    std::function<void(const WorkerTarget &target, WorkerOrder order, Milliseconds timeout, WorkerHandler then)>
        callWorker;
    /** Queries which of the workers may run a step whose queue requires admission. */
    std::function<void(const StepRef &step, const std::vector<WorkerId> &workers, Milliseconds timeout,
                       AdmissionHandler then)>
        askAdmission;
    /** Delivers at most once; a message may be lost without an error. */
    std::function<void(const HostId &to, const JobMessage &message)> sendPeer;
    /** Sets the address to which the transport connects for a peer; nullopt closes the connection. */
    std::function<void(const HostId &peer, const std::optional<Address> &address)> linkPeer;
    std::function<void(CallerToken caller, const CallAnswer &answer)> answerCaller;
    std::function<void(const LogEvent &event)> log;
    /** Adds a measurement to the histogram @p name, labelled by queue and kind of work. */
    std::function<void(std::string_view name, const QueueName &queue, std::string_view kind, Milliseconds duration)>
        observe;
    /** Increments a counter; a non-empty reason becomes a label. */
    std::function<void(std::string_view name, std::string_view reason)> count;
};

/**
 * Provides time, random numbers, timers and outgoing calls to decision code; all I/O goes through a JobDriver.
 *
 * Thread safety: one thread at a time.
 */
class JobContext
{
public:
    using LogFields = std::vector<std::pair<std::string, std::string>>;

    JobContext(std::uint64_t seed, JobDriver driver);

    // For decision code.

    [[nodiscard]] TimePoint now() const;
    [[nodiscard]] WallTime wallNow() const;
    Random &random();
    void callStore(KvRequest request, Milliseconds timeout, JobDriver::KvHandler then);
    void callWorker(const WorkerTarget &target, WorkerOrder order, Milliseconds timeout, JobDriver::WorkerHandler then);
    void askAdmission(const StepRef &step, const std::vector<WorkerId> &workers, Milliseconds timeout,
                      JobDriver::AdmissionHandler then);
    void sendPeer(const HostId &to, const JobMessage &message);
    void linkPeer(const HostId &peer, const std::optional<Address> &address);
    void answerCaller(CallerToken caller, const CallAnswer &answer);
    void log(LogLevel level, std::string_view name, LogFields fields);
    void observe(std::string_view name, const QueueName &queue, std::string_view kind, Milliseconds duration);
    void count(std::string_view name, std::string_view reason = {});
    /** Runs @p then once after @p delay; a negative delay counts as 0. */
    TimerId schedule(Milliseconds delay, std::function<void()> then);
    /** Does nothing when the timer has already run. */
    void cancel(TimerId timer);

    // For the driver.

    /** Sets the clocks and runs due timers in order. Monotonic time never goes back; the wall clock may. */
    void advance(TimePoint now, WallTime wallNow);
    /** Sets the clocks without running timers, so that the next input is handled at the current time. */
    void setTime(TimePoint now, WallTime wallNow);
    /** Returns when the next timer is due; nullopt when there is none. */
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
    void recordStoreResult(const KvResult &result);
    template<typename Result>
    std::function<void(const Result &)> withCurrentTime(std::function<void(const Result &)> then);

    TimePoint m_now {};
    WallTime m_wallNow {};
    Random m_random;
    TimerQueue m_timers;
    JobDriver m_driver;
    StoreHealth m_storeHealth;
};

} // namespace currantring
