#pragma once

#include "chart.h"
#include "configuration.h"
#include "context.h"

#include <memory>

namespace currantring {

/** What a process is told at its start. */
struct NodeOptions
{
    HostId host;
    Address peerAddress;
    DataCentreId dataCentre;
};

/**
 * The whole decision-making part of one currantringd: shards, requests, configuration, membership, life cycle.
 *
 * Does no I/O: it acts through its Context. Thread safety: one thread at a time, the same as the Context's.
 */
class Node
{
public:
    /** Precondition: @p context outlives the node. */
    Node(NodeOptions options, ChartSet charts, Context &context);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Joins the platform and the peers; call once. */
    void start();
    /** Begins a planned stop; an ExitAction follows once nothing is in flight. Repeating it does nothing. */
    void stop();
    /** Takes a caller's request; a CallerReplyAction with @p caller follows in every case. */
    void handleCaller(CallerToken caller, const CallerRequest &request);
    /** The caller has hung up; its reply will be dropped. */
    void forgetCaller(CallerToken caller);
    /** Takes a message from the peer @p from. */
    void handlePeer(const HostId &from, const PeerMessage &message);
    /** The transport lost its link to @p peer. */
    void handleLinkLost(const HostId &peer);

    /** Whether the host has a configuration, the store or a live peer, and isn't stopping. */
    [[nodiscard]] bool isHealthy() const;
    /** State of the daemon's life cycle chart. */
    [[nodiscard]] std::string state() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace currantring
