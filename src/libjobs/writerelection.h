#pragma once

#include "jobcontext.h"
#include "jobmessage.h"
#include "leasesuccession.h"
#include "lifetime.h"
#include "prefixwatch.h"
#include "storelayout.h"
#include "writerliveness.h"

#include <functional>
#include <optional>
#include <string>

namespace currantring {

/**
 * Decides whether this host should write a shard, and claims it by compare-and-swap.
 *
 * Only the claim decides which host is the writer. The leased liveness entry next to it and the writer's heartbeats
 * merely tell other hosts when to attempt a claim. Thread safety: one thread at a time.
 */
class WriterElection
{
public:
    struct Options
    {
        HostId self;
        Address address;
        std::uint64_t nonce = 0;
        /** Processor capacity of this host; hosts with more capacity attempt a claim earlier. */
        Millicores processors;
        /** Limits on the leases of workers that this host grants as the writer; the inherited part is ignored. */
        LeaseTerms workerLeases;
        /** Limit that workers apply to all leases. */
        Milliseconds longestWorkerLease {};
        /** Term of the lease on the writer's liveness entry. */
        Milliseconds leaseTerm { 1000 };
    };
    struct Handlers
    {
        /**
         * This host is now the writer of the shard, with the fencing token @p token. Its claim is known to have been in
         * force at @p provenAt; the answer that told so may be much later.
         */
        std::function<void(WriterToken token, const InheritedLeases &inherited, TimePoint provenAt)> onClaimed;
        /** Leases that this host inherited as the writer are over at @p until. */
        std::function<void(TimePoint until)> onInheritedLimit;
        /** Another host has claimed the shard that this host was the writer of. */
        std::function<void()> onSuperseded;
        /** The claim has changed; also runs for claims of this host. */
        std::function<void(const WriterClaim &claim)> onWriter;
    };

    /** Precondition: @p context outlives the object. */
    WriterElection(StoreLayout layout, Options options, JobContext &context, Handlers handlers);

    void start();
    /** Records a heartbeat of the writer with @p token; probes the store when that writer reports itself as stuck. */
    void recordHeartbeat(WriterToken token, bool isStuck);
    /**
     * Records that the writer with @p token is heard; @p heardAt: when this process sent the heartbeat that the writer
     * names as heard.
     */
    void recordContact(WriterToken token, std::optional<TimePoint> heardAt);
    /** Whether this process has tried to replace the writer with @p token; that may still take effect. */
    [[nodiscard]] bool mayReplace(WriterToken token) const;
    /** Sets the processor capacity of the largest host that may succeed the writer. */
    void setLargestHostProcessors(Millicores processors);
    [[nodiscard]] std::optional<Millicores> largestHostProcessors() const;
    /** Attempts a claim on request of a writer that hands the shard over. */
    void acceptHandOver(const HandOver &handOver);
    /** Records that a process of @p host that runs for @p uptime follows the writer with the token @p writer. */
    void recordProcess(const HostId &host, std::uint64_t nonce, WriterToken writer, Milliseconds uptime);
    /** Gives the shard up as its writer, and ends the lease so that other hosts can claim the shard at once. */
    void resign();
    /** Resigns and attempts no further claims. */
    void retire();
    /** While yielding, the writer lets hosts that receive no heartbeats from it claim the shard. */
    void setYielding(bool isYielding);

    /** While reluctant, this host claims the shard only if no other host does. */
    void setReluctant(bool isReluctant);

    [[nodiscard]] bool isWriter() const;
    /** The last known claim; nullopt before the first one. */
    [[nodiscard]] const std::optional<WriterClaim> &claim() const;
    /** Time of the store's last answer; nullopt before the first one. */
    [[nodiscard]] std::optional<TimePoint> lastStoreAnswer() const;

private:
    void applyEntry(const KvEntry &entry);
    void applyClaim(const KvEntry &entry);
    void applyOwnClaim();
    [[nodiscard]] TimePoint claimedSince() const;
    void scheduleSettled(WriterToken token, Milliseconds delay);
    void checkWriter();
    [[nodiscard]] Milliseconds claimDelay() const;
    [[nodiscard]] std::string_view reasonToClaim() const;
    [[nodiscard]] bool hasRecentHeartbeat() const;
    void tryClaim(std::string_view reason);
    void writeClaim(LeaseId lease, StoreRevision replaced);
    void handleClaim(const KvResult &result, const std::string &claim);
    void readClaim();
    void probe();

    StoreLayout m_layout;
    Options m_options;
    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    PrefixWatch m_watch;
    WriterLiveness m_liveness;
    std::optional<WriterClaim> m_claim;
    LeaseSuccession m_leases;
    StoreRevision m_claimRevision;
    /** Value of the writer's liveness entry; nullopt when the entry is absent. */
    std::optional<std::string> m_alive;
    std::optional<TimePoint> m_lastHeartbeatAt;
    /** Since when this host's reads of the store succeed while the writer reports itself as stuck. */
    std::optional<TimePoint> m_readableSince;
    /** Fencing token of this host while it is the writer. */
    std::optional<WriterToken> m_token;
    /** The claim that this process has last tried to replace, and when it first did. */
    StoreRevision m_triedToReplace;
    TimePoint m_firstTriedAt {};
    bool m_isClaiming = false;
    bool m_isProbing = false;
    bool m_isRetired = false;
    bool m_isReluctant = false;
    /** Random part of the delay before a claim, which keeps hosts from claiming simultaneously. */
    Milliseconds m_claimJitter {};
    /** Nullopt until a writer's heartbeat has reported it. */
    std::optional<Millicores> m_largestHostProcessors;
    /** Since when there has been a reason to claim. */
    std::optional<TimePoint> m_reasonSince;
};

} // namespace currantring
