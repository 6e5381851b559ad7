#pragma once

#include "jobcontext.h"
#include "lifetime.h"
#include "storelayout.h"

#include <functional>
#include <optional>
#include <string_view>

namespace currantring {

/**
 * Keeps the writer's liveness entry in the store, under a lease that ends with the writer.
 *
 * The entry tells other hosts when to attempt a claim; it doesn't decide who is the writer. Thread safety: one thread
 * at a time.
 */
class WriterLiveness
{
public:
    /** Values of the entry. */
    static constexpr std::string_view alive = "alive";
    static constexpr std::string_view yielding = "yielding";

    /**
     * @p onConflict receives the entries that a write met when the claim had changed. Precondition: @p context outlives
     * the object.
     */
    WriterLiveness(StoreLayout layout, Milliseconds leaseTerm, JobContext &context,
                   std::function<void(const KvEntry &entry)> onConflict);

    /** Takes over the lease under which a claim is being written. */
    void setLease(LeaseId lease);
    /** Begins to renew the lease, as the claim with @p token is in force. */
    void start(WriterToken token);
    /** Stops renewing, without ending the lease. */
    void stop();
    /** Stops renewing, and ends the lease so that other hosts can claim at once. */
    void end();
    /** The entry has been deleted; writes it again under a new lease. */
    void restore();
    /** While yielding, the entry says that hosts without heartbeats of the writer may claim. */
    void setYielding(bool isYielding);

private:
    void keepAlive();
    void grant();
    void write();

    StoreLayout m_layout;
    Milliseconds m_leaseTerm;
    JobContext &m_context;
    std::function<void(const KvEntry &)> m_onConflict;
    Lifetime m_lifetime;
    /** Nullopt while stopped. */
    std::optional<WriterToken> m_token;
    std::optional<LeaseId> m_lease;
    bool m_isYielding = false;
};

} // namespace currantring
