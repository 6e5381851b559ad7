#pragma once

#include "backoff.h"
#include "context.h"

#include <functional>
#include <string>

namespace currantring {

/** Keys of the registered hosts start with it; the host's id follows. */
inline constexpr std::string_view hostKeyPrefix = "hosts/";

/**
 * Keeps this host's entry in the key-value service under a lease, so that others find it.
 *
 * A lapsed lease gives a fresh one with a fresh entry. Thread safety: one thread at a time, the Context's.
 */
class HostRegistration
{
public:
    /** Told after each call whether the store answered. */
    using ReachHandler = std::function<void(bool reached)>;

    /** Precondition: @p context outlives the object, and the object outlives the calls that the driver completes. */
    HostRegistration(const HostId &self, Context &context, ReachHandler onReach);

    /** Term of the leases granted from now on. Precondition: @p term is at least 3 ms. */
    void setTerm(Milliseconds term);
    /** Registers with @p value and renews from then on. */
    void start(std::string value);
    /** Removes the entry and renews no more; a write in flight is removed when it completes. */
    void withdraw();

private:
    void grant();
    void put();
    void renew();
    void handleError(StoreError error, void (HostRegistration::*again)());
    void later(Milliseconds delay, void (HostRegistration::*step)());
    void remove();

    Context &m_context;
    ReachHandler m_onReach;
    std::string m_key;
    std::string m_value;
    Milliseconds m_term;
    Backoff m_backoff;
    LeaseId m_lease;
    TimerId m_timer;
    bool m_withdrawn = false;
};

} // namespace currantring
