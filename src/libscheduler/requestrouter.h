#pragma once

#include "chart.h"
#include "configuration.h"
#include "context.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace currantring {

/** The shard writers and their free request slots as the peers' heartbeats tell them. */
struct PeerRoom
{
    HostId host;
    std::vector<ServiceRoom> rooms;
};

/**
 * Serves requests to latency-critical services on the endpoints whose slots this host counts, and passes others to
 * the host that counts them.
 *
 * A request is sent to an endpoint only against a counted slot.
 *
 * Non-idempotent requests run at most once. Each has a home: the host that rendezvous hashing gives for
 * (owner, request id) over the hosts that serve the service. Every entry host passes the request there; the home
 * remembers it, answers a repeat with the outcome of the first copy, and sends it to its own endpoints only. NotRun
 * speaks of the copy that it answers and isn't remembered: a repeat after it is a new request.
 *
 * What this protects: repeats through any entry host that come within twice the longest request deadline of the first
 * copy, also over a change of hosts. A host that has become a request's home passes it on to the former home until it
 * knows every copy that may still be repeated; RequestHomes has the rule and the argument. When the former home is
 * gone, the answer for that time is OutcomeUnknown ("home-changed"). Hosts that start the system together agree first
 * that none has run a request (FirstStart). What it doesn't protect: later repeats, and hosts whose views differ for
 * longer than peer silence and clock error (a lasting partition with callers on both sides), but for the endpoints'
 * refusal of a superseded writer. Requests that may have waited at an entry host through a pause aren't passed on.
 *
 * Idempotent requests that come twice at once to one host share one outcome, and aren't remembered afterwards.
 * Thread safety: one thread at a time.
 */
class RequestRouter
{
public:
    using ReplyHandler = std::function<void(CallerReply)>;
    /**
     * Sends a request to a peer; the handler gets its reply, or OutcomeUnknown when none came in time. The handler
     * must run exactly once; one that runs after the request was answered is ignored.
     */
    using Forwarder = std::function<void(const HostId &peer, const CallService &request, ReplyHandler handler)>;

    /**
     * Precondition: @p context and @p endpointChart outlive the router; @p self is the name under which the peers
     * know this host.
     */
    RequestRouter(Context &context, const Chart &endpointChart, HostId self, Forwarder forwarder);
    ~RequestRouter();
    RequestRouter(const RequestRouter &) = delete;
    RequestRouter &operator=(const RequestRouter &) = delete;

    /** Settings, owners and services in force from now on. */
    void setConfiguration(const Configuration &configuration);
    /**
     * What the peers' latest heartbeats say; peers not named are gone, and leaving ones aren't named. Every live peer
     * is named, also without rooms.
     *
     * Precondition: called before the first endpoint is added, and with each heartbeat: a gap longer than the
     * peer silence counts as a pause of this process, after which it must earn its homes anew, also when it hears no
     * peer, for one that it is cut from may have served meanwhile.
     */
    void setPeerRooms(std::vector<PeerRoom> rooms);
    /**
     * A heartbeat just came from @p peer; @p rooms is nullopt when it leaves. Takes in at once which services the
     * peer serves, so that views differ for as short as possible; the rest waits for setPeerRooms().
     */
    void notePeerServices(const HostId &peer, const std::optional<std::vector<ServiceRoom>> &rooms);

    /**
     * What the peers' latest heartbeats say of the system's first start: the votes of all other writers when each shard
     * has a live writer and is in its first epoch, else nullopt. Precondition: follows a call of setPeerRooms().
     */
    void followFirstStart(const std::optional<std::vector<std::uint64_t>> &othersVotes);
    /** This host's vote for its heartbeats; 0 when it has none. */
    [[nodiscard]] std::uint64_t startVote() const;

    /**
     * This host counts the slots of @p worker from now on, under @p fence. All its slots count as taken until a
     * report shows them free or the longest request deadline has passed, unless @p freshlyKnown (the worker had no
     * earlier holder). An endpoint that is there under the same fence is only updated.
     */
    void addEndpoint(const WorkerInfo &worker, CommandFence fence, bool freshlyKnown);
    /** Updates address, services and state; a leaving endpoint gets no new request. */
    void updateEndpoint(const WorkerInfo &worker);
    /** This host no longer counts the slots of @p worker; requests in flight on it finish. */
    void removeEndpoint(const WorkerId &worker);
    /**
     * Takes in what the worker says of itself. Precondition: the report answers a command under the fence of the
     * latest addEndpoint(), so that the worker already refuses a former holder's requests.
     */
    void handleReport(const WorkerReport &report);

    /** Serves a request that came from a caller at this host. @p handler runs exactly once. */
    void handleCall(const CallService &request, ReplyHandler handler);
    /** Serves a request that a peer passed on; it isn't passed on again. @p handler runs exactly once. */
    void handleForwarded(const CallService &request, ReplyHandler handler);
    /** From now on new requests are refused with NotRun; those in flight and queued finish. */
    void beginDrain();

    /** Requests queued or in flight, forwarded ones included. */
    [[nodiscard]] std::size_t inFlight() const;
    /** Digest for heartbeats. */
    [[nodiscard]] std::vector<ServiceRoom> rooms() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace currantring
