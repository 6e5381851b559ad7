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
    : d(std::make_unique<Private>(std::move(options)))
{
}

StandinServer::~StandinServer()
{
    stop();
}

tl::expected<void, std::string> StandinServer::start()
{
    // The workers come first, so that the first host list already has their addresses.
    tl::expected<void, std::string> workers = d->startWorkers();
    if (!workers) {
        return workers;
    }
    const tl::expected<Address, std::string> address = d->listen(d->storePort.server(), d->options.storePort);
    if (!address) {
        return tl::unexpected(address.error());
    }
    d->storeAddress = *address;
    return {};
}

void StandinServer::stop()
{
    d->site.close();
    d->storePort.server().finish();
    for (const auto &port : d->workerPorts) {
        port->server().finish();
    }
}

Address StandinServer::storeAddress() const
{
    return d->storeAddress;
}

Address StandinServer::workerAddress(const WorkerId &worker) const
{
    const auto found = d->workerAddresses.find(worker);
    return found == d->workerAddresses.end() ? Address() : found->second;
}

std::optional<std::string> StandinServer::throwFault(const nlohmann::json &fault)
{
    if (fault.is_object() && fault.value("fault", "") == "silentConnections") {
        d->silenceConnections();
        return std::nullopt;
    }
    return d->site.withPlatform(
        [&fault](StandinPlatform &platform, TimePoint now) { return platform.throwFault(fault, now); });
}

nlohmann::json StandinServer::truth()
{
    return d->site.withPlatform([](StandinPlatform &platform, TimePoint) { return describeTruth(platform.truth()); });
}

} // namespace currantring
