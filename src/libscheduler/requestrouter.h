#pragma once

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
 * A request is sent to an endpoint only against a counted slot. Thread safety: one thread at a time.
 */
class RequestRouter
{
public:
    using ReplyHandler = std::function<void(CallerReply)>;
    /** Sends a request to a peer; the handler gets its reply, or OutcomeUnknown when none came in time. */
    using Forwarder = std::function<void(const HostId &peer, const CallService &request, ReplyHandler handler)>;

    /** Precondition: @p context outlives the router. */
    RequestRouter(Context &context, Forwarder forwarder);
    ~RequestRouter();
    RequestRouter(const RequestRouter &) = delete;
    RequestRouter &operator=(const RequestRouter &) = delete;

    /** Settings, owners and services in force from now on. */
    void setConfiguration(const Configuration &configuration);
    /** What the peers' latest heartbeats say; peers not named are gone. */
    void setPeerRooms(std::vector<PeerRoom> rooms);

    /**
     * This host counts the slots of @p worker from now on, under @p fence. All its slots count as taken until a
     * report shows them free or the longest request deadline has passed, unless @p freshlyKnown (the worker had no
     * earlier holder).
     */
    void addEndpoint(const WorkerInfo &worker, CommandFence fence, bool freshlyKnown);
    /** Updates address, services and state; a leaving endpoint gets no new request. */
    void updateEndpoint(const WorkerInfo &worker);
    /** This host no longer counts the slots of @p worker; requests in flight on it finish. */
    void removeEndpoint(const WorkerId &worker);
    /** Takes in what the worker says of itself. */
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
    std::unique_ptr<Private> d;
};

} // namespace currantring
