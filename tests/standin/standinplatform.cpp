#include "standinplatform.h"

#include <algorithm>

namespace currantring {

namespace {

/** Key that the request writes, or null for a request that writes none. */
const std::string *writtenKey(const StoreRequest &request)
{
    if (const auto *put = std::get_if<StorePut>(&request)) {
        return &put->key;
    }
    if (const auto *removal = std::get_if<StoreDelete>(&request)) {
        return &removal->key;
    }
    return nullptr;
}

template<typename Result, typename Error>
Result seen(const Result &result, StandinDelivery delivery, const Error &notSent, const Error &unknown)
{
    switch (delivery) {
    case StandinDelivery::Answered:
        return result;
    case StandinDelivery::Outage:
        return tl::unexpected(notSent);
    default:
        return tl::unexpected(unknown);
    }
}

} // namespace

StoreResult seenByClient(const StandinStoreCall &call)
{
    return seen(call.result, call.delivery, StoreError::NotSent, StoreError::Unknown);
}

WorkerResult seenByClient(const StandinWorkerCall &call)
{
    return seen(call.result, call.delivery, WorkerError { WorkerErrorKind::NotSent, RefusalReason::None },
                WorkerError { WorkerErrorKind::Unknown, RefusalReason::None });
}

EndpointResult seenByClient(const StandinEndpointCall &call)
{
    const EndpointResult result =
        call.result.map([](const StandinServing &serving) -> EndpointAnswer { return serving.answer; });
    return seen(result, call.delivery, EndpointError { EndpointErrorKind::NotSent, RefusalReason::None },
                EndpointError { EndpointErrorKind::Unknown, RefusalReason::None });
}

StandinPlatform::StandinPlatform(StandinPlatformOptions options)
    : m_hostList(options.listLag)
{
    for (StandinWorkerOptions &worker : options.workers) {
        const WorkerId id = worker.info.id;
        m_hostList.setWorker(worker.info, TimePoint());
        m_workers.emplace(id, std::make_unique<StandinWorker>(std::move(worker), m_truth));
    }
}

StandinStoreCall StandinPlatform::callStore(const StoreRequest &request, TimePoint now)
{
    if (m_outage) {
        return { StandinDelivery::Outage, tl::unexpected(StoreError::NotSent), m_slowness };
    }
    if (m_silent) {
        return { StandinDelivery::Silent, tl::unexpected(StoreError::Unknown), {} };
    }
    if (std::holds_alternative<ReadHostList>(request)) {
        ++m_hostListCalls;
        StoreReply reply;
        reply.workers = m_hostList.served(now);
        return { StandinDelivery::Answered, std::move(reply), m_slowness };
    }
    StoreResult result = m_store.apply(request, now);
    const bool lost = result.has_value() && losesReply(request);
    return { lost ? StandinDelivery::Lost : StandinDelivery::Answered, std::move(result), m_slowness };
}

StandinWorkerCall StandinPlatform::callWorker(const WorkerId &worker, const WorkerRequest &request, TimePoint now)
{
    StandinWorker *found = this->worker(worker);
    if (found == nullptr) {
        return { StandinDelivery::Outage, tl::unexpected(WorkerError {}), {} };
    }
    const StandinDelivery delivery = workerDelivery(worker);
    if (delivery == StandinDelivery::Silent) {
        return { delivery, tl::unexpected(WorkerError {}), {} };
    }
    return { delivery, found->apply(request, now), {} };
}

StandinEndpointCall StandinPlatform::callEndpoint(const EndpointRequest &request, TimePoint now)
{
    StandinWorker *found = worker(request.worker);
    if (found == nullptr) {
        return { StandinDelivery::Outage, tl::unexpected(EndpointError {}), {} };
    }
    const StandinDelivery delivery = workerDelivery(request.worker);
    if (delivery == StandinDelivery::Silent) {
        return { delivery, tl::unexpected(EndpointError {}), {} };
    }
    StandinEndpointCall call { delivery, found->beginRequest(request, now), {} };
    if (call.result) {
        call.delay = call.result->readyAt - now;
    }
    return call;
}

void StandinPlatform::advance(TimePoint now)
{
    m_store.advance(now);
    for (const auto &[id, worker] : m_workers) {
        worker->advance(now);
    }
}

std::optional<TimePoint> StandinPlatform::nextEvent() const
{
    std::optional<TimePoint> next = m_store.nextExpiry();
    for (const auto &[id, worker] : m_workers) {
        const std::optional<TimePoint> event = worker->nextEvent();
        if (event) {
            next = next ? std::min(*next, *event) : event;
        }
    }
    return next;
}

bool StandinPlatform::isOut() const
{
    return m_outage;
}

StandinStore &StandinPlatform::store()
{
    return m_store;
}

StandinHostList &StandinPlatform::hostList()
{
    return m_hostList;
}

StandinTruth &StandinPlatform::truth()
{
    return m_truth;
}

void StandinPlatform::setAddress(const WorkerId &worker, const Address &address)
{
    StandinWorker *found = this->worker(worker);
    if (found != nullptr) {
        found->setAddress(address);
        m_hostList.setWorker(found->info(), TimePoint());
    }
}

StandinWorker *StandinPlatform::worker(const WorkerId &id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : found->second.get();
}

std::map<std::string, std::uint64_t> StandinPlatform::counts() const
{
    std::map<std::string, std::uint64_t> counts = m_store.counts();
    counts["hosts"] = m_hostListCalls;
    return counts;
}

bool StandinPlatform::losesReply(const StoreRequest &request)
{
    const std::string *key = writtenKey(request);
    if (m_lostReplies == 0 || key == nullptr || !key->starts_with(m_lostPrefix)) {
        return false;
    }
    --m_lostReplies;
    return true;
}

StandinDelivery StandinPlatform::workerDelivery(const WorkerId &worker)
{
    const auto found = m_workerFaults.find(worker);
    if (found == m_workerFaults.end()) {
        return StandinDelivery::Answered;
    }
    WorkerFaults &faults = found->second;
    if (faults.frozen) {
        return StandinDelivery::Silent;
    }
    if (faults.lostReplies > 0) {
        --faults.lostReplies;
        return StandinDelivery::Lost;
    }
    if (faults.truncations > 0) {
        --faults.truncations;
        return StandinDelivery::Truncated;
    }
    return StandinDelivery::Answered;
}

} // namespace currantring
