#include "settings.h"
#include "standinserver.h"

#include <csignal>
#include <iostream>

namespace {

using namespace currantring;

const std::vector<OptionSpec> &optionSpecs()
{
    static const std::vector<OptionSpec> specs {
        { "listen", OptionKind::AddressAndPort, "", 0, 0, "127.0.0.1:7100", false,
          "key-value service, host list and faults" },
        { "workers", OptionKind::Integer, "", 1, 256, "4", false, "count of workers" },
        { "worker-base-port", OptionKind::Integer, "", 0, 65000, "7200", false, "first worker's port; 0 takes any" },
        { "millicores", OptionKind::Integer, "", 1, 1'000'000, "8000", false, "processors of each worker" },
        { "mebibytes", OptionKind::Integer, "MiB", 1, 10'000'000, "16384", false, "memory of each worker" },
        { "accelerators", OptionKind::Integer, "", 0, 1000, "0", false, "accelerators of each worker" },
        { "slots", OptionKind::Integer, "", 1, 10'000, "8", false, "requests that an endpoint serves at once" },
        { "connections", OptionKind::Integer, "", 1, 10'000, "64", false, "connections that an endpoint takes" },
        { "services", OptionKind::Text, "", 0, 0, "echo", false, "services of each worker, separated by commas" },
        { "list-lag-ms", OptionKind::Integer, "ms", 0, 600'000, "0", false, "age of the host list" },
        { "service-ms", OptionKind::Integer, "ms", 0, 600'000, "5", false, "time that a request takes" },
        { "usage-lag-ms", OptionKind::Integer, "ms", 0, 600'000, "0", false, "age of the usage in reports" },
    };
    return specs;
}

/** Workers are spread over racks of four and data centres of two racks. */
StandinWorkerOptions workerOptions(const Settings &settings, std::int64_t index)
{
    StandinWorkerOptions options;
    options.info.id = WorkerId("w" + std::to_string(index));
    options.info.rack = RackId("r" + std::to_string(index / 4));
    options.info.dataCentre = DataCentreId("d" + std::to_string(index / 8));
    options.info.capacity = { Millicores(settings.integer("millicores")), Mebibytes(settings.integer("mebibytes")),
                              AcceleratorCount(settings.integer("accelerators")) };
    options.info.slots = static_cast<std::uint32_t>(settings.integer("slots"));
    options.info.connections = static_cast<std::uint32_t>(settings.integer("connections"));
    for (const std::string &service : settings.list("services")) {
        options.info.services.emplace_back(service);
    }
    options.serviceTime = Milliseconds(settings.integer("service-ms"));
    options.usageLag = Milliseconds(settings.integer("usage-lag-ms"));
    // Each worker's own clock reads something else.
    options.clockOffset = WorkerTime(1'000'000 * (index + 1));
    return options;
}

StandinServerOptions serverOptions(const Settings &settings)
{
    StandinServerOptions options;
    const std::string listen = settings.text("listen");
    const std::size_t colon = listen.rfind(':');
    options.host = listen.substr(0, colon);
    options.storePort = std::stoi(listen.substr(colon + 1));
    options.workerBasePort = static_cast<int>(settings.integer("worker-base-port"));
    options.platform.listLag = Milliseconds(settings.integer("list-lag-ms"));
    for (std::int64_t index = 0; index < settings.integer("workers"); ++index) {
        options.platform.workers.push_back(workerOptions(settings, index));
    }
    return options;
}

/** Blocks SIGINT and SIGTERM in this thread and those it starts, so that main() can wait for them. */
sigset_t blockEndSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

int main(int argc, char **argv)
{
    Settings settings("currantring-standin", "Plays the platform for tests: key-value service, host list, workers.",
                      optionSpecs());
    const Settings::Outcome outcome = settings.read(argc, argv);
    if (outcome == Settings::Outcome::Invalid) {
        for (const Finding &finding : settings.findings()) {
            std::cerr << formatFinding(finding) << '\n';
        }
        return 2;
    }
    if (outcome != Settings::Outcome::Run) {
        std::cout << settings.output();
        return 0;
    }
    const sigset_t signals = blockEndSignals();
    StandinServer server(serverOptions(settings));
    const tl::expected<void, std::string> started = server.start();
    if (!started) {
        std::cerr << "currantring-standin: " << started.error() << '\n';
        return 1;
    }
    std::cout << "listening at " << server.storeAddress() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    server.stop();
    return 0;
}
