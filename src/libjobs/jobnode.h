#pragma once

#include "callgateway.h"
#include "jobwriter.h"
#include "siteformats.h"
#include "writerelection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace currantring {

/** What one host is told at its start. */
struct JobNodeOptions
{
    HostId self;
    /** Where peers connect. */
    Address peerAddress;
    Millicores processors;
    std::uint64_t nonce = 0;
    WorkerTiming timing;
    /** Shortest lease that the store grants. */
    Milliseconds shortestStoreLease { 1000 };
};

/**
 * All decisions of one entry host: follows the configuration, knows or is the writer, and answers callers.
 *
 * Thread safety: one thread at a time.
 */
class JobNode
{
public:
    /** Precondition: @p context outlives the object. */
    JobNode(JobNodeOptions options, SiteFormats formats, JobContext &context);

    void start();
    /** Acts on the call of @p caller, who gives up after @p timeLeft. */
    void handleCall(CallerToken caller, CallerCall call, Milliseconds timeLeft);
    /** The caller is gone; its answer is of no use any more. */
    void forgetCaller(CallerToken caller);
    void handlePeer(const HostId &from, const JobMessage &message);
    void handleLinkLost(const HostId &peer);
    /** Hands over what this host writes; @p then runs when nothing is left to do but answer callers. */
    void stop(std::function<void()> then);

    /** Null until the first version is known. */
    [[nodiscard]] std::shared_ptr<const SiteConfiguration> configuration() const;
    /** Runs after each change of the configuration. */
    void onConfiguration(std::function<void()> handler);
    /** Whether callers should be sent to this host. */
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] bool isWriter() const;

private:
    struct Peer
    {
        Address address;
        std::optional<TimePoint> lastBeat;
        HostBeat beat;
    };

    void takeConfiguration(const std::string &text, std::string_view source);
    void registerHost();
    void beat();
    void beatAsWriter();
    void claimed(WriterToken token);
    void deposed();
    void followWriter(const WriterClaim &claim);
    void findHosts(const std::string &after);
    void takeHostBeat(const HostId &from, const HostBeat &beat);
    void takeWriterBeat(const HostId &from, const WriterBeat &beat);
    bool sendCall(ForwardNumber number, const CallerCall &call, Milliseconds timeLeft);
    void handOver(const std::function<void()> &then);
    [[nodiscard]] std::optional<HostId> chooseSuccessor() const;
    /** Processors of the largest other host that is heard and stays. */
    [[nodiscard]] Millicores mostProcessors() const;
    [[nodiscard]] bool hearsWriter() const;
    [[nodiscard]] bool hearsMostHosts() const;

    JobNodeOptions m_options;
    SiteFormats m_formats;
    JobContext &m_context;
    Lifetime m_lifetime;
    StoreLayout m_layout;
    TimePoint m_startedAt;
    std::shared_ptr<const SiteConfiguration> m_configuration;
    /** The configuration as the store holds it, for hosts that lack it. */
    std::string m_configurationText;
    std::function<void()> m_configurationHandler;
    PrefixWatch m_configurationWatch;
    WriterElection m_election;
    std::unique_ptr<JobWriter> m_writer;
    TimePoint m_claimedAt {};
    CallGateway m_gateway;
    std::map<HostId, Peer> m_peers;
    /** When the writer was last heard; holds for the claim that is known. */
    std::optional<TimePoint> m_lastWriterBeat;
    std::optional<HostId> m_linkedWriter;
    bool m_isStopping = false;
};

} // namespace currantring
