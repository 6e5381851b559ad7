#pragma once

#include "callerrequest.h"
#include "units.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace currantring {

/** Times that follow from the settings. */
struct RepeatBounds
{
    /** Time in which repeats are awaited, and the view error beyond it. */
    Milliseconds window {};
    /** Time in which a change of hosts reaches every host's view: peer silence and clock error. */
    Milliseconds viewError {};
};

/** One request as far as its home depends on it. */
struct HomeKey
{
    ServiceName service;
    OwnerId owner;
    RequestId request;
};

/**
 * Says which host answers for a non-idempotent request, and since when.
 *
 * The home of (owner, request id) is found by rendezvous hashing over the hosts that serve the service, so that a
 * caller's repeat through any entry host meets the record of the first copy. Records aren't passed on when the hosts
 * change. So a new home, in its first window, passes each request on to the former home, and remembers what comes of
 * it; from the end of its window on it knows every copy that may still be repeated, and serves by itself.
 *
 * The rule: a host may run a copy if it was the home in its view at the beginning of the window, and every other home
 * in its views since then is a host through which this copy came. Why no two hosts run copies of one request within
 * the time of repeats: let A run one and B a later one. B was the home a window ago, which is longer than the time of
 * repeats by the view error. So either B is a home in A's views since the beginning of A's window; then A's copy came
 * through B, which remembers it and doesn't run another. Or A became the home after B; then A is a home in B's views
 * since the beginning of B's window, so that B's copy came through A, which remembers its own. Both hold as long as
 * every change of hosts reaches every view within the view error.
 *
 * A host that was restarted under its name has no record; homeFor tells it from the one that the asked host saw
 * become the home. A paused host is no home until it has seen a whole window (forgetHistory()). See
 * docs/design/request-homes.md. Thread safety: one thread at a time.
 */
class RequestHomes
{
public:
    /** Hosts through which a copy may come; a longer chain of changes in one window isn't followed. */
    static constexpr std::size_t longestChain = 3;

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
    /** Nobody ran a request before @p start: the views that ended by then count no more. */
    void startFrom(TimePoint start);
    /** Digest of the hosts that serve each service as seen now; 0 when no service has a host. */
    [[nodiscard]] std::uint64_t viewDigest() const;
    /** When a host was last seen to begin or end serving a service. */
    [[nodiscard]] TimePoint lastChange() const;
    /** The home as seen now; nullopt when no host serves the service. */
    [[nodiscard]] std::optional<HostId> home(const HomeKey &key) const;
    /** Whether this host may run a copy that came with @p ask, by the rule above. */
    [[nodiscard]] bool mayRun(TimePoint now, const RepeatBounds &bounds, const HomeKey &key,
                              const FormerHomeAsk &ask) const;
    /**
     * The home before this host, and how to ask it for a copy that came here with @p ask. Nullopt when this host
     * isn't the home next to the asking ones, knows no home before it, or the chain is too long.
     */
    [[nodiscard]] std::optional<std::pair<HostId, FormerHomeAsk>> formerHome(TimePoint now, const HomeKey &key,
                                                                             const FormerHomeAsk &ask) const;

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
