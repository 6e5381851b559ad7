#pragma once

#include "callgateway.h"
#include "entryhosts.h"
#include "jobwriter.h"
#include "siteformats.h"
#include "writerelection.h"
#include "writersuitability.h"

#include <functional>
#include <memory>
#include <optional>

namespace currantring {

/** Start-up parameters of one host. */
struct JobNodeOptions
{
    HostId self;
    /** Address that the other hosts connect to. */
    Address peerAddress;
    /** Processor capacity of this host. */
    Millicores processors;
    /** Memory that the process may take; 0 when it isn't limited. */
    Mebibytes memory {};
    /** Distinguishes successive processes on one host. */
    std::uint64_t nonce = 0;
    WorkerTiming timing;
    /** Shortest lease term that the store grants. */
    Milliseconds shortestStoreLease { 1000 };
    /** Largest value that the store takes. */
    std::size_t storeValueBytes = 1'000'000;
    /** By how much a task's run time grows on another rack than its own; nullopt when the site doesn't tell. */
    std::optional<double> farFactor;
};

/**
 * Control logic of one entry host: watches the configuration, takes part in the writer election, and answers callers
 * either as the writer or by forwarding their calls to it.
 *
 * Thread safety: one thread at a time.
 */
class JobNode
{
public:
    /** Precondition: @p context outlives the object. */
    JobNode(JobNodeOptions options, SiteFormats formats, JobContext &context);

    void start();
    /** Handles a call of @p caller, which times out at the caller after @p timeLeft. */
    void handleCall(CallerToken caller, CallerCall call, Milliseconds timeLeft);
    /** Drops the pending calls of a caller that has disconnected. */
    void forgetCaller(CallerToken caller);
    void handlePeer(const HostId &from, const JobMessage &message);
    void handleLinkLost(const HostId &peer);
    /**
     * Flushes the log, hands the shard over to a successor when this host is the writer, and leaves the election.
     * @p then runs once only pending callers remain to be answered.
     */
    void stop(std::function<void()> then);

    /** Null until the first version has been read. */
    [[nodiscard]] std::shared_ptr<const SiteConfiguration> configuration() const;
    /** Sets the handler that runs after each change of the configuration. */
    void onConfiguration(std::function<void()> handler);
    /** Whether this host can serve callers: it has a configuration, reaches the writer, and is not stopping. */
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] bool isWriter() const;
    /** See RunController::trackedWork(); nullopt on a host that isn't the writer. */
    [[nodiscard]] std::optional<std::size_t> trackedWork() const;

private:
    void applyConfiguration(const std::string &text, std::string_view source);
    void registerHost();
    void sendHeartbeats();
    void sendHostHeartbeat();
    void sendWriterHeartbeats();
    void sendWriterHeartbeat(const HostId &host, Millicores largest);
    [[nodiscard]] bool isSettling() const;
    /** Memory for jobs, on whichever host is the writer; nullopt when it isn't limited. */
    [[nodiscard]] JobBudget::Bytes jobBudget() const;
    [[nodiscard]] Millicores largestHostProcessors() const;
    /** Limits on the worker leases that this host grants as the writer. */
    [[nodiscard]] LeaseTerms leaseTerms() const;
    [[nodiscard]] HeartbeatTime heartbeatTime() const;
    [[nodiscard]] std::optional<HeartbeatTime> heardWriterHeartbeat() const;
    /** When this writer sent the last heartbeat that all hosts have heard; nullopt when it hears no host. */
    [[nodiscard]] std::optional<TimePoint> heardByAll() const;
    void handleClaimed(WriterToken token, const InheritedLeases &inherited, TimePoint provenAt);
    void limitInheritedLeases(TimePoint until);
    void handleSuperseded();
    void followWriter(const WriterClaim &claim);
    void listHosts(const std::string &after);
    void handleHostBeat(const HostId &from, const HostHeartbeat &beat);
    void handleWriterBeat(const HostId &from, const WriterHeartbeat &beat);
    bool sendCall(ForwardNumber number, const CallerCall &call, Milliseconds timeLeft);
    /** Hands the shard over if this host reaches hardly any worker and another host can take it. */
    void yieldIfUnsuited();
    /** Hands the shard over if a considerably larger host has been reachable for some time. */
    void yieldToLargerHost();
    /** Flushes the log and runs @p then, at the latest after some time without an answer of the store. */
    void finishWriter(std::function<void()> then);
    /** Gives the shard up for @p successor, or for any host. */
    void handOver(const std::optional<HostId> &successor);
    void destroyWriter();
    void unlinkPeers(const std::optional<HostId> &except);
    [[nodiscard]] bool isWriterReachable() const;

    JobNodeOptions m_options;
    SiteFormats m_formats;
    JobContext &m_context;
    Lifetime m_lifetime;
    StoreLayout m_layout;
    TimePoint m_startedAt;
    std::shared_ptr<const SiteConfiguration> m_configuration;
    /** Encoded configuration as read, sent to hosts that have an older version. */
    std::string m_configurationText;
    TimePoint m_configurationSince {};
    std::function<void()> m_configurationHandler;
    PrefixWatch m_configurationWatch;
    WriterElection m_election;
    std::unique_ptr<JobWriter> m_writer;
    TimePoint m_claimedAt {};
    CallGateway m_gateway;
    /** Known while this host is the writer, and until the next claim. */
    EntryHosts m_hosts;
    /** Last heartbeat from the holder of the current claim. */
    std::optional<TimePoint> m_lastWriterHeartbeatAt;
    /** The last heartbeat of a writer, with its token. */
    std::optional<std::pair<WriterToken, HeartbeatTime>> m_heardWriter;
    std::optional<HostId> m_linkedWriter;
    WriterSuitability m_suitability;
    bool m_isStopping = false;
    bool m_isHandingOver = false;
    /** Last hand-over to a larger host. */
    std::optional<TimePoint> m_handedOverAt;
};

} // namespace currantring
