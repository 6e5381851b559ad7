#include "contractsubject.h"

#include <chrono>
#include <stdexcept>

namespace currantring {

namespace {

constexpr Milliseconds patience(30'000);
constexpr Milliseconds haste(150);

HttpClientOptions clientOptions(Milliseconds timeout)
{
    HttpClientOptions options;
    options.connectTimeout = timeout;
    options.requestTimeout = timeout;
    return options;
}

StandinServerOptions contractServer()
{
    StandinServerOptions options;
    options.platform = contractPlatform();
    return options;
}

void check(const std::optional<std::string> &mistake)
{
    if (mistake) {
        throw std::runtime_error(*mistake);
    }
}

/** Starts @p server before the clients take its address. */
Address started(StandinServer &server)
{
    const tl::expected<void, std::string> outcome = server.start();
    if (!outcome) {
        throw std::runtime_error(outcome.error());
    }
    return server.storeAddress();
}

} // namespace

StandinPlatformOptions contractPlatform()
{
    StandinWorkerOptions worker;
    worker.info.id = WorkerId("w0");
    worker.info.rack = RackId("r0");
    worker.info.dataCentre = DataCentreId("d0");
    worker.info.capacity = { Millicores(1000), Mebibytes(1000), AcceleratorCount(1) };
    worker.info.slots = 2;
    worker.info.connections = 8;
    worker.info.services = { ServiceName("echo") };
    worker.clockOffset = WorkerTime(5'000'000);
    return { { worker }, Milliseconds(0) };
}

TimePoint PureSubject::step()
{
    m_now += Milliseconds(1);
    return m_now;
}

StoreResult PureSubject::store(const StoreRequest &request)
{
    return seenByClient(m_platform.callStore(request, step()));
}

WorkerResult PureSubject::command(const WorkerRequest &request)
{
    return seenByClient(m_platform.callWorker(WorkerId("w0"), request, step()));
}

EndpointResult PureSubject::serve(const EndpointRequest &request)
{
    return seenByClient(m_platform.callEndpoint(request, step()));
}

StoreResult PureSubject::hastyStore(const StoreRequest &request)
{
    return store(request);
}

WorkerResult PureSubject::hastyCommand(const WorkerRequest &request)
{
    return command(request);
}

EndpointResult PureSubject::hastyServe(const EndpointRequest &request)
{
    return serve(request);
}

void PureSubject::occupy(const EndpointRequest &request)
{
    serve(request);
}

void PureSubject::throwFault(const nlohmann::json &fault)
{
    check(m_platform.throwFault(fault, step()));
}

nlohmann::json PureSubject::truth()
{
    return describeTruth(m_platform.truth());
}

bool PureSubject::hasReplacedConnections() const
{
    return true;
}

HttpSubject::HttpSubject()
    : m_server(contractServer())
    , m_store(started(m_server), clientOptions(patience))
    , m_hastyStore(m_server.storeAddress(), clientOptions(haste))
    , m_worker(clientOptions(patience))
    , m_hastyWorker(clientOptions(haste))
    , m_endpoint(clientOptions(patience))
{
}

HttpSubject::~HttpSubject()
{
    m_server.stop();
}

StoreResult HttpSubject::store(const StoreRequest &request)
{
    return m_store(request);
}

WorkerResult HttpSubject::command(const WorkerRequest &request)
{
    return m_worker(m_server.workerAddress(WorkerId("w0")), request);
}

EndpointResult HttpSubject::serve(EndpointRequest request)
{
    request.address = m_server.workerAddress(request.worker);
    request.timeout = patience;
    return m_endpoint(request);
}

StoreResult HttpSubject::hastyStore(const StoreRequest &request)
{
    return m_hastyStore(request);
}

WorkerResult HttpSubject::hastyCommand(const WorkerRequest &request)
{
    return m_hastyWorker(m_server.workerAddress(WorkerId("w0")), request);
}

EndpointResult HttpSubject::hastyServe(EndpointRequest request)
{
    request.address = m_server.workerAddress(request.worker);
    request.timeout = haste;
    return m_endpoint(request);
}

void HttpSubject::occupy(EndpointRequest request)
{
    m_occupants.emplace_back("occupant", [this, request = std::move(request)] { serve(request); });
}

void HttpSubject::throwFault(const nlohmann::json &fault)
{
    check(m_server.throwFault(fault));
}

nlohmann::json HttpSubject::truth()
{
    return m_server.truth();
}

std::map<std::string, std::uint64_t> HttpSubject::counts()
{
    return m_server.counts();
}

bool HttpSubject::hasReplacedConnections() const
{
    return m_hastyStore.connectionsReplaced() + m_hastyWorker.connectionsReplaced() + m_endpoint.connectionsReplaced()
        > 0;
}

bool awaitCondition(const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
    }
    return true;
}

} // namespace currantring
