#include "endpointtable.h"

#include <algorithm>

namespace currantring {

namespace {

/** Free endpoints that are compared for one choice; more cost time and gain little. */
constexpr std::size_t comparedEndpoints = 16;

} // namespace

EndpointTable::EndpointTable(Context &context, const Chart &chart)
    : m_context(context)
    , m_chart(chart)
{
}

void EndpointTable::setLimits(const EndpointLimits &limits)
{
    m_limits = limits;
}

const EndpointLimits &EndpointTable::limits() const
{
    return m_limits;
}

bool EndpointTable::add(const WorkerInfo &worker, CommandFence fence, bool freshlyKnown)
{
    const auto present = m_endpoints.find(worker.id);
    if (present != m_endpoints.end() && present->second->fence.shard == fence.shard
        && present->second->fence.epoch == fence.epoch) {
        update(worker);
        return false;
    }
    const TimePoint now = m_context.now();
    const TimePoint latestEnd = now + m_limits.longestDeadline + m_limits.clockError;
    const bool wasMine = present != m_endpoints.end() || forgetFormer(worker.id);
    auto endpoint = std::make_unique<Endpoint>(
        Endpoint { worker, fence, SlotCounter(worker.slots), EndpointHealth(m_chart), ++m_generation, {}, {}, {}, {} });
    if (!freshlyKnown || wasMine) {
        // Another holder's requests are refused from the first command under the new fence, so any report counts. This
        // host's own earlier ones may be on their way, and so may a report asked for before.
        endpoint->slots.markAllUnaccounted(wasMine ? now + m_limits.clockError : now, latestEnd);
    }
    endpoint->leavingByList = worker.state == WorkerState::Leaving;
    followLeaving(*endpoint);
    m_endpoints[worker.id] = std::move(endpoint);
    rebuildIndex();
    return true;
}

void EndpointTable::update(const WorkerInfo &worker)
{
    const auto found = m_endpoints.find(worker.id);
    if (found == m_endpoints.end()) {
        return;
    }
    Endpoint &endpoint = *found->second;
    const bool servicesChanged = endpoint.info.services != worker.services;
    endpoint.info = worker;
    endpoint.slots.resize(worker.slots);
    endpoint.leavingByList = worker.state == WorkerState::Leaving;
    followLeaving(endpoint);
    if (servicesChanged) {
        rebuildIndex();
    }
}

void EndpointTable::remove(const WorkerId &worker)
{
    const auto found = m_endpoints.find(worker);
    if (found == m_endpoints.end()) {
        return;
    }
    found->second->health.remove();
    m_endpoints.erase(found);
    m_former[worker] = m_context.now() + m_limits.longestDeadline + m_limits.clockError;
    rebuildIndex();
}

bool EndpointTable::forgetFormer(const WorkerId &worker)
{
    const TimePoint now = m_context.now();
    std::erase_if(m_former, [now](const auto &former) { return former.second <= now; });
    return m_former.erase(worker) > 0;
}

void EndpointTable::applyReport(const WorkerReport &report)
{
    const auto found = m_endpoints.find(report.worker);
    if (found == m_endpoints.end()) {
        return;
    }
    Endpoint &endpoint = *found->second;
    const TimePoint now = m_context.now();
    endpoint.slots.applyReport(now, report.activeRequests);
    endpoint.leavingByReport = report.leaving;
    if (endpoint.leavingByRefusal && *endpoint.leavingByRefusal + m_limits.reportInterval <= now) {
        endpoint.leavingByRefusal.reset();
    }
    followLeaving(endpoint);
}

void EndpointTable::noteRefusedLeaving(Endpoint &endpoint)
{
    endpoint.leavingByRefusal = m_context.now();
    followLeaving(endpoint);
}

void EndpointTable::followLeaving(Endpoint &endpoint)
{
    const bool leaving = endpoint.leavingByList || endpoint.leavingByReport || endpoint.leavingByRefusal;
    if (leaving == endpoint.health.isLeaving()) {
        return;
    }
    if (leaving) {
        endpoint.health.leave();
    } else {
        endpoint.health.comeBack();
    }
    m_context.log(LogLevel::Info, leaving ? "endpoint_leaving" : "endpoint_returned",
                  { { "worker", endpoint.info.id.value() } });
}

Endpoint *EndpointTable::find(const WorkerId &worker, std::uint64_t generation)
{
    const auto found = m_endpoints.find(worker);
    if (found == m_endpoints.end() || found->second->generation != generation) {
        return nullptr;
    }
    return found->second.get();
}

Endpoint *EndpointTable::take(const ServiceName &service, const std::set<WorkerId> &tried, bool mayProbe)
{
    Endpoint *endpoint = mayProbe ? takeProbe(service) : nullptr;
    if (endpoint == nullptr) {
        endpoint = takeLive(service, tried, true);
    }
    if (endpoint == nullptr && !tried.empty()) {
        endpoint = takeLive(service, tried, false);
    }
    if (endpoint == nullptr && slotsFor(service) == 0) {
        endpoint = takeProbe(service);
    }
    return endpoint;
}

Endpoint *EndpointTable::takeProbe(const ServiceName &service)
{
    const auto endpoints = m_byService.find(service);
    if (endpoints == m_byService.end()) {
        return nullptr;
    }
    const TimePoint now = m_context.now();
    for (Endpoint *endpoint : endpoints->second) {
        if (endpoint->slots.free(now) > 0 && endpoint->health.startProbe(now)) {
            m_context.log(LogLevel::Info, "endpoint_probed", { { "worker", endpoint->info.id.value() } });
            return endpoint->slots.tryTake(now) ? endpoint : nullptr;
        }
    }
    return nullptr;
}

Endpoint *EndpointTable::takeLive(const ServiceName &service, const std::set<WorkerId> &tried, bool onlyUntried)
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end() || found->second.empty()) {
        return nullptr;
    }
    const std::vector<Endpoint *> &endpoints = found->second;
    const TimePoint now = m_context.now();
    const std::size_t start = uniformBelow(m_context.random(), endpoints.size());
    std::vector<EndpointCandidate> candidates;
    std::vector<Endpoint *> owners;
    for (std::size_t step = 0; step < endpoints.size() && candidates.size() < comparedEndpoints; ++step) {
        Endpoint *endpoint = endpoints[(start + step) % endpoints.size()];
        const std::uint32_t free = endpoint->slots.free(now);
        if (free > 0 && endpoint->health.isLive() && !(onlyUntried && tried.contains(endpoint->info.id))) {
            candidates.push_back({ endpoint->info.id, free, endpoint->serviceTime.meanMs() });
            owners.push_back(endpoint);
        }
    }
    const auto chosen = m_selector.select(candidates, m_context.random());
    if (!chosen || !owners[*chosen]->slots.tryTake(now)) {
        return nullptr;
    }
    return owners[*chosen];
}

