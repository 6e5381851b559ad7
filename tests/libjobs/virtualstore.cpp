#include "virtualstore.h"

#include <algorithm>

namespace currantring {

namespace {

/** Small, so that tests also read lists of several pages. */
constexpr std::size_t entriesPerPage = 40;

} // namespace

VirtualStore::VirtualStore(Limits limits)
    : m_limits(limits)
{
}

KvResult VirtualStore::execute(const KvRequest &request, TimePoint now)
{
    advance(now);
    if (const auto *asked = std::get_if<KvGet>(&request)) {
        return get(*asked);
    }
    if (const auto *listed = std::get_if<KvList>(&request)) {
        return list(*listed);
    }
    if (const auto *watched = std::get_if<KvWatch>(&request)) {
        return watch(*watched);
    }
    if (const auto *committed = std::get_if<KvCommit>(&request)) {
        return commit(*committed);
    }
    if (const auto *granted = std::get_if<KvGrantLease>(&request)) {
        m_lastLease = LeaseId(m_lastLease.value() + 1);
        m_leases[m_lastLease] = { granted->term, now + granted->term };
        KvReply reply;
        reply.lease = m_lastLease;
        return reply;
    }
    if (const auto *renewed = std::get_if<KvRenewLease>(&request)) {
        const auto lease = m_leases.find(renewed->lease);
        if (lease == m_leases.end()) {
            return tl::unexpected(KvError { KvErrorKind::LeaseGone, {} });
        }
        lease->second.end = now + lease->second.term;
        return KvReply {};
    }
    endLease(std::get<KvEndLease>(request).lease);
    return KvReply {};
}

KvResult VirtualStore::get(const KvGet &request) const
{
    KvReply reply;
    reply.revision = m_revision;
    if (const auto entry = m_entries.find(request.key); entry != m_entries.end()) {
        reply.entries.push_back({ entry->first, entry->second.value, entry->second.revision, false });
    }
    return reply;
}

KvResult VirtualStore::list(const KvList &request) const
{
    KvReply reply;
    reply.revision = m_revision;
    auto entry = request.after.empty() ? m_entries.lower_bound(request.prefix) : m_entries.upper_bound(request.after);
    for (; entry != m_entries.end() && entry->first.starts_with(request.prefix); ++entry) {
        if (reply.entries.size() == entriesPerPage) {
            reply.hasMore = true;
            break;
        }
        reply.entries.push_back({ entry->first, entry->second.value, entry->second.revision, false });
    }
    return reply;
}

bool VirtualStore::hasChanges(const KvWatch &watch) const
{
    // The history is in order of the revisions.
    const auto first = std::ranges::upper_bound(m_history, watch.after, {}, &KvEntry::revision);
    return !m_areWatchesHeld && std::any_of(first, m_history.end(), [&watch](const KvEntry &change) {
        return change.key.starts_with(watch.prefix);
    });
}

std::pair<StoreRevision, bool> VirtualStore::watchState() const
{
    return { m_revision, m_areWatchesHeld };
}

bool VirtualStore::isCompacted(const KvWatch &watch) const
{
    return watch.after < m_compacted;
}

KvResult VirtualStore::watch(const KvWatch &request) const
{
    if (m_areWatchesHeld) {
        KvReply unchanged;
        unchanged.revision = request.after;
        return unchanged;
    }
    if (isCompacted(request)) {
        return tl::unexpected(KvError { KvErrorKind::HistoryGone, {} });
    }
    KvReply reply;
    reply.revision = m_revision;
    for (const KvEntry &change : m_history) {
        if (change.revision > request.after && change.key.starts_with(request.prefix)) {
            reply.entries.push_back(change);
        }
    }
    return reply;
}

bool VirtualStore::isWithinLimits(const KvCommit &request) const
{
    return request.conditions.size() + request.puts.size() + request.deletes.size() <= m_limits.entries
        && std::ranges::all_of(request.puts, [this](const KvPut &put) {
               return put.key.size() <= m_limits.keyBytes && put.value.size() <= m_limits.valueBytes;
           });
}

KvResult VirtualStore::commit(const KvCommit &request)
{
    if (!isWithinLimits(request)) {
        ++m_commitsBeyondLimits;
        return tl::unexpected(KvError { KvErrorKind::Refused, {} });
    }
    const bool holds = std::ranges::all_of(request.conditions, [this](const KvCondition &condition) {
        return revisionOf(condition.key) == condition.revision;
    });
    if (!holds) {
        KvError error { KvErrorKind::Conflict, {} };
        for (const KvCondition &condition : request.conditions) {
            if (const auto entry = m_entries.find(condition.key); entry != m_entries.end()) {
                error.entries.push_back({ entry->first, entry->second.value, entry->second.revision, false });
            }
        }
        return tl::unexpected(std::move(error));
    }
    const bool hasLeases = std::ranges::all_of(
        request.puts, [this](const KvPut &put) { return !put.lease || m_leases.contains(*put.lease); });
    if (!hasLeases) {
        return tl::unexpected(KvError { KvErrorKind::LeaseGone, {} });
    }
    m_revision = StoreRevision(m_revision.value() + 1);
    for (const KvPut &put : request.puts) {
        write(put.key, put.value, put.lease.value_or(LeaseId(0)));
    }
    for (const std::string &key : request.deletes) {
        erase(key);
    }
    ++m_commits;
    KvReply reply;
    reply.revision = m_revision;
    return reply;
}

void VirtualStore::write(const std::string &key, const std::string &value, LeaseId lease)
{
    m_entries[key] = { value, m_revision, lease };
    m_history.push_back({ key, value, m_revision, false });
}

void VirtualStore::erase(const std::string &key)
{
    if (m_entries.erase(key) != 0) {
        m_history.push_back({ key, {}, m_revision, true });
    }
}

void VirtualStore::endLease(LeaseId lease)
{
    if (m_leases.erase(lease) == 0) {
        return;
    }
    std::vector<std::string> attached;
    for (const auto &[key, entry] : m_entries) {
        if (entry.lease == lease) {
            attached.push_back(key);
        }
    }
    for (const std::string &key : attached) {
        remove(key);
    }
}

void VirtualStore::advance(TimePoint now)
{
    if (m_isLeaseExpirySuspended) {
        return;
    }
    std::vector<LeaseId> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.end <= now) {
            expired.push_back(id);
        }
    }
    for (const LeaseId id : expired) {
        endLease(id);
    }
}

