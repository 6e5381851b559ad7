#pragma once

#include "ids.h"
#include "units.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace currantring {

/**
 * Says which host answers for a non-idempotent request, and since when.
 *
 * The home of (owner, request id) is found by rendezvous hashing over the hosts that serve the service, so that a
 * caller's repeat through any entry host meets the record of the first copy. When the hosts change, the record isn't
 * passed on; so a host may run a request only if it was the request's home for as long as repeats are awaited.
 * Thread safety: one thread at a time.
 */
class RequestHomes
{
public:
    explicit RequestHomes(HostId self);

    /**
     * Takes in the hosts that serve @p service as seen at @p now. @p provenFresh: nobody can have served it before.
     */
    void setHosts(TimePoint now, Milliseconds window, const ServiceName &service, std::vector<HostId> hosts,
                  bool provenFresh);
    /** This process may have been paused: what was known before @p now counts no more. */
    void forgetHistory(TimePoint now);
    /** Another host held an endpoint for @p services before: what was taken for fresh counts from its first view. */
    void distrustFresh(const std::vector<ServiceName> &services);
    /** The home as seen now; nullopt when no host serves the service. */
    [[nodiscard]] std::optional<HostId> home(const ServiceName &service, const OwnerId &owner,
                                             const RequestId &request) const;
    /** Whether this host was the home in every view of the last @p window. */
    [[nodiscard]] bool wasHomeThroughout(TimePoint now, Milliseconds window, const ServiceName &service,
                                         const OwnerId &owner, const RequestId &request) const;

private:
    struct View
    {
        TimePoint since;
        std::vector<HostId> hosts;
    };
    struct History
    {
        /** Before this moment nothing is known. */
        TimePoint knownSince;
        TimePoint firstView;
        std::deque<View> views;
    };

    HostId m_self;
    std::map<ServiceName, History> m_histories;
};

/** Host with the highest rendezvous hash for (owner, request); nullopt for no hosts. Thread safety: reentrant. */
std::optional<HostId> rendezvousHost(const std::vector<HostId> &hosts, const OwnerId &owner, const RequestId &request);

} // namespace currantring
