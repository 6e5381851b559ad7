#include "leasesuccession.h"

#include "entryhosts.h"
#include "workerlease.h"

#include <algorithm>
#include <utility>

namespace currantring {

LeaseSuccession::LeaseSuccession(HostId self, std::uint64_t nonce, LeaseTerms own, Milliseconds longestLease,
                                 TimePoint startedAt)
    : m_self(std::move(self))
    , m_nonce(nonce)
    , m_own(own)
    , m_longestLease(longestLease)
    , m_startedAt(startedAt)
{
}

void LeaseSuccession::noteClaim(const WriterClaim &claim, TimePoint now)
{
    m_former = Former { claim, now };
}

void LeaseSuccession::noteHeartbeat(WriterToken token, std::optional<TimePoint> heardAt, TimePoint now)
{
    if (!m_contact || m_contact->token != token) {
        m_contact = Contact { token, now, heardAt };
        return;
    }
    m_contact->heartbeatAt = now;
    m_contact->heardAt = std::max(m_contact->heardAt, heardAt);
}

/**
 * A writer that has removed this host goes on without being heard by it. It does so for the confirmation term after a
 * proof that may be as late as the claim of this host, so that claim must precede the removal by that term.
 */
bool LeaseSuccession::wasHeardBy(WriterToken token, TimePoint now) const
{
    const Milliseconds heardTerm = EntryHosts::removalDelay - m_own.confirmation;
    return m_contact && m_contact->token == token && m_contact->heardAt && now - *m_contact->heardAt < heardTerm;
}

void LeaseSuccession::noteSettled(WriterToken token)
{
    m_settled = token;
}

void LeaseSuccession::noteHandOver(WriterToken token, RemainingLeases leases, TimePoint now)
{
    m_handOver = HandOver { token, std::move(leases), now };
}

LeaseTerms LeaseSuccession::termsFor(StoreRevision replaced, TimePoint now) const
{
    return { m_own.lease, m_own.confirmation, inheritedTerm(replaced, now), m_own.support };
}

/** Longest time that a lease with these terms may be valid after it was granted. */
Milliseconds LeaseSuccession::longestOf(const LeaseTerms &terms) const
{
    return WorkerLease::validityOf(std::min(terms.lease, m_longestLease));
}

bool LeaseSuccession::isHandedOver(StoreRevision replaced) const
{
    return m_handOver && m_handOver->token.value() == replaced.value();
}

Milliseconds LeaseSuccession::inheritedTerm(StoreRevision replaced, TimePoint now) const
{
    Milliseconds term = m_own.confirmation + WorkerLease::validityOf(m_longestLease);
    if (replaced.value() == 0) {
        term = Milliseconds(0);
    } else if (isHandedOver(replaced)) {
        term = m_handOver->leases.longest() - (now - m_handOver->at);
    } else if (m_former && m_former->claim.token.value() == replaced.value() && m_former->claim.leases) {
        const LeaseTerms &terms = *m_former->claim.leases;
        const bool isEnded = m_former->claim.host == m_self && m_former->claim.nonce != m_nonce;
        const Milliseconds granted =
            isEnded ? longestOf(terms) - (now - m_startedAt) : extensionTerm(terms, now) + longestOf(terms);
        term = std::max(granted, earlierTerm(terms, now));
    }
    return std::max(term, Milliseconds(0));
}

Milliseconds LeaseSuccession::extensionTerm(const LeaseTerms &terms, TimePoint now) const
{
    if (!terms.support || !wasHeardBy(m_former->claim.token, now)) {
        return terms.confirmation;
    }
    const Milliseconds supported = m_contact->heartbeatAt + terms.support->term - now;
    return std::min(std::max(terms.support->unsupported, supported), terms.confirmation);
}

Milliseconds LeaseSuccession::earlierTerm(const LeaseTerms &terms, TimePoint now) const
{
    if (m_settled == m_former->claim.token) {
        return Milliseconds(0);
    }
    return std::max(terms.inherited - (now - m_former->seenAt), Milliseconds(0));
}

InheritedLeases LeaseSuccession::inheritedBy(const WriterClaim &own, TimePoint now) const
{
    InheritedLeases leases;
    if (isHandedOver(own.replaced)) {
        leases.elsewhere = m_handOver->at + m_handOver->leases.elsewhere;
        for (const RemainingLeases::OnWorker &lease : m_handOver->leases.listed) {
            leases.listed[lease.worker] = m_handOver->at + lease.remaining;
        }
        return leases;
    }
    leases.elsewhere = now + (own.leases ? own.leases->inherited : inheritedTerm(own.replaced, now));
    return leases;
}

std::optional<TimePoint> LeaseSuccession::limitByProcess(const WriterClaim &own, const HostId &host,
                                                         std::uint64_t nonce, TimePoint startedAt, TimePoint now) const
{
    if (!m_former || m_former->claim.token.value() != own.replaced.value() || !m_former->claim.leases
        || m_former->claim.host != host || m_former->claim.nonce == nonce) {
        return std::nullopt;
    }
    const LeaseTerms &terms = *m_former->claim.leases;
    return std::max(startedAt + longestOf(terms), now + earlierTerm(terms, now));
}

} // namespace currantring
