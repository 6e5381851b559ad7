#include "standinstore.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace currantring {

namespace {

constexpr std::array<std::string_view, std::variant_size_v<StoreRequest>> kindNames {
    "get", "list", "put", "delete", "grant", "renew", "watch", "hosts",
};

} // namespace

StoreResult StandinStore::apply(const StoreRequest &request, TimePoint now)
{
    advance(now);
    ++m_counts[std::string(kindNames.at(request.index()))];
    return std::visit([this, now](const auto &kind) { return run(kind, now); }, request);
}

std::optional<StoreReply> StandinStore::changesAfter(const std::string &prefix, StoreRevision after) const
{
    StoreReply reply;
    for (auto change = m_changes.upper_bound(after); change != m_changes.end(); ++change) {
        const std::string &key = change->second;
        if (!key.starts_with(prefix)) {
            continue;
        }
        const auto entry = m_entries.find(key);
        if (entry == m_entries.end()) {
            reply.entries.push_back({ key, {}, StoreVersion(0) });
        } else {
            reply.entries.push_back({ key, entry->second.value, entry->second.version });
        }
    }
    if (reply.entries.empty()) {
        return std::nullopt;
    }
    reply.revision = revision();
    return reply;
}

void StandinStore::advance(TimePoint now)
{
    while (true) {
        const auto over = std::ranges::find_if(m_leases, [now](const auto &lease) { return lease.second.end <= now; });
        if (over == m_leases.end()) {
            return;
        }
        lapseLease(over->first);
    }
}

std::optional<TimePoint> StandinStore::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, lease] : m_leases) {
        next = next ? std::min(*next, lease.end) : lease.end;
    }
    return next;
}

void StandinStore::lapseLease(LeaseId lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return;
    }
    const std::set<std::string> keys = std::move(found->second.keys);
    m_leases.erase(found);
    for (const std::string &key : keys) {
        m_entries.erase(key);
        noteChange(key);
    }
}

void StandinStore::lapseAllLeases()
{
    while (!m_leases.empty()) {
        lapseLease(m_leases.begin()->first);
    }
}

StoreRevision StandinStore::revision() const
{
    return StoreRevision(m_revision);
}

const std::map<std::string, std::uint64_t> &StandinStore::counts() const
{
    return m_counts;
}

StoreResult StandinStore::run(const StoreGet &request, TimePoint /*now*/)
{
    StoreReply reply;
    const auto entry = m_entries.find(request.key);
    if (entry != m_entries.end()) {
        reply.entries.push_back({ entry->first, entry->second.value, entry->second.version });
    }
    reply.revision = revision();
    return reply;
}

StoreResult StandinStore::run(const StoreList &request, TimePoint /*now*/)
{
    StoreReply reply;
    for (auto entry = m_entries.lower_bound(request.prefix); entry != m_entries.end(); ++entry) {
        if (!entry->first.starts_with(request.prefix)) {
            break;
        }
        reply.entries.push_back({ entry->first, entry->second.value, entry->second.version });
    }
    reply.revision = revision();
    return reply;
}

StoreResult StandinStore::run(const StorePut &request, TimePoint /*now*/)
{
    if (request.value.size() > maximumStoreValueBytes) {
        return tl::unexpected(StoreError::TooLarge);
    }
    if (request.lease && !m_leases.contains(*request.lease)) {
        return tl::unexpected(StoreError::LeaseLapsed);
    }
    const auto present = m_entries.find(request.key);
    const StoreVersion version = present == m_entries.end() ? StoreVersion(0) : present->second.version;
    if (request.expected && *request.expected != version) {
        return tl::unexpected(StoreError::Conflict);
    }
    if (present != m_entries.end()) {
        detach(request.key, present->second);
    }
    noteChange(request.key);
    // Versions come from the revision, so that an entry that was removed and written again takes a new one.
    m_entries[request.key] = Entry { request.value, StoreVersion(m_revision), request.lease };
    if (request.lease) {
        m_leases.at(*request.lease).keys.insert(request.key);
    }
    StoreReply reply;
    reply.version = StoreVersion(m_revision);
    reply.revision = revision();
    return reply;
}

StoreResult StandinStore::run(const StoreDelete &request, TimePoint /*now*/)
{
    erase(request.key);
    StoreReply reply;
    reply.revision = revision();
    return reply;
}

StoreResult StandinStore::run(const StoreGrantLease &request, TimePoint now)
{
    StoreReply reply;
    reply.lease = LeaseId(++m_lastLease);
    m_leases[reply.lease] = Lease { now + request.term, request.term, {} };
    return reply;
}

StoreResult StandinStore::run(const StoreRenewLease &request, TimePoint now)
{
    const auto lease = m_leases.find(request.lease);
    if (lease == m_leases.end()) {
        return tl::unexpected(StoreError::LeaseLapsed);
    }
    lease->second.end = now + lease->second.term;
    StoreReply reply;
    reply.lease = request.lease;
    return reply;
}

StoreResult StandinStore::run(const StoreWatch &request, TimePoint /*now*/)
{
    StoreReply unchanged;
    unchanged.revision = revision();
    return changesAfter(request.prefix, request.after).value_or(std::move(unchanged));
}

StoreResult StandinStore::run(const ReadHostList & /*request*/, TimePoint /*now*/)
{
    return tl::unexpected(StoreError::NotSent);
}

void StandinStore::noteChange(const std::string &key)
{
    const StoreRevision changed(++m_revision);
    const auto [known, isNew] = m_lastChange.try_emplace(key, changed);
    if (!isNew) {
        m_changes.erase(known->second);
        known->second = changed;
    }
    m_changes.emplace(changed, key);
}

void StandinStore::detach(const std::string &key, const Entry &entry)
{
    if (entry.lease) {
        const auto lease = m_leases.find(*entry.lease);
        if (lease != m_leases.end()) {
            lease->second.keys.erase(key);
        }
    }
}

void StandinStore::erase(const std::string &key)
{
    const auto entry = m_entries.find(key);
    if (entry == m_entries.end()) {
        return;
    }
    detach(key, entry->second);
    m_entries.erase(entry);
    noteChange(key);
}

} // namespace currantring
