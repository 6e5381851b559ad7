#include "entryhosts.h"

#include <algorithm>

namespace currantring {

namespace {

/** A host without a heartbeat for this time is considered unreachable. */
constexpr Milliseconds hostTimeout { 1200 };
/** A large configuration takes this long to a host with a slow link. */
constexpr Milliseconds offerInterval { 1500 };
/** A hand-over interrupts the service, so a larger host must have been reachable for this time before it. */
constexpr Milliseconds largerHostSettleTime { 3000 };
/** A host that restarts again and again must not get the shard each time. */
constexpr Milliseconds minLargerHostUptime { 10'000 };
/** A larger host must have at least this percentage of the writer's processors. */
constexpr std::int64_t minLargerHostPercent = 150;
/** A host that the store hasn't answered for this time can't succeed the writer; longer than its watch waits. */
constexpr Milliseconds maxSuccessorStoreAge { 5000 };

} // namespace

bool EntryHosts::add(const HostId &host, const Address &address)
{
    return m_hosts.try_emplace(host, EntryHost { address, {}, {}, {}, {} }).second;
}

bool EntryHosts::recordHeartbeat(const HostId &id, const HostHeartbeat &beat, TimePoint now)
{
    EntryHost &host = m_hosts[id];
    const bool hasMoved = host.address != beat.address;
    if (!isReachable(host, now)) {
        host.reachableSince = now;
    }
    host.address = beat.address;
    host.lastHeartbeatAt = now;
    host.beat = beat;
    return hasMoved;
}

bool EntryHosts::beginOffer(const HostId &id, TimePoint now)
{
    EntryHost &host = m_hosts[id];
    if (host.offeredAt && now - *host.offeredAt < offerInterval) {
        return false;
    }
    host.offeredAt = now;
    return true;
}

bool EntryHosts::hasHeartbeat(const HostId &host) const
{
    const auto known = m_hosts.find(host);
    return known != m_hosts.end() && known->second.lastHeartbeatAt;
}

std::vector<HostId> EntryHosts::removeSilent(TimePoint now)
{
    std::vector<HostId> removed;
    std::erase_if(m_hosts, [&removed, now](const auto &entry) {
        const std::optional<TimePoint> &heartbeatAt = entry.second.lastHeartbeatAt;
        const bool isSilent = heartbeatAt && now - *heartbeatAt > removalDelay;
        if (isSilent) {
            removed.push_back(entry.first);
        }
        return isSilent;
    });
    return removed;
}

std::vector<HostId> EntryHosts::removeAll()
{
    std::vector<HostId> removed = hosts();
    m_hosts.clear();
    return removed;
}

std::vector<HostId> EntryHosts::hosts() const
{
    std::vector<HostId> ids;
    ids.reserve(m_hosts.size());
    for (const auto &[id, host] : m_hosts) {
        ids.push_back(id);
    }
    return ids;
}

std::optional<HeardHeartbeat> EntryHosts::heardFrom(const HostId &id, TimePoint now) const
{
    const auto known = m_hosts.find(id);
    if (known == m_hosts.end() || !isReachable(known->second, now)) {
        return std::nullopt;
    }
    return HeardHeartbeat { known->second.beat.nonce, known->second.beat.sentAt };
}

std::optional<HeartbeatTime> EntryHosts::heardByAll(WriterToken token) const
{
    std::optional<HeartbeatTime> earliest;
    for (const auto &[id, host] : m_hosts) {
        if (host.lastHeartbeatAt) {
            const HeartbeatTime heard =
                host.beat.writer == token ? host.beat.heard.value_or(HeartbeatTime(0)) : HeartbeatTime(0);
            earliest = std::min(earliest.value_or(heard), heard);
        }
    }
    return earliest;
}

bool EntryHosts::isReachable(const EntryHost &host, TimePoint now)
{
    return host.lastHeartbeatAt && now - *host.lastHeartbeatAt < hostTimeout;
}

bool EntryHosts::canSucceed(const EntryHost &host, TimePoint now)
{
    return isReachable(host, now) && !host.beat.isLeaving && host.beat.storeAge < maxSuccessorStoreAge;
}

bool EntryHosts::reachesMost(TimePoint now) const
{
    std::size_t reachable = 0;
    std::size_t known = 0;
    for (const auto &[id, host] : m_hosts) {
        // Host entries aren't tied to a lease: one that never sent a heartbeat may belong to a removed host.
        known += host.lastHeartbeatAt ? 1 : 0;
        reachable += isReachable(host, now) ? 1 : 0;
    }
    return known == 0 ? m_hosts.empty() : reachable * 2 >= known;
}

Millicores EntryHosts::largestProcessors(TimePoint now) const
{
    Millicores most;
    for (const auto &[id, host] : m_hosts) {
        if (isReachable(host, now) && !host.beat.isLeaving) {
            most = std::max(most, host.beat.processors);
        }
    }
    return most;
}

std::optional<Mebibytes> EntryHosts::leastMemory() const
{
    std::optional<Mebibytes> least;
    for (const auto &[id, host] : m_hosts) {
        if (host.beat.memory.value() > 0) {
            least = std::min(least.value_or(host.beat.memory), host.beat.memory);
        }
    }
    return least;
}

std::optional<HostId> EntryHosts::successor(TimePoint now) const
{
    // Prefers the shortest uptime: in a rolling restart the host that was restarted last stays up longest.
    const auto isBetter = [](const EntryHost &left, const EntryHost &right) {
        return std::pair(right.beat.processors, left.beat.uptime) < std::pair(left.beat.processors, right.beat.uptime);
    };
    std::optional<HostId> best;
    for (const auto &[id, host] : m_hosts) {
        if (canSucceed(host, now) && (!best || isBetter(host, m_hosts.at(*best)))) {
            best = id;
        }
    }
    return best;
}

std::optional<HostId> EntryHosts::largerSuccessor(Millicores processors, TimePoint now) const
{
    const std::optional<HostId> best = successor(now);
    if (!best) {
        return std::nullopt;
    }
    const EntryHost &host = m_hosts.at(*best);
    const bool isLarger = host.beat.processors.value() * 100 >= processors.value() * minLargerHostPercent;
    const bool isSettled = now - host.reachableSince >= largerHostSettleTime && host.beat.uptime >= minLargerHostUptime;
    return isLarger && isSettled ? best : std::nullopt;
}

} // namespace currantring
