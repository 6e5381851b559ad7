#pragma once

#include "writerclaim.h"

#include <optional>

namespace currantring {

/**
 * Determines how long leases of earlier writers may be valid when this host replaces the writer.
 *
 * Without evidence the former writer may extend leases until it notices that its claim isn't confirmed any more. That
 * it doesn't is shown by its own word when it hands the shard over, or by a later process on its host. That it stops
 * soon follows from its silence, if it knew of this host, as it goes on without the store only while all hosts that it
 * knows hear it. Thread safety: one thread at a time.
 */
class LeaseSuccession
{
public:
    /**
     * @p own: the terms of this host's leases, of which the inherited part is ignored. @p longestLease: limit that
     * workers apply to all leases. @p startedAt: when this process started.
     */
    LeaseSuccession(HostId self, std::uint64_t nonce, LeaseTerms own, Milliseconds longestLease, TimePoint startedAt);

    /** Notes a claim of another process, seen first at @p now. */
    void noteClaim(const WriterClaim &claim, TimePoint now);
    /**
     * Notes a heartbeat of the writer with @p token, received at @p now. @p heardAt: when this process sent the
     * heartbeat that the writer says it has heard; nullopt when it names none.
     */
    void noteHeartbeat(WriterToken token, std::optional<TimePoint> heardAt, TimePoint now);
    /** Whether the writer with @p token knew lately that this process hears it. */
    [[nodiscard]] bool wasHeardBy(WriterToken token, TimePoint now) const;
    /** Notes that the writer with @p token reports that no lease of an earlier writer is valid any more. */
    void noteSettled(WriterToken token);
    /** Notes what the writer with @p token reports as it stops to extend leases; received at @p now. */
    void noteHandOver(WriterToken token, RemainingLeases leases, TimePoint now);
    /** The terms for a claim that is written at @p now and replaces @p replaced. */
    [[nodiscard]] LeaseTerms termsFor(StoreRevision replaced, TimePoint now) const;
    /** The leases inherited with this host's claim @p own, known to be in force at @p now. */
    [[nodiscard]] InheritedLeases inheritedBy(const WriterClaim &own, TimePoint now) const;
    /**
     * Until when inherited leases may be valid, given that a process of @p host with @p nonce, started by @p startedAt,
     * followed the claim @p own; nullopt when that tells nothing about the former writer.
     */
    [[nodiscard]] std::optional<TimePoint> limitByProcess(const WriterClaim &own, const HostId &host,
                                                          std::uint64_t nonce, TimePoint startedAt,
                                                          TimePoint now) const;

private:
    struct Former
    {
        WriterClaim claim;
        TimePoint seenAt {};
    };
    struct HandOver
    {
        WriterToken token;
        RemainingLeases leases;
        TimePoint at {};
    };

    /** The last contact with a writer. */
    struct Contact
    {
        WriterToken token;
        TimePoint heartbeatAt {};
        /** When this process sent the last heartbeat that the writer has heard. */
        std::optional<TimePoint> heardAt;
    };

    [[nodiscard]] Milliseconds inheritedTerm(StoreRevision replaced, TimePoint now) const;
    [[nodiscard]] Milliseconds longestOf(const LeaseTerms &terms) const;
    /** How long after a claim made at @p now the former writer may extend leases. */
    [[nodiscard]] Milliseconds extensionTerm(const LeaseTerms &terms, TimePoint now) const;
    /** How long after @p now leases of writers before the former one may be valid. */
    [[nodiscard]] Milliseconds earlierTerm(const LeaseTerms &terms, TimePoint now) const;
    [[nodiscard]] bool isHandedOver(StoreRevision replaced) const;

    HostId m_self;
    std::uint64_t m_nonce;
    LeaseTerms m_own;
    Milliseconds m_longestLease;
    TimePoint m_startedAt;
    /** The last claim of another process. */
    std::optional<Former> m_former;
    std::optional<Contact> m_contact;
    std::optional<HandOver> m_handOver;
    WriterToken m_settled;
};

} // namespace currantring
