#include "workerfleet.h"

#include "jobevents.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** Time that a worker may be missing from the list, after a store outage, before it counts as removed. */
constexpr Milliseconds unlistedGrace { 2000 };
constexpr Milliseconds cleanupInterval { 1000 };
/** The list is polled: workers update their entries with each heartbeat, so a watch would report every one. */
constexpr Milliseconds listInterval { 1000 };

} // namespace

WorkerFleet::WorkerFleet(WriterToken token, WorkerTiming timing, InheritedLeases inherited, SiteFormats formats,
                         const EvacuationList &evacuations, JobContext &context, Handlers handlers)
    : m_token(token)
    , m_timing(timing)
    , m_inherited(std::move(inherited))
    , m_formats(std::move(formats))
    , m_evacuations(evacuations)
    , m_context(context)
    , m_handlers(std::move(handlers))
    , m_watch(m_formats.workerPrefix, context,
              { [this](const KvEntry &entry) { applyEntry(entry); },
                [this] {
                    m_handlers.onListed();
                } })
{
    m_watch.poll(listInterval);
}

void WorkerFleet::start()
{
    m_watch.start();
    removeGoneWorkers();
}

WorkerLink &WorkerFleet::add(WorkerEntry entry)
{
    const WorkerId id = entry.id;
    auto link = std::make_unique<WorkerLink>(std::move(entry), m_token, m_timing, m_inherited.on(id), m_context,
                                             m_handlers.linkHandlers(id));
    return *(m_links[id] = std::move(link));
}

WorkerLink &WorkerFleet::expect(const WorkerId &worker, WorkerLife life)
{
    if (WorkerLink *const known = find(worker)) {
        return *known;
    }
    WorkerEntry entry;
    entry.id = worker;
    entry.life = life;
    WorkerLink &link = add(std::move(entry));
    link.setListed(false);
    link.begin();
    return link;
}

void WorkerFleet::limitInherited(TimePoint until)
{
    m_inherited.limit(until);
    for (const auto &[id, link] : m_links) {
        link->limitInherited(until);
    }
}

RemainingLeases WorkerFleet::remainingLeases() const
{
    RemainingLeases leases { WorkerLease::validityOf(m_timing.lease), {} };
    for (const auto &[id, link] : m_links) {
        const Milliseconds remaining = link->leaseExpiry() - m_context.now();
        const bool isListed = !link->isReachable() || remaining > leases.elsewhere;
        if (isListed && !link->runs().empty()) {
            leases.listed.push_back({ id, std::max(remaining, Milliseconds(0)) });
        }
    }
    return leases;
}

std::size_t WorkerFleet::listedCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_links, [](const auto &entry) { return entry.second->isListed(); }));
}

std::size_t WorkerFleet::reachableCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_links, [](const auto &entry) { return entry.second->isListed() && entry.second->isReachable(); }));
}

WorkerLink *WorkerFleet::find(const WorkerId &worker)
{
    const auto found = m_links.find(worker);
    return found == m_links.end() ? nullptr : found->second.get();
}

const std::map<WorkerId, std::unique_ptr<WorkerLink>> &WorkerFleet::links() const
{
    return m_links;
}

bool WorkerFleet::isListed() const
{
    return m_watch.isSynced();
}

bool WorkerFleet::isSchedulable(const WorkerLink &link) const
{
    const bool isRecentlyListed = link.isListed() || m_context.now() - link.unlistedSince() < unlistedGrace;
    return isRecentlyListed && link.isReachable() && !link.reservedResources().hasRunOfUnknownSize()
        && link.entry().standing == WorkerStanding::Ready && !m_evacuations.isEvacuated(link.entry().dataCentre);
}

void WorkerFleet::applyEntry(const KvEntry &entry)
{
    if (entry.isDeleted) {
        const WorkerId id(entry.key.substr(m_formats.workerPrefix.size()));
        if (WorkerLink *const link = find(id)) {
            m_context.log(LogLevel::Info, events::workerUnlisted, { { "worker", id.value() } });
            link->setListed(false);
            m_handlers.onChanged(*link);
        }
        return;
    }
    std::optional<WorkerEntry> decoded = m_formats.decodeWorker(entry);
    if (!decoded) {
        return;
    }
    if (WorkerLink *const link = find(decoded->id)) {
        if (decoded->standing == WorkerStanding::Draining && link->entry().standing != WorkerStanding::Draining) {
            m_context.log(LogLevel::Info, events::workerDraining,
                          { { "worker", decoded->id.value() }, { "runs", std::to_string(link->runs().size()) } });
        }
        link->setEntry(std::move(*decoded));
        m_handlers.onChanged(*link);
        return;
    }
    WorkerLink &link = add(std::move(*decoded));
    m_context.log(LogLevel::Info, events::workerAdded,
                  { { "worker", link.entry().id.value() },
                    { "address", link.entry().address.value() },
                    { "rack", link.entry().rack.value() } });
    link.begin();
    m_handlers.onAdded(link);
}

/** Removes the links of unlisted, unreachable workers without runs once the grace period is over. */
void WorkerFleet::removeGoneWorkers()
{
    std::erase_if(m_links, [this](const auto &entry) {
        const WorkerLink &link = *entry.second;
        return !link.isListed() && !link.isReachable() && link.runs().empty()
            && m_context.now() - link.unlistedSince() > unlistedGrace;
    });
    m_context.schedule(cleanupInterval, m_lifetime.guard([this] { removeGoneWorkers(); }));
}

} // namespace currantring
