#include "membership.h"

#include "hostregistration.h"
#include "jsonfield.h"

#include <algorithm>
#include <map>
#include <set>

namespace currantring {

namespace {

constexpr Milliseconds listInterval { 5000 };
constexpr Milliseconds firstRetry { 200 };
constexpr Milliseconds shortestTerm { 10'000 };
constexpr int silencesPerTerm = 4;
constexpr int silencesUntilDropped = 10;
constexpr int settlingHeartbeats = 2;

struct Peer
{
    Address address;
    /** Absent until the first heartbeat. */
    std::optional<Heartbeat> heartbeat;
    /** When last heard; when it became known, before the first heartbeat. */
    TimePoint heardAt;
    /** As last logged. */
    bool wasLive = false;
};

/** The address in a registered host's entry; nullopt when the entry is malformed. */
std::optional<Address> entryAddress(const std::string &value)
{
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    try {
        return checkedField<Address>(json, "peerAddress");
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::uint64_t writerScore(ShardId shard, const HostId &host)
{
    return stableHash(std::to_string(shard.value()) + "/" + host.value());
}

} // namespace

struct Membership::Private
{
    Private(HostId selfId, Address selfAddress, Context &ownContext, HeartbeatSource heartbeatSource)
        : self(std::move(selfId))
        , address(std::move(selfAddress))
        , context(ownContext)
        , source(std::move(heartbeatSource))
        , registration(self, context, [this](bool reached) { noteStore(reached); })
        , listBackoff(firstRetry, listInterval)
    {
    }

    [[nodiscard]] bool isLive(const Peer &peer) const;
    [[nodiscard]] Heartbeat ownHeartbeat() const;
    const Heartbeat &lastOwn();
    void noteStore(bool reached);
    void beat();
    void sendHeartbeats();
    void dropGone();
    [[nodiscard]] bool isReplaced(const Address &peerAddress) const;
    void noteLiveness(const HostId &host, Peer &peer);
    void readList();
    void takeList(const std::vector<StoreEntry> &entries);
    void beginSettling();
    [[nodiscard]] bool isSettled() const;
    Peer &addPeer(const HostId &host, const Address &peerAddress);

    HostId self;
    Address address;
    Context &context;
    HeartbeatSource source;
    HostRegistration registration;
    Backoff listBackoff;
    Milliseconds heartbeatInterval { Configuration().duration(Setting::HeartbeatInterval) };
    Milliseconds silence { Configuration().duration(Setting::PeerSilence) };
    std::map<HostId, Peer> peers;
    std::optional<Heartbeat> own;
    /** Hosts in the store as last read. */
    std::set<HostId> listed;
    TimerId beatTimer;
    TimerId listTimer;
    std::optional<TimePoint> settlingSince;
    bool reachable = false;
    bool storeFailed = false;
    bool left = false;
};

bool Membership::Private::isLive(const Peer &peer) const
{
    return peer.heartbeat && context.now() - peer.heardAt <= silence;
}

Heartbeat Membership::Private::ownHeartbeat() const
{
    Heartbeat heartbeat = source();
    heartbeat.host = self;
    heartbeat.peerAddress = address;
    heartbeat.storeReachable = reachable;
    heartbeat.leaving = heartbeat.leaving || left;
    return heartbeat;
}

void Membership::Private::noteStore(bool reached)
{
    if (reached != reachable || (!reached && !storeFailed)) {
        context.log(reached ? LogLevel::Info : LogLevel::Warning, reached ? "store_reached" : "store_unreachable", {});
    }
    reachable = reached;
    storeFailed = !reached;
    if (storeFailed && std::ranges::any_of(peers, [](const auto &item) { return item.second.heartbeat.has_value(); })) {
        beginSettling();
    }
}

void Membership::Private::beginSettling()
{
    if (!settlingSince) {
        settlingSince = context.now();
    }
}

bool Membership::Private::isSettled() const
{
    return settlingSince && context.now() - *settlingSince >= heartbeatInterval * settlingHeartbeats;
}

void Membership::Private::beat()
{
    dropGone();
    sendHeartbeats();
    beatTimer = context.schedule(heartbeatInterval, [this] { beat(); });
}

void Membership::Private::sendHeartbeats()
{
    own = ownHeartbeat();
    for (const auto &[host, peer] : peers) {
        context.sendPeer(host, *own);
    }
}

/** What this host last said of itself; making it anew for each question would cost a pass over all workers. */
const Heartbeat &Membership::Private::lastOwn()
{
    if (!own) {
        own = ownHeartbeat();
    }
    return *own;
}

/** Whether another process answers at the address by now. */
bool Membership::Private::isReplaced(const Address &peerAddress) const
{
    return peerAddress == address || std::ranges::any_of(peers, [&](const auto &item) {
               return item.second.address == peerAddress && isLive(item.second);
           });
}

void Membership::Private::dropGone()
{
    for (auto item = peers.begin(); item != peers.end();) {
        auto &[host, peer] = *item;
        noteLiveness(host, peer);
        const bool longSilent = context.now() - peer.heardAt > silence * silencesUntilDropped;
        if (!isLive(peer) && (isReplaced(peer.address) || (longSilent && !listed.contains(host)))) {
            context.log(LogLevel::Info, "peer_dropped", { { "peer", host.value() } });
            context.linkPeer(host, std::nullopt);
            item = peers.erase(item);
        } else {
            ++item;
        }
    }
}

void Membership::Private::noteLiveness(const HostId &host, Peer &peer)
{
    const bool live = isLive(peer);
    if (live != peer.wasLive) {
        context.log(live ? LogLevel::Info : LogLevel::Warning, live ? "peer_live" : "peer_not_live",
                    { { "peer", host.value() } });
        peer.wasLive = live;
    }
}

Peer &Membership::Private::addPeer(const HostId &host, const Address &peerAddress)
{
    context.linkPeer(host, peerAddress);
    return peers.insert_or_assign(host, Peer { peerAddress, std::nullopt, context.now() }).first->second;
}

void Membership::Private::readList()
{
    context.callStore(StoreList { std::string(hostKeyPrefix) }, [this](const StoreResult &result) {
        noteStore(result.has_value());
        if (result) {
            listBackoff.reset();
            takeList(result->entries);
            // Before this host is listed itself, hosts that start with it may not be listed either.
            if (listed.contains(self)) {
                beginSettling();
            }
        }
        if (!left) {
            const Milliseconds interval = isSettled() ? listInterval : heartbeatInterval;
            const Milliseconds delay = result ? interval : listBackoff.next(context.random());
            listTimer = context.schedule(delay, [this] { readList(); });
        }
    });
}

void Membership::Private::takeList(const std::vector<StoreEntry> &entries)
{
    listed.clear();
    for (const StoreEntry &entry : entries) {
        const HostId host(entry.key.substr(std::min(hostKeyPrefix.size(), entry.key.size())));
        const std::optional<Address> peerAddress = entryAddress(entry.value);
        if (!peerAddress) {
            context.log(LogLevel::Warning, "host_entry_invalid", { { "key", entry.key } });
            continue;
        }
        listed.insert(host);
        const auto known = peers.find(host);
        const bool isNew = known == peers.end() && host != self && !isReplaced(*peerAddress);
        // A heartbeat knows the sender's address better than the store.
        const bool isMoved = known != peers.end() && !known->second.heartbeat && known->second.address != *peerAddress;
        if (isNew || isMoved) {
            addPeer(host, *peerAddress);
        }
    }
}

Membership::Membership(HostId self, Address peerAddress, Context &context, HeartbeatSource source)
    : m_d(std::make_unique<Private>(std::move(self), std::move(peerAddress), context, std::move(source)))
{
}

Membership::~Membership() = default;

void Membership::setConfiguration(const Configuration &configuration)
{
    m_d->heartbeatInterval = configuration.duration(Setting::HeartbeatInterval);
    m_d->silence = configuration.duration(Setting::PeerSilence);
    m_d->registration.setTerm(std::max(shortestTerm, m_d->silence * silencesPerTerm));
}

void Membership::start()
{
    const nlohmann::json entry = { { "peerAddress", m_d->address }, { "dataCentre", m_d->source().dataCentre } };
    m_d->registration.start(entry.dump());
    m_d->readList();
    m_d->beat();
}

void Membership::leave()
{
    if (m_d->left) {
        return;
    }
    m_d->left = true;
    m_d->context.cancel(m_d->beatTimer);
    m_d->context.cancel(m_d->listTimer);
    m_d->registration.withdraw();
    m_d->sendHeartbeats();
}

void Membership::announce()
{
    if (!m_d->left) {
        m_d->sendHeartbeats();
    }
}

void Membership::handleHeartbeat(const Heartbeat &heartbeat)
{
    if (heartbeat.host == m_d->self) {
        return;
    }
    const auto known = m_d->peers.find(heartbeat.host);
    const bool isNew = known == m_d->peers.end();
    Peer &peer = isNew ? m_d->addPeer(heartbeat.host, heartbeat.peerAddress) : known->second;
    if (peer.address != heartbeat.peerAddress) {
        peer.address = heartbeat.peerAddress;
        m_d->context.linkPeer(heartbeat.host, peer.address);
    }
    peer.heartbeat = heartbeat;
    peer.heardAt = m_d->context.now();
    m_d->noteLiveness(heartbeat.host, peer);
    if (m_d->storeFailed) {
        m_d->beginSettling();
    }
}

std::vector<PeerView> Membership::livePeers() const
{
    std::vector<PeerView> views;
    for (const auto &[host, peer] : m_d->peers) {
        if (m_d->isLive(peer)) {
            views.push_back({ *peer.heartbeat, peer.heardAt });
        }
    }
    return views;
}

bool Membership::isLive(const HostId &host) const
{
    const auto peer = m_d->peers.find(host);
    return host == m_d->self || (peer != m_d->peers.end() && m_d->isLive(peer->second));
}

bool Membership::storeReachable() const
{
    return m_d->reachable;
}

bool Membership::isSettled() const
{
    return m_d->isSettled();
}

std::optional<HostId> Membership::preferredWriter(ShardId shard) const
{
    std::optional<std::pair<std::uint64_t, HostId>> best;
    const auto consider = [&](const HostId &host) {
        best = std::max(best, std::optional(std::pair(writerScore(shard, host), host)));
    };
    if (!m_d->left && !m_d->lastOwn().leaving) {
        consider(m_d->self);
    }
    for (const auto &[host, peer] : m_d->peers) {
        if (m_d->isLive(peer) && !peer.heartbeat->leaving) {
            consider(host);
        }
    }
    return best ? std::optional(best->second) : std::nullopt;
}

std::optional<HostId> Membership::claimant(ShardId shard) const
{
    std::optional<std::pair<Epoch, HostId>> best;
    const auto consider = [&](const Heartbeat &heartbeat, const HostId &host) {
        for (const ShardClaim &claim : heartbeat.claims) {
            if (claim.shard == shard) {
                best = std::max(best, std::optional(std::pair(claim.epoch, host)));
            }
        }
    };
    consider(m_d->lastOwn(), m_d->self);
    for (const auto &[host, peer] : m_d->peers) {
        if (m_d->isLive(peer)) {
            consider(*peer.heartbeat, host);
        }
    }
    return best ? std::optional(best->second) : std::nullopt;
}

} // namespace currantring
