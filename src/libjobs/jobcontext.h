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

/** The clocks of a host at one moment. */
struct JobTime
{
    TimePoint now;
    WallTime wallNow;
};

/** The outside world of decision code: a driver on real sockets, or a test in virtual time. */
struct JobDriver
{
    using KvHandler = std::function<void(const KvResult &)>;
    using WorkerHandler = std::function<void(const WorkerResult &)>;
    using AdmissionHandler = std::function<void(const AdmissionResult &)>;

    /**
     * Reads the clocks. Asked when an answer has come: what it tells of happened before that moment, however long the
     * process was kept from running.
     */
    std::function<JobTime()> readTime;
    /** Each handler runs once, later than the call that it was given to. */
    std::function<void(KvRequest request, Milliseconds timeout, KvHandler then)> callStore;
    std::function<void(const WorkerId &worker, const Address &address, WorkerOrder order, Milliseconds timeout,
                       WorkerHandler then)>
        callWorker;
    /** Asks which of the workers may run a step of a queue that needs admission. */
    std::function<void(const StepRef &step, const std::vector<WorkerId> &workers, Milliseconds timeout,
                       AdmissionHandler then)>
        askAdmission;
    /** Sends at most once; a message may be lost without notice. */
    std::function<void(const HostId &to, const JobMessage &message)> sendPeer;
    /** Tells the transport where a peer listens; nullopt closes the link. */
    std::function<void(const HostId &peer, const std::optional<Address> &address)> linkPeer;
    std::function<void(CallerToken caller, const CallAnswer &answer)> answerCaller;
    std::function<void(const LogEvent &event)> log;
    /** One measurement for the histograms, by queue and kind of work. */
    std::function<void(std::string_view name, const QueueName &queue, std::string_view kind, Milliseconds duration)>
        observe;
    /** Adds to a counter; the reason is a label when not empty. */
    std::function<void(std::string_view name, std::string_view reason)> count;
};

/**
 * Gives decision code its time, randomness, timers and calls, without any I/O of its own.
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
    void callWorker(const WorkerId &worker, const Address &address, WorkerOrder order, Milliseconds timeout,
                    JobDriver::WorkerHandler then);
    void askAdmission(const StepRef &step, const std::vector<WorkerId> &workers, Milliseconds timeout,
                      JobDriver::AdmissionHandler then);
    void sendPeer(const HostId &to, const JobMessage &message);
    void linkPeer(const HostId &peer, const std::optional<Address> &address);
    void answerCaller(CallerToken caller, const CallAnswer &answer);
    void log(LogLevel level, std::string_view name, LogFields fields);
    void observe(std::string_view name, const QueueName &queue, std::string_view kind, Milliseconds duration);
    void count(std::string_view name, std::string_view reason = {});
    /** Runs @p then once after @p delay. */
    TimerId schedule(Milliseconds delay, std::function<void()> then);
    /** Does nothing when the timer has run. */
    void cancel(TimerId timer);

    // For the driver.

    /** Moves the clock and runs the timers that are due, in order. Time never goes back; the wall clock may. */
    void advance(TimePoint now, WallTime wallNow);
    /** Moves the clock without running timers, so that what comes in next sees the present time. */
    void setTime(TimePoint now, WallTime wallNow);
    /** When the next timer is due. */
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
    void noteStore(const KvResult &result);
    template<typename Result>
    std::function<void(const Result &)> inTime(std::function<void(const Result &)> then);

    TimePoint m_now {};
    WallTime m_wallNow {};
    Random m_random;
    TimerQueue m_timers;
    JobDriver m_driver;
    StoreHealth m_storeHealth;
};

} // namespace currantring
