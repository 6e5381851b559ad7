#include "requesthomes.h"

#include <algorithm>

namespace currantring {

namespace {

bool isNamed(const FormerHomeAsk &ask, const HostId &host)
{
    return std::find(ask.askedBy.begin(), ask.askedBy.end(), host) != ask.askedBy.end();
}

} // namespace

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

void RequestHomes::startFrom(TimePoint start)
{
    for (auto &[service, history] : m_histories) {
        std::deque<View> &views = history.views;
        if (views.front().since > start) {
            continue; // The service came later, and wasn't in the hosts' agreement.
        }
        while (views.size() > 1 && views[1].since <= start) {
            views.pop_front();
        }
        history.knownSince = views.front().hosts.empty() ? history.knownSince : TimePoint::min();
    }
}

std::uint64_t RequestHomes::viewDigest() const
{
    std::string text;
    for (const auto &[service, history] : m_histories) {
        const std::vector<HostId> &hosts = history.views.back().hosts;
        if (!hosts.empty()) {
            text += '\0' + service.value();
            for (const HostId &host : hosts) {
                text += '\0' + host.value();
            }
            text += '\0';
        }
    }
    return text.empty() ? 0 : std::max<std::uint64_t>(stableHash(text), 1);
}

TimePoint RequestHomes::lastChange() const
{
    TimePoint last = TimePoint::min();
    for (const auto &[service, history] : m_histories) {
        last = std::max(last, history.views.back().since);
    }
    return last;
}

std::optional<HostId> RequestHomes::home(const HomeKey &key) const
{
    const auto found = m_histories.find(key.service);
    if (found == m_histories.end()) {
        return std::nullopt;
    }
    return rendezvousHost(found->second.views.back().hosts, key.owner, key.request);
}

bool RequestHomes::mayRun(TimePoint now, const RepeatBounds &bounds, const HomeKey &key, const FormerHomeAsk &ask) const
{
    const auto found = m_histories.find(key.service);
    if (found == m_histories.end()) {
        return false;
    }
    const History &history = found->second;
    if (history.knownSince != TimePoint::min() && history.knownSince + bounds.window > now) {
        return false;
    }
    bool wasHome = false;
    bool isFormer = false;
    bool isAskerSeen = false;
    for (std::size_t index = 0; index < history.views.size(); ++index) {
        const View &view = history.views[index];
        if (index + 1 < history.views.size() && history.views[index + 1].since + bounds.window < now) {
            continue;
        }
        const std::optional<HostId> home = rendezvousHost(view.hosts, key.owner, key.request);
        if (home == m_self && !isFormer) {
            wasHome = true;
            continue;
        }
        if (!wasHome || !home || !isNamed(ask, *home)) {
            return false;
        }
        isFormer = true;
        if (*home == ask.askedBy.back() && !isAskerSeen) {
            isAskerSeen = true;
            // An asker that has been the home for less time than was seen here was restarted, and lost its record.
            if (ask.homeFor + bounds.viewError < now - view.since) {
                return false;
            }
        }
    }
    return wasHome;
}

std::optional<std::pair<HostId, FormerHomeAsk>> RequestHomes::formerHome(TimePoint now, const HomeKey &key,
                                                                         const FormerHomeAsk &ask) const
{
    const auto found = m_histories.find(key.service);
    if (found == m_histories.end() || ask.askedBy.size() >= longestChain) {
        return std::nullopt;
    }
    std::optional<TimePoint> homeSince;
    const std::deque<View> &views = found->second.views;
    for (auto view = views.rbegin(); view != views.rend(); ++view) {
        const std::optional<HostId> home = rendezvousHost(view->hosts, key.owner, key.request);
        if (home == m_self) {
            homeSince = view->since;
        } else if (!home || (!homeSince && !isNamed(ask, *home))) {
            return std::nullopt;
        } else if (homeSince) {
            if (isNamed(ask, *home)) {
                return std::nullopt;
            }
            FormerHomeAsk next { ask.askedBy, now - *homeSince };
            next.askedBy.push_back(m_self);
            return std::pair(*home, std::move(next));
        }
    }
    return std::nullopt;
}

} // namespace currantring
