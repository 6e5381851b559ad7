#pragma once

#include "membership.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace currantring {

inline constexpr Milliseconds step { 100 };
inline constexpr std::uint64_t meshSeed = 20260712;

/** The part of the key-value service that membership uses, with a switch for an outage. */
class FakeStore
{
public:
    bool isDown = false;

    StoreResult call(const StoreRequest &request, TimePoint now)
    {
        if (isDown) {
            return tl::unexpected(StoreError::NotSent);
        }
        expire(now);
        return std::visit([&](const auto &kind) { return handle(kind, now); }, request);
    }

    void lapseAll()
    {
        m_leases.clear();
    }

    bool holds(const std::string &host, TimePoint now)
    {
        expire(now);
        return m_entries.contains("hosts/" + host);
    }

private:
    struct Entry
    {
        std::string value;
        LeaseId lease;
    };
    struct Lease
    {
        Milliseconds term {};
        TimePoint until;
    };

    void expire(TimePoint now)
    {
        std::erase_if(m_leases, [&](const auto &item) { return item.second.until < now; });
        std::erase_if(m_entries, [&](const auto &item) { return !m_leases.contains(item.second.lease); });
    }

    StoreResult handle(const StoreGrantLease &request, TimePoint now)
    {
        StoreReply reply;
        reply.lease = LeaseId(++m_lastLease);
        m_leases[reply.lease] = { request.term, now + request.term };
        return reply;
    }

    StoreResult handle(const StoreRenewLease &request, TimePoint now)
    {
        const auto lease = m_leases.find(request.lease);
        if (lease == m_leases.end()) {
            return tl::unexpected(StoreError::LeaseLapsed);
        }
        lease->second.until = now + lease->second.term;
        return StoreReply {};
    }

    StoreResult handle(const StorePut &request, TimePoint /*now*/)
    {
        if (!m_leases.contains(request.lease.value())) {
            return tl::unexpected(StoreError::LeaseLapsed);
        }
        m_entries[request.key] = { request.value, *request.lease };
        return StoreReply {};
    }

    StoreResult handle(const StoreDelete &request, TimePoint /*now*/)
    {
        m_entries.erase(request.key);
        return StoreReply {};
    }

    StoreResult handle(const StoreList &request, TimePoint /*now*/)
    {
        StoreReply reply;
        for (const auto &[key, entry] : m_entries) {
            if (key.starts_with(request.prefix)) {
                reply.entries.push_back({ key, entry.value, StoreVersion(1) });
            }
        }
        return reply;
    }

    template<typename Other>
    StoreResult handle(const Other & /*request*/, TimePoint /*now*/)
    {
        return tl::unexpected(StoreError::Unknown);
    }

    std::map<std::string, Entry> m_entries;
    std::map<LeaseId, Lease> m_leases;
    std::uint64_t m_lastLease = 0;
};

/** One host with its own clock of the common virtual time. */
struct TestHost
{
    TestHost(const std::string &name, const std::string &address)
        : id(name)
        , context(meshSeed + stableHash(name))
        , membership(id, Address(address), context, [this] { return digest; })
    {
    }

    HostId id;
    Context context;
    Heartbeat digest;
    std::map<HostId, Address> links;
    bool isFrozen = false;
    Membership membership;
};

/** Hosts, a store and links between them, in virtual time. */
class Mesh
{
public:
    FakeStore store;

    TestHost &add(const std::string &name, const std::string &address = {})
    {
        auto host = std::make_unique<TestHost>(name, address.empty() ? name + ":7001" : address);
        host->context.advance(m_now, WallTime(0));
        host->membership.start();
        return *m_hosts.insert_or_assign(HostId(name), std::move(host)).first->second;
    }

    void remove(const std::string &name)
    {
        m_hosts.erase(HostId(name));
    }

    TestHost &operator[](const std::string &name)
    {
        return *m_hosts.at(HostId(name));
    }

    void run(Milliseconds duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end;) {
            m_now += step;
            for (auto &[id, host] : m_hosts) {
                if (!host->isFrozen) {
                    host->context.advance(m_now, WallTime(0));
                    carryOut(*host);
                }
            }
        }
    }

    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }

    std::string live(const std::string &name)
    {
        std::string list;
        for (const PeerView &view : (*this)[name].membership.livePeers()) {
            list += view.heartbeat.host.value();
        }
        return list;
    }

    std::string links(const std::string &name)
    {
        std::string list;
        for (const auto &[id, address] : (*this)[name].links) {
            list += id.value();
        }
        return list;
    }

private:
    void carryOut(TestHost &host)
    {
        for (std::vector<Action> actions = host.context.takeActions(); !actions.empty();
             actions = host.context.takeActions()) {
            for (const Action &action : actions) {
                if (const auto *call = std::get_if<StoreCallAction>(&action)) {
                    host.context.completeStore(call->call, store.call(call->request, m_now));
                } else if (const auto *link = std::get_if<PeerLinkAction>(&action)) {
                    setLink(host, *link);
                } else if (const auto *send = std::get_if<PeerSendAction>(&action)) {
                    deliver(host, *send);
                }
            }
        }
    }

    static void setLink(TestHost &host, const PeerLinkAction &link)
    {
        host.links.erase(link.peer);
        if (link.address) {
            host.links.emplace(link.peer, *link.address);
        }
    }

    void deliver(const TestHost &from, const PeerSendAction &send)
    {
        const auto receiver = m_hosts.find(send.to);
        if (receiver != m_hosts.end() && !receiver->second->isFrozen && from.links.contains(send.to)) {
            receiver->second->membership.handleHeartbeat(std::get<Heartbeat>(send.message));
        }
    }

    TimePoint m_now {};
    std::map<HostId, std::unique_ptr<TestHost>> m_hosts;
};

} // namespace currantring
