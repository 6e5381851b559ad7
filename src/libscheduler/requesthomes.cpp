#include "requesthomes.h"

#include <algorithm>

namespace currantring {

std::optional<HostId> rendezvousHost(const std::vector<HostId> &hosts, const OwnerId &owner, const RequestId &request)
{
    const std::string key = owner.value() + '\0' + request.value() + '\0';
    std::optional<HostId> best;
    std::uint64_t bestHash = 0;
    for (const HostId &host : hosts) {
        const std::uint64_t hash = stableHash(key + host.value());
        if (!best || hash > bestHash || (hash == bestHash && host < *best)) {
            best = host;
            bestHash = hash;
        }
    }
    return best;
}

RequestHomes::RequestHomes(HostId self)
    : m_self(std::move(self))
{
}

void RequestHomes::setHosts(TimePoint now, Milliseconds window, const ServiceName &service, std::vector<HostId> hosts,
                            bool provenFresh)
{
    std::sort(hosts.begin(), hosts.end());
    auto [found, isNew] = m_histories.try_emplace(service);
    History &history = found->second;
    if (isNew) {
        history.firstView = now;
        history.knownSince = provenFresh ? TimePoint::min() : now;
    }
    if (history.views.empty() || history.views.back().hosts != hosts) {
        history.views.push_back(View { now, std::move(hosts) });
    }
    // A view is needed while it was in force at some moment of the window.
    while (history.views.size() > 1 && history.views[1].since + window < now) {
        history.views.pop_front();
    }
}

void RequestHomes::forgetHistory(TimePoint now)
{
    for (auto &[service, history] : m_histories) {
        history.knownSince = now;
    }
}

void RequestHomes::distrustFresh(const std::vector<ServiceName> &services)
{
    for (const ServiceName &service : services) {
        const auto found = m_histories.find(service);
        if (found != m_histories.end() && found->second.knownSince == TimePoint::min()) {
            found->second.knownSince = found->second.firstView;
        }
    }
}

std::optional<HostId> RequestHomes::home(const ServiceName &service, const OwnerId &owner,
                                         const RequestId &request) const
{
    const auto found = m_histories.find(service);
    if (found == m_histories.end()) {
        return std::nullopt;
    }
    return rendezvousHost(found->second.views.back().hosts, owner, request);
}

bool RequestHomes::wasHomeThroughout(TimePoint now, Milliseconds window, const ServiceName &service,
                                     const OwnerId &owner, const RequestId &request) const
{
    const auto found = m_histories.find(service);
    if (found == m_histories.end()) {
        return false;
    }
    const History &history = found->second;
    if (history.knownSince != TimePoint::min() && history.knownSince + window > now) {
        return false;
    }
    const auto isSelf = [&](const std::vector<HostId> &hosts) {
        return rendezvousHost(hosts, owner, request) == m_self;
    };
    for (std::size_t index = 0; index < history.views.size(); ++index) {
        const bool endedBefore = index + 1 < history.views.size() && history.views[index + 1].since + window < now;
        if (!endedBefore && !isSelf(history.views[index].hosts)) {
            return false;
        }
    }
    return true;
}

} // namespace currantring
