#pragma once

#include "inheritedleases.h"

#include <functional>
#include <optional>

namespace currantring {

/**
 * Until when an order to a worker may count.
 *
 * Only a LeaseAuthority creates one, so that each rests on a proof of the claim.
 */
class GrantTerm
{
public:
    /** On the writer's clock. */
    [[nodiscard]] TimePoint until() const;

private:
    friend class LeaseAuthority;
    explicit GrantTerm(TimePoint until);

    TimePoint m_until;
};

/**
 * Decides whether the writer may grant anything to a worker, and until when, from the age of the last proof of its
 * claim.
 *
 * Polls extend leases, and starts begin runs and extend leases, too. A successor that doesn't reach a worker waits for
 * a fixed time only, which LeaseSuccession derives from the same LeaseTerms: whatever the former writer grants has to
 * end by then, however late the writer learns that it was replaced. Thread safety: one thread at a time.
 */
class LeaseAuthority
{
public:
    struct Sources
    {
        std::function<TimePoint()> now;
        /** Latest time at which the claim was in force; nullopt when it is known to be lost. */
        std::function<std::optional<TimePoint>()> provenAt;
        /** When the writer sent the last heartbeat that all hosts have heard; nullopt when it hears no host. */
        std::function<std::optional<TimePoint>()> heardByAll;
    };

    /** @p terms: those of the writer's claim, of which the inherited part is ignored. */
    LeaseAuthority(LeaseTerms terms, Sources sources);

    /** The term of a lease that is granted now; nullopt when the last proof is too old, or the claim is lost. */
    [[nodiscard]] std::optional<GrantTerm> grantLease() const;
    /** The same for a start, which the worker refuses after the end of the term. */
    [[nodiscard]] std::optional<GrantTerm> grantStart() const;
    /** Whether all other hosts hear this writer, so that it may go on for longer without a proof. */
    [[nodiscard]] bool isSupported() const;
    /** Age of the last proof; nullopt when the claim is lost. */
    [[nodiscard]] std::optional<Milliseconds> proofAge() const;

private:
    [[nodiscard]] std::optional<GrantTerm> grant(Milliseconds duration) const;
    [[nodiscard]] bool isSupported(TimePoint now) const;

    LeaseTerms m_terms;
    Sources m_sources;
};

} // namespace currantring