bool EndpointTable::serves(const ServiceName &service) const
{
    const auto found = m_byService.find(service);
    return found != m_byService.end()
        && std::any_of(found->second.begin(), found->second.end(),
                       [](const Endpoint *endpoint) { return !endpoint->health.isLeaving(); });
}

bool EndpointTable::hasSlotNow(const ServiceName &service) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return false;
    }
    const TimePoint now = m_context.now();
    const auto isFree = [now](const Endpoint *endpoint) {
        return endpoint->health.isLive() && endpoint->slots.free(now) > 0;
    };
    const auto isProbeDue = [now](const Endpoint *endpoint) {
        const auto due = endpoint->health.probeDue();
        return due && *due <= now && endpoint->slots.free(now) > 0;
    };
    const std::vector<Endpoint *> &all = found->second;
    return std::any_of(all.begin(), all.end(), isFree)
        || (slotsFor(service) == 0 && std::any_of(all.begin(), all.end(), isProbeDue));
}

std::uint32_t EndpointTable::slotsFor(const ServiceName &service) const
{
    std::uint32_t sum = 0;
    if (const auto found = m_byService.find(service); found != m_byService.end()) {
        for (const Endpoint *endpoint : found->second) {
            sum += endpoint->health.isLive() ? endpoint->slots.slots() : 0;
        }
    }
    return sum;
}

std::uint32_t EndpointTable::freeSlotsFor(const ServiceName &service) const
{
    std::uint32_t sum = 0;
    if (const auto found = m_byService.find(service); found != m_byService.end()) {
        for (const Endpoint *endpoint : found->second) {
            sum += endpoint->health.isLive() ? endpoint->slots.free(m_context.now()) : 0;
        }
    }
    return sum;
}

std::vector<ServiceName> EndpointTable::services() const
{
    std::vector<ServiceName> names;
    for (const auto &[name, endpoints] : m_byService) {
        names.push_back(name);
    }
    return names;
}

std::optional<TimePoint> EndpointTable::nextWake(const ServiceName &service) const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](std::optional<TimePoint> time) {
        if (time && (!next || *time < *next)) {
            next = time;
        }
    };
    if (const auto found = m_byService.find(service); found != m_byService.end()) {
        for (const Endpoint *endpoint : found->second) {
            if (!endpoint->health.isLeaving()) {
                consider(endpoint->slots.nextFree(m_context.now()));
                consider(endpoint->health.probeDue());
            }
        }
    }
    return next;
}

void EndpointTable::rebuildIndex()
{
    m_byService.clear();
    for (const auto &[id, endpoint] : m_endpoints) {
        for (const ServiceName &service : endpoint->info.services) {
            m_byService[service].push_back(endpoint.get());
        }
    }
}

} // namespace currantring
