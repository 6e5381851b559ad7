#include "standinserver.h"

#include "standinstoreport.h"
#include "standinworkerport.h"

#include <vector>

namespace currantring {

namespace {

/** Connections past those of the endpoint, for the shard writers' commands. */
constexpr std::size_t commandConnections = 32;

} // namespace

struct StandinServer::Private
{
    explicit Private(StandinServerOptions serverOptions)
        : options(std::move(serverOptions))
        , site(options.platform)
        , storePort(site, options.storeConnections, [this] { silenceConnections(); })
    {
        for (const StandinWorkerOptions &worker : options.platform.workers) {
            workerPorts.push_back(std::make_unique<StandinWorkerPort>(site, worker.info.id,
                                                                      worker.info.connections + commandConnections));
        }
    }

    void silenceConnections()
    {
        storePort.server().silenceConnections();
        for (const auto &port : workerPorts) {
            port->server().silenceConnections();
        }
    }

    tl::expected<Address, std::string> listen(StandinHttpServer &server, int port) const
    {
        const int bound = server.start(options.host, port);
        if (bound < 0) {
            return tl::unexpected("can't listen at " + options.host + ":" + std::to_string(port));
        }
        return Address(options.host + ":" + std::to_string(bound));
    }

    tl::expected<void, std::string> startWorkers()
    {
        int port = options.workerBasePort;
        for (const auto &workerPort : workerPorts) {
            const tl::expected<Address, std::string> address = listen(workerPort->server(), port);
            if (!address) {
                return tl::unexpected(address.error());
            }
            site.withPlatform([&workerPort, &address](StandinPlatform &platform, TimePoint) {
                platform.setAddress(workerPort->worker(), *address);
                return true;
            });
            workerAddresses[workerPort->worker()] = *address;
            port += port == 0 ? 0 : 1;
        }
        return {};
    }

    StandinServerOptions options;
    StandinSite site;
    StandinStorePort storePort;
    std::vector<std::unique_ptr<StandinWorkerPort>> workerPorts;
    Address storeAddress;
    std::map<WorkerId, Address> workerAddresses;
};

StandinServer::StandinServer(StandinServerOptions options)
    : m_data(std::make_unique<Private>(std::move(options)))
{
}

StandinServer::~StandinServer()
{
    stop();
}

tl::expected<void, std::string> StandinServer::start()
{
    // The workers come first, so that the first host list already has their addresses.
    tl::expected<void, std::string> workers = m_data->startWorkers();
    if (!workers) {
        return workers;
    }
    const tl::expected<Address, std::string> address =
        m_data->listen(m_data->storePort.server(), m_data->options.storePort);
    if (!address) {
        return tl::unexpected(address.error());
    }
    m_data->storeAddress = *address;
    return {};
}

void StandinServer::stop()
{
    m_data->site.close();
    m_data->storePort.server().finish();
    for (const auto &port : m_data->workerPorts) {
        port->server().finish();
    }
}

Address StandinServer::storeAddress() const
{
    return m_data->storeAddress;
}

Address StandinServer::workerAddress(const WorkerId &worker) const
{
    const auto found = m_data->workerAddresses.find(worker);
    return found == m_data->workerAddresses.end() ? Address() : found->second;
}

std::optional<std::string> StandinServer::throwFault(const nlohmann::json &fault)
{
    if (fault.is_object() && fault.value("fault", "") == "silentConnections") {
        m_data->silenceConnections();
        return std::nullopt;
    }
    return m_data->site.withPlatform(
        [&fault](StandinPlatform &platform, TimePoint now) { return platform.throwFault(fault, now); });
}

nlohmann::json StandinServer::truth()
{
    return m_data->site.withPlatform(
        [](StandinPlatform &platform, TimePoint) { return describeTruth(platform.truth()); });
}

std::map<std::string, std::uint64_t> StandinServer::counts()
{
    return m_data->site.withPlatform([](StandinPlatform &platform, TimePoint) { return platform.counts(); });
}

} // namespace currantring
