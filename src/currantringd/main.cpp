#include "daemon.h"
#include "httpendpointclient.h"
#include "httpstoreclient.h"
#include "httpworkerclient.h"
#include "log.h"
#include "peertransport.h"
#include "thread.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

#include <malloc.h>

using namespace currantring;

namespace {

constexpr int badInput = 2;

int reportFindings(const Findings &findings)
{
    for (const Finding &finding : findings) {
        std::cerr << formatFinding(finding) << '\n';
    }
    return badInput;
}

/**
 * Returns the memory of large bodies to the system when they are freed. By default the threshold rises with the first
 * one, and each thread keeps what its largest body took.
 */
void returnLargeBlocks()
{
    constexpr int largeBlockBytes = 131'072;
    if (::mallopt(M_MMAP_THRESHOLD, largeBlockBytes) == 0) {
        writeLog({ LogLevel::Warning, "allocator_unchanged", {} });
    }
}

/** Blocks the stopping signals in all threads, so that one thread can wait for them. */
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

[[noreturn]] void waitForSignals(sigset_t signals, Daemon &daemon)
{
    while (true) {
        int signal = 0;
        if (sigwait(&signals, &signal) == 0) {
            daemon.askToStop();
        }
    }
}

/** The clients live as long as the process: threads that wait for the platform still use them at its end. */
OutsideCalls makeCalls(const DaemonSettings &settings)
{
    HttpClientOptions endpoints;
    endpoints.connectionsPerAddress = settings.endpointConnections;
    const auto store = std::make_shared<HttpStoreClient>(settings.store);
    const auto worker = std::make_shared<HttpWorkerClient>();
    const auto endpoint = std::make_shared<HttpEndpointClient>(endpoints);
    return { [store](const StoreRequest &request) { return (*store)(request); },
             [worker](const Address &address, const WorkerRequest &request) { return (*worker)(address, request); },
             [endpoint](const EndpointRequest &request) {
                 return (*endpoint)(request);
             } };
}

PeerLinks makeLinks(PeerTransport &transport)
{
    return { [&transport](const HostId &peer, const Address &address) { transport.connect(peer, address); },
             [&transport](const HostId &peer) { transport.disconnect(peer); },
             [&transport](const HostId &peer, std::string bytes) { return transport.send(peer, std::move(bytes)); },
             [&transport](Metrics &metrics) {
                 const PeerTransportCounts counts = transport.counts();
                 metrics.setGauge("peer_bytes_in", static_cast<double>(counts.bytesIn));
                 metrics.setGauge("peer_bytes_out", static_cast<double>(counts.bytesOut));
                 metrics.setGauge("peer_messages_dropped", static_cast<double>(counts.dropped));
                 metrics.setGauge("peer_messages_unconfirmed", static_cast<double>(counts.unconfirmed));
                 metrics.setGauge("peer_garbage", static_cast<double>(counts.garbage));
             } };
}

/** The transport has to exist before the daemon that takes its messages; none come before it is started. */
class Inbox
{
public:
    void deliverTo(Daemon &daemon)
    {
        m_daemon = &daemon;
    }
    PeerTransportHandlers handlers()
    {
        return { [this](const HostId &from, const std::string &bytes) { return m_daemon->takePeerBytes(from, bytes); },
                 [this](const HostId &peer) {
                     m_daemon->losePeer(peer);
                 } };
    }

private:
    Daemon *m_daemon = nullptr;
};

Findings startListening(Daemon &daemon, PeerTransport &transport)
{
    Findings findings = daemon.listen();
    if (const auto started = transport.start(); !started) {
        findings.push_back({ "--listen-peers", Severity::Error, started.error().message });
    }
    return findings;
}

int runDaemon(const DaemonSettings &settings, const ChartSet &charts)
{
    const sigset_t signals = blockSignals();
    startLog(settings.logLevel);
    PeerTransportOptions options { settings.node.host, settings.node.peerAddress, charts.peerLink };
    options.seed = stableHash(settings.node.host.value());
    Inbox inbox;
    PeerTransport transport(std::move(options), inbox.handlers());
    Daemon daemon(settings, charts, makeCalls(settings), makeLinks(transport));
    inbox.deliverTo(daemon);
    const Findings findings = startListening(daemon, transport);
    if (!findings.empty()) {
        return reportFindings(findings);
    }
    const Thread signalThread("signals", [signals, &daemon] { waitForSignals(signals, daemon); });
    daemon.run();
    transport.stop();
    // Calls may still wait for the platform, and nothing that they bring matters any longer.
    std::_Exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    returnLargeBlocks();
    Settings reader("currantringd", "Schedules latency-critical, batch and watching work on shared hosts.",
                    daemonOptions());
    switch (reader.read(argc, argv)) {
    case Settings::Outcome::PrintedHelp:
    case Settings::Outcome::PrintedVersion:
        std::cout << reader.output();
        return 0;
    case Settings::Outcome::Invalid:
        return reportFindings(reader.findings());
    case Settings::Outcome::Run:
        break;
    }
    Findings findings;
    const DaemonSettings settings = readDaemonSettings(reader, findings);
    const tl::expected<ChartSet, Findings> charts = ChartSet::load(settings.chartsDirectory);
    if (!charts) {
        findings.insert(findings.end(), charts.error().begin(), charts.error().end());
    }
    if (!findings.empty()) {
        return reportFindings(findings);
    }
    return runDaemon(settings, *charts);
}
