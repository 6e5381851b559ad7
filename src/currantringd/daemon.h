#pragma once

#include "actionrunner.h"
#include "chart.h"
#include "daemonsettings.h"
#include "decisionloop.h"
#include "httpfront.h"
#include "node.h"

#include <atomic>
#include <set>
#include <string_view>

namespace currantring {

/**
 * One currantringd: the decision loop with the Node, the pools for outside calls and the HTTP listeners.
 *
 * Thread safety: askToStop, takePeerBytes and losePeer from any thread, the rest from the owning thread.
 */
class Daemon
{
public:
    /** Precondition: what @p calls and @p peers act on outlives the process. */
    Daemon(DaemonSettings settings, ChartSet charts, OutsideCalls calls, const PeerLinks &peers);
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Binds the HTTP listeners; findings name the flag at fault. */
    [[nodiscard]] Findings listen();
    /** Serves until a planned stop is complete. Precondition: listen() gave no findings. */
    void run();
    /** Begins a planned stop; repeating it does nothing. */
    void askToStop();
    /** Takes bytes that a peer sent; false when they are no message, which is logged. */
    bool takePeerBytes(const HostId &from, std::string_view bytes);
    /** The transport lost its link to @p peer. */
    void losePeer(const HostId &peer);

private:
    void handle(Input &input);
    void postFromCaller(Input input);
    void refuseLeftCallers();
    void refreshGauges();
    PeerLinks countLinks(const PeerLinks &peers);

    const DaemonSettings m_settings;
    Metrics m_metrics;
    const std::function<void(Metrics &)> m_peerGauges;
    HealthBoard m_health;
    ReplyBoard m_replies;
    Context m_context;
    Node m_node;
    DecisionLoop m_loop;
    /** Peers towards which the decision code wants a link. Loop thread only. */
    std::set<HostId> m_links;
    std::atomic<std::size_t> m_linkCount = 0;
    ActionRunner m_runner;
    HttpFront m_http;
    /** Last, so that its jobs end before what they use. */
    CallPools m_pools;
};

} // namespace currantring