std::optional<TimePoint> VirtualStore::nextLeaseExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, lease] : m_leases) {
        if (!m_isLeaseExpirySuspended && (!next || lease.end < *next)) {
            next = lease.end;
        }
    }
    return next;
}

void VirtualStore::put(const std::string &key, const std::string &value)
{
    m_revision = StoreRevision(m_revision.value() + 1);
    write(key, value, LeaseId(0));
}

void VirtualStore::remove(const std::string &key)
{
    m_revision = StoreRevision(m_revision.value() + 1);
    erase(key);
}

std::optional<std::string> VirtualStore::read(const std::string &key) const
{
    const auto entry = m_entries.find(key);
    return entry == m_entries.end() ? std::nullopt : std::optional(entry->second.value);
}

std::vector<std::string> VirtualStore::keys(const std::string &prefix) const
{
    std::vector<std::string> found;
    for (auto entry = m_entries.lower_bound(prefix); entry != m_entries.end() && entry->first.starts_with(prefix);
         ++entry) {
        found.push_back(entry->first);
    }
    return found;
}

void VirtualStore::compact()
{
    m_history.clear();
    m_compacted = m_revision;
}

void VirtualStore::holdWatches(bool isHeld)
{
    m_areWatchesHeld = isHeld;
    if (!isHeld) {
        compact();
    }
}

void VirtualStore::revokeLeases()
{
    while (!m_leases.empty()) {
        endLease(m_leases.begin()->first);
    }
}

void VirtualStore::suspendLeaseExpiry(bool isSuspended, TimePoint now)
{
    m_isLeaseExpirySuspended = isSuspended;
    for (auto &[id, lease] : m_leases) {
        lease.end = std::max(lease.end, now + lease.term);
    }
}

std::size_t VirtualStore::commitsBeyondLimits() const
{
    return m_commitsBeyondLimits;
}

std::size_t VirtualStore::commits() const
{
    return m_commits;
}

StoreRevision VirtualStore::revisionOf(const std::string &key) const
{
    const auto entry = m_entries.find(key);
    return entry == m_entries.end() ? StoreRevision(0) : entry->second.revision;
}

} // namespace currantring
