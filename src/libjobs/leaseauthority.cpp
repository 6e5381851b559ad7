#include "leaseauthority.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** How long after it was sent a worker accepts a start. */
constexpr Milliseconds startWindow { 1500 };

} // namespace

GrantTerm::GrantTerm(TimePoint until)
    : m_until(until)
{
}

TimePoint GrantTerm::until() const
{
    return m_until;
}

LeaseAuthority::LeaseAuthority(LeaseTerms terms, Sources sources)
    : m_terms(terms)
    , m_sources(std::move(sources))
{
}

std::optional<GrantTerm> LeaseAuthority::grantLease() const
{
    return grant(m_terms.lease);
}

std::optional<GrantTerm> LeaseAuthority::grantStart() const
{
    return grant(std::min(startWindow, m_terms.lease));
}

/** The clock is read once: a process that is suspended in between must not name a later time than it has checked. */
std::optional<GrantTerm> LeaseAuthority::grant(Milliseconds duration) const
{
    const TimePoint now = m_sources.now();
    const std::optional<TimePoint> provenAt = m_sources.provenAt();
    if (!provenAt) {
        return std::nullopt;
    }
    const Milliseconds allowed = isSupported(now) ? m_terms.confirmation : m_terms.support->unsupported;
    return now - *provenAt < allowed ? std::optional(GrantTerm(now + duration)) : std::nullopt;
}

bool LeaseAuthority::isSupported() const
{
    return isSupported(m_sources.now());
}

bool LeaseAuthority::isSupported(TimePoint now) const
{
    const std::optional<TimePoint> heardAt = m_sources.heardByAll();
    return !heardAt || !m_terms.support || now - *heardAt < m_terms.support->term;
}

std::optional<Milliseconds> LeaseAuthority::proofAge() const
{
    const std::optional<TimePoint> provenAt = m_sources.provenAt();
    return provenAt ? std::optional(m_sources.now() - *provenAt) : std::nullopt;
}

} // namespace currantring
