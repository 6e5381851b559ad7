#pragma once

#include "callerrequest.h"
#include "logevent.h"
#include "peermessage.h"
#include "random.h"
#include "storerequest.h"
#include "timerqueue.h"
#include "units.h"
#include "workerrequest.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace currantring {

/** Matches the result of an outside call to its continuation. */
using CallId = Strong<std::uint64_t, struct CallIdTag>;

struct StoreCallAction
{
    CallId call;
    StoreRequest request;
};

struct WorkerCallAction
{
    CallId call;
    WorkerId worker;
    Address address;
    WorkerRequest request;
};

struct EndpointCallAction
{
    CallId call;
    EndpointRequest request;
};

struct PeerSendAction
{
    HostId to;
    PeerMessage message;
};

/** Tells the transport where a peer listens, or that it is gone. */
struct PeerLinkAction
{
    HostId peer;
    /** Nullopt closes the link. */
    std::optional<Address> address;
};

struct CallerReplyAction
{
    CallerToken caller;
    CallerReply reply;
};

struct LogAction
{
    LogEvent event;
};

/** One measurement for the histograms, by owner and class of work. */
struct ObserveAction
{
    std::string name;
    OwnerId owner;
    std::string workClass;
    Milliseconds duration {};
};

/** Adds to a counter; the reason is a label when not empty. */
struct CountAction
{
    std::string name;
    std::string reason;
};

/** The process has nothing left to do and may end. */
struct ExitAction
{
};

using Action = std::variant<StoreCallAction, WorkerCallAction, EndpointCallAction, PeerSendAction, PeerLinkAction,
                            CallerReplyAction, LogAction, ObserveAction, CountAction, ExitAction>;

/**
 * Gives decision code its time, randomness, timers and outside calls without any I/O.
 *
 * The driver (the daemon's event loop, or a test in virtual time) advances the time, takes the collected actions,
 * carries them out, and completes the calls. Thread safety: one thread at a time.
 */
class Context
{
public:
    using StoreContinuation = std::function<void(const StoreResult &)>;
    using WorkerContinuation = std::function<void(const WorkerResult &)>;
    using EndpointContinuation = std::function<void(const EndpointResult &)>;

    explicit Context(std::uint64_t seed);

    // For decision code.

    [[nodiscard]] TimePoint now() const;
    [[nodiscard]] WallTime wallNow() const;
    Random &random();
    /** Calls the platform; @p then runs once, when the driver completes the call. */
    void callStore(StoreRequest request, StoreContinuation then);
    void callWorker(const WorkerId &worker, const Address &address, WorkerRequest request, WorkerContinuation then);
    void callEndpoint(EndpointRequest request, EndpointContinuation then);
    /** Sends at most once; a message may be lost without notice. */
    void sendPeer(const HostId &to, PeerMessage message);
    void linkPeer(const HostId &peer, std::optional<Address> address);
    void replyCaller(CallerToken caller, CallerReply reply);
    void log(LogLevel level, std::string name, std::vector<std::pair<std::string, std::string>> fields);
    void observe(std::string name, const OwnerId &owner, std::string workClass, Milliseconds duration);
    void count(std::string name, std::string reason = {});
    void exit();
    /** Runs @p then once after @p delay. */
    TimerId schedule(Milliseconds delay, std::function<void()> then);
    /** Does nothing when the timer has run. */
    void cancel(TimerId timer);

    // For the driver.

    /** Moves the clock and runs the timers that are due, in order. Time never goes back; the wall clock may. */
    void advance(TimePoint now, WallTime wallNow);
    /** When the next timer is due. */
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;
    /** The actions since the last call, in order. */
    std::vector<Action> takeActions();
    /** Hands over a result; a call that is already complete is ignored. */
    void completeStore(CallId call, const StoreResult &result);
    void completeWorker(CallId call, const WorkerResult &result);
    void completeEndpoint(CallId call, const EndpointResult &result);

private:
    CallId nextCall();

    TimePoint m_now {};
    WallTime m_wallNow {};
    Random m_random;
    std::uint64_t m_lastCall = 0;
    std::vector<Action> m_actions;
    std::map<CallId, StoreContinuation> m_storeCalls;
    std::map<CallId, WorkerContinuation> m_workerCalls;
    std::map<CallId, EndpointContinuation> m_endpointCalls;
    TimerQueue m_timers;
};

} // namespace currantring
