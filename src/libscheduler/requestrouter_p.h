#pragma once

#include "backoff.h"
#include "endpointtable.h"
#include "firststart.h"
#include "lifetime.h"
#include "requesthomes.h"
#include "requestqueue.h"
#include "requestrecord.h"
#include "requestrouter.h"
#include "retrybudget.h"

#include <unordered_map>

namespace currantring {

/** One caller that waits for a request's outcome. */
struct WaitingCaller
{
    RequestRouter::ReplyHandler handler;
    /** Its own deadline; the first caller's is the request's. */
    std::optional<TimerId> deadlineTimer;
};

/** Where a request is at the moment. */
enum class FlightPhase { Queued, AtEndpoint, Forwarded, BackingOff };

/** One request that hasn't been answered yet. */
struct Flight
{
    std::uint64_t number = 0;
    CallService request;
    bool idempotent = false;
    /** Came from a caller here; may be passed to a peer. */
    bool isEntry = false;
    /** Non-idempotent, and this host answers for it: its outcome is remembered. */
    bool isHome = false;
    TimePoint arrived;
    TimePoint deadline;
    FlightPhase phase = FlightPhase::Queued;
    /** Some send may have run it: "not run" can't be said any more. */
    bool mayHaveRun = false;
    /** Counts sends, so that only the outcome of the present one matters. */
    std::uint32_t send = 0;
    Backoff backoff { Milliseconds(5), Milliseconds(250) };
    std::set<WorkerId> triedWorkers;
    std::set<HostId> triedPeers;
    TimerId deadlineTimer;
    std::optional<TimerId> backoffTimer;
    std::vector<WaitingCaller> callers;
};

/** What must be known of a send when its result comes. */
struct EndpointSend
{
    std::uint64_t flight = 0;
    std::uint32_t send = 0;
    WorkerId worker;
    std::uint64_t generation = 0;
    ServiceName service;
    RequestId request;
    TimePoint sentAt;
    Milliseconds timeout {};
};

/** State and steps of the router; the public methods are thin. */
struct RequestRouter::Private
{
    Private(Context &routerContext, const Chart &chart, HostId host, Forwarder routerForwarder);
    ~Private();
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    // Admission (requestrouter.cpp).
    void handle(const CallService &request, bool isEntry, ReplyHandler handler);
    std::optional<CallerReply> refuseAtOnce(const CallService &request) const;
    bool joinEarlierCopy(const CallService &request, ReplyHandler &handler);
    Flight &open(const CallService &request, bool isEntry, ReplyHandler handler);
    void joinCaller(Flight &flight, Milliseconds remaining, ReplyHandler handler);
    [[nodiscard]] Milliseconds callerTime(const CallService &request) const;
    void applyConfiguration(const Configuration &next);
    void followHosts(bool provenFresh);
    [[nodiscard]] RepeatBounds repeatBounds() const;
    [[nodiscard]] bool isPeerViewFresh() const;
    /** Whether callers' requests that come now may have waited through a pause, longer than repeats are awaited. */
    [[nodiscard]] bool mayHoldOldCopies() const;
    Flight *findRunning(const CallService &request);

    // The end of a request (requestrouter.cpp).
    void finish(std::uint64_t number, const CallerReply &reply);
    void finishNotRun(std::uint64_t number, std::string_view reason);
    void finishUnknown(std::uint64_t number, std::string_view reason);
    void deadlinePassed(std::uint64_t number);

    // Dispatch (requestdispatch.cpp).
    void dispatch(std::uint64_t number);
    void dispatchNonIdempotent(Flight &flight);
    void dispatchIdempotent(Flight &flight);
    void dispatchAsHome(Flight &flight);
    void askFormerHome(Flight &flight);
    void serveHere(Flight &flight);
    bool sendNow(Flight &flight);
    void forward(Flight &flight, const HostId &peer);
    void handlePeerReply(std::uint64_t number, std::uint32_t send, const CallerReply &reply);
    std::optional<HostId> peerWithFreeSlot(const Flight &flight);
    std::optional<HostId> peerWithShortQueue(const Flight &flight);
    void retry(Flight &flight, std::string_view reason);
    void pump();
    bool pumpOne(const ServiceName &service);
    bool sendQueued(std::uint64_t number);
    void redirectQueue(const ServiceName &service);
    void scheduleWake();

    // Results of endpoints (requestresult.cpp).
    void handleResult(const EndpointSend &send, const EndpointResult &result);
    void settleSlot(const EndpointSend &send, const EndpointResult &result);
    void judgeEndpoint(Endpoint &endpoint, const EndpointSend &send, const EndpointResult &result);
    void noteFailure(Endpoint &endpoint);
    void settleFlight(Flight &flight, const EndpointResult &result);

    Flight *find(std::uint64_t number);
    FairRequestQueue &queueOf(const ServiceName &service);
    [[nodiscard]] std::uint32_t weightOf(const OwnerId &owner) const;

    Context &context;
    HostId self;
    Forwarder forwarder;
    Lifetime lifetime;
    Configuration configuration;
    EndpointTable endpoints;
    RequestHomes homes;
    FirstStart firstStart;
    RequestRecord record;
    RetryBudget budget;
    std::vector<PeerRoom> peerRooms;
    std::optional<TimePoint> peersHeardAt;
    /** When a pause of this process was last seen. */
    std::optional<TimePoint> resumedAt;
    /** Services that some host served at some time. */
    std::set<ServiceName> followedServices;
    bool draining = false;
    std::uint64_t lastNumber = 0;
    std::unordered_map<std::uint64_t, Flight> flights;
    std::map<RequestKey, std::uint64_t> running;
    /** Copies that came back to this host as the former home, while another one that it passed on waits. */
    std::map<RequestKey, std::uint64_t> runningAsked;
    std::size_t runningNonIdempotent = 0;
    std::map<ServiceName, FairRequestQueue> queues;
    std::map<ServiceName, LearnedTime> serviceTimes;
    std::optional<TimerId> wakeTimer;
    bool pumping = false;
};

} // namespace currantring
