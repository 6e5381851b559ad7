#pragma once

#include "jobcontext.h"
#include "lifetime.h"
#include "prefixwatch.h"
#include "storelayout.h"

#include <functional>
#include <optional>
#include <string>

namespace currantring {

/** A host that writes a shard, as its claim in the store says. */
struct WriterClaim
{
    /** Revision of the claim. */
    WriterToken token;
    HostId host;
    Address address;
    /** Tells the processes of one host apart. */
    std::uint64_t nonce = 0;
};

/**
 * Decides whether this host should write a shard, and claims it by compare-and-swap.
 *
 * The claim alone decides who writes; the lease of the entry beside it, and the writer's beats, only tell others when
 * it is time to try. Thread safety: one thread at a time.
 */
class WriterElection
{
public:
    struct Options
    {
        HostId self;
        Address address;
        std::uint64_t nonce = 0;
        /** Part of a processor that this host has; hosts with more try first. */
        Millicores processors;
        /** Of the lease that shows that the writer lives. */
        Milliseconds leaseTerm { 1000 };
    };
    struct Handlers
    {
        /** This host writes the shard under @p token. */
        std::function<void(WriterToken token)> onClaimed;
        /** Another host has the shard that this one wrote. */
        std::function<void()> onDeposed;
        /** The claim has changed; this host's own claims are told too. */
        std::function<void(const WriterClaim &claim)> onWriter;
    };

    /** Precondition: @p context outlives the object. */
    WriterElection(StoreLayout layout, Options options, JobContext &context, Handlers handlers);

    void start();
    /** A sign of life of the writer with @p token came in. */
    void noteBeat(WriterToken token, bool isStuck);
    /** The largest host that may succeed the writer has so many processors. */
    void noteMostProcessors(Millicores processors);
    /** The writer with @p token asks this host to go on in its place. */
    void takeOver(WriterToken token);
    /** Doesn't try any more; when it writes, lets the others know. */
    void retire();
    /** While the writer reaches few hosts, those that don't hear it may take the shard. */
    void setYielding(bool isYielding);

    [[nodiscard]] bool isWriter() const;
    /** The known writer; nullopt before the first one. */
    [[nodiscard]] const std::optional<WriterClaim> &claim() const;
    /** When the store last answered; nullopt when it never has. */
    [[nodiscard]] std::optional<TimePoint> lastStoreAnswer() const;

private:
    void take(const KvEntry &entry);
    void takeClaim(const KvEntry &entry);
    void watchOver();
    [[nodiscard]] Milliseconds claimDelay() const;
    [[nodiscard]] std::string_view reasonToClaim() const;
    void tryClaim(std::string_view reason);
    void writeClaim(LeaseId lease);
    void handleClaim(const KvResult &result);
    void readClaim();
    void probe(WriterToken token);
    void keepAlive();
    void writeAlive();
    void grantAlive();

    StoreLayout m_layout;
    Options m_options;
    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    PrefixWatch m_watch;
    std::optional<WriterClaim> m_claim;
    StoreRevision m_claimRevision;
    std::optional<std::string> m_alive;
    /** When the writer's lease was found to be gone; counts only while m_alive is empty. */
    TimePoint m_aliveGoneAt {};
    std::optional<TimePoint> m_lastBeat;
    /** Since when this host reaches the store while the writer seems not to. */
    std::optional<TimePoint> m_readableSince;
    std::optional<WriterToken> m_token;
    std::optional<LeaseId> m_lease;
    bool m_isClaiming = false;
    bool m_isProbing = false;
    bool m_isRetired = false;
    bool m_isYielding = false;
    /** Own share of the delay before a claim, so that hosts don't all try at once. */
    Milliseconds m_claimSpread {};
    /** Nullopt until a writer has told. */
    std::optional<Millicores> m_mostProcessors;
    std::optional<TimePoint> m_reasonSince;
};

} // namespace currantring
