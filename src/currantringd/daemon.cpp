#include "daemon.h"

#include "log.h"
#include "peermessage.h"

#include <fstream>
#include <random>
#include <utility>

#include <unistd.h>

namespace currantring {

namespace {

std::uint64_t makeSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

std::string_view decodeErrorName(PeerDecodeError error)
{
    switch (error) {
    case PeerDecodeError::NotEncoded:
        return "not-encoded";
    case PeerDecodeError::UnknownKind:
        return "unknown-kind";
    case PeerDecodeError::BadField:
        return "bad-field";
    }
    return "unknown";
}

} // namespace

Daemon::Daemon(DaemonSettings settings, ChartSet charts, OutsideCalls calls, const PeerLinks &peers)
    : m_settings(std::move(settings))
    , m_peerGauges(peers.gauges)
    , m_context(makeSeed())
    , m_node(m_settings.node, std::move(charts), m_context)
    , m_loop(m_context,
             { readMachineClock, [this](Input &input) { handle(input); },
               [this](Action &action) { m_runner.run(action); },
               [this] {
                   m_health.set(m_node.isHealthy(), m_node.state());
               } })
    , m_runner({ std::move(calls), countLinks(peers), m_pools, m_replies, m_metrics,
                 [this](Input input) {
                     m_loop.post(std::move(input));
                 } })
    , m_http(m_settings.http,
             { m_replies, m_health, m_metrics, [this] { refreshGauges(); },
               [this](Input input) {
                   postFromCaller(std::move(input));
               } })
    , m_pools { { "store", m_settings.storeCalls },
                { "watch", m_settings.watchCalls },
                { "worker", m_settings.workerCalls },
                { "endpoint", m_settings.endpointCalls } }
{
}

PeerLinks Daemon::countLinks(const PeerLinks &peers)
{
    PeerLinks counted = peers;
    counted.connect = [this, connect = peers.connect](const HostId &peer, const Address &address) {
        m_links.insert(peer);
        m_linkCount = m_links.size();
        connect(peer, address);
    };
    counted.disconnect = [this, disconnect = peers.disconnect](const HostId &peer) {
        m_links.erase(peer);
        m_linkCount = m_links.size();
        disconnect(peer);
    };
    return counted;
}

Findings Daemon::listen()
{
    return m_http.listen();
}

void Daemon::run()
{
    writeLog({ LogLevel::Info,
               "daemon_started",
               { { "host", m_settings.node.host.value() },
                 { "callers", m_settings.http.callers },
                 { "operators", m_settings.http.operators },
                 { "peers", m_settings.node.peerAddress.value() } } });
    const ClockReading reading = readMachineClock();
    m_context.advance(reading.now, reading.wallNow);
    m_node.start();
    m_health.set(m_node.isHealthy(), m_node.state());
    m_http.start();
    m_loop.run();
    m_health.set(false, m_node.state());
    refuseLeftCallers();
    m_http.stop();
    writeLog({ LogLevel::Info, "daemon_stopped", { { "host", m_settings.node.host.value() } } });
}

void Daemon::askToStop()
{
    m_loop.post(StopAsked {});
}

bool Daemon::takePeerBytes(const HostId &from, std::string_view bytes)
{
    tl::expected<PeerMessage, PeerDecodeError> message = decodePeerMessage(bytes);
    if (!message) {
        m_metrics.countReason("peer_messages_refused", decodeErrorName(message.error()));
        writeLog({ LogLevel::Warning,
                   "peer_message_undecodable",
                   { { "peer", from.value() },
                     { "reason", std::string(decodeErrorName(message.error())) },
                     { "bytes", std::to_string(bytes.size()) } } });
        return false;
    }
    if (!m_loop.offer(PeerArrived { from, std::move(*message) }, m_settings.queuedPeerMessages)) {
        m_metrics.countReason("peer_messages_refused", "queue-full");
    }
    return true;
}

void Daemon::losePeer(const HostId &peer)
{
    m_loop.post(PeerGone { peer });
}

void Daemon::handle(Input &input)
{
    if (auto *store = std::get_if<StoreDone>(&input)) {
        m_context.completeStore(store->call, store->result);
    } else if (auto *worker = std::get_if<WorkerDone>(&input)) {
        m_context.completeWorker(worker->call, worker->result);
    } else if (auto *endpoint = std::get_if<EndpointDone>(&input)) {
        m_context.completeEndpoint(endpoint->call, endpoint->result);
    } else if (const auto *arrived = std::get_if<CallerArrived>(&input)) {
        m_node.handleCaller(arrived->caller, arrived->request);
    } else if (auto *gone = std::get_if<CallerGone>(&input)) {
        m_node.forgetCaller(gone->caller);
    } else if (auto *message = std::get_if<PeerArrived>(&input)) {
        m_node.handlePeer(message->from, message->message);
    } else if (auto *lost = std::get_if<PeerGone>(&input)) {
        m_node.handleLinkLost(lost->peer);
    } else {
        m_node.stop();
    }
}

void Daemon::postFromCaller(Input input)
{
    const auto *arrived = std::get_if<CallerArrived>(&input);
    const CallerToken caller = arrived == nullptr ? CallerToken() : arrived->caller;
    if (!m_loop.post(std::move(input)) && arrived != nullptr) {
        m_replies.complete(caller, { ReplyCode::NotRun, outcomeBody(ReplyCode::NotRun, "host-stopped") });
    }
}

void Daemon::refuseLeftCallers()
{
    for (const Input &input : m_loop.close()) {
        if (const auto *arrived = std::get_if<CallerArrived>(&input)) {
            m_replies.complete(arrived->caller, { ReplyCode::NotRun, outcomeBody(ReplyCode::NotRun, "host-stopped") });
        }
    }
}

void Daemon::refreshGauges()
{
    m_metrics.setGauge("resident_bytes", residentBytes());
    m_metrics.setGauge("peers", static_cast<double>(m_linkCount));
    m_metrics.setGauge("connections", static_cast<double>(m_http.connections()));
    m_metrics.setGauge("callers_waiting", static_cast<double>(m_replies.size()));
    m_metrics.setGauge("store_calls", static_cast<double>(m_pools.store.load()));
    m_metrics.setGauge("worker_calls", static_cast<double>(m_pools.worker.load()));
    m_metrics.setGauge("endpoint_calls", static_cast<double>(m_pools.endpoint.load()));
    m_peerGauges(m_metrics);
    m_metrics.setGauge("healthy", m_health.isHealthy() ? 1 : 0);
}

} // namespace currantring
