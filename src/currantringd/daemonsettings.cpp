#include "daemonsettings.h"

#include <optional>
#include <random>
#include <utility>

#include <unistd.h>

namespace currantring {

namespace {

OptionSpec integer(std::string_view name, std::string_view unit, std::int64_t minimum, std::int64_t maximum,
                   std::string_view builtIn, std::string_view help)
{
    return { name, OptionKind::Integer, unit, minimum, maximum, builtIn, false, help };
}

OptionSpec address(std::string_view name, std::string_view builtIn, std::string_view help)
{
    return { name, OptionKind::AddressAndPort, "", 0, 0, builtIn, false, help };
}

OptionSpec text(std::string_view name, std::string_view builtIn, std::string_view help)
{
    return { name, OptionKind::Text, "", 0, 0, builtIn, false, help };
}

/** A replaced process must not be taken for its predecessor, so the id is new with each start. */
std::string makeHostId()
{
    std::random_device device;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id = "host-";
    for (int index = 0; index < 12; ++index) {
        id += digits[device() % digits.size()];
    }
    return id;
}

std::optional<LogLevel> parseLogLevel(const std::string &name)
{
    if (name == "debug") {
        return LogLevel::Debug;
    }
    if (name == "info") {
        return LogLevel::Info;
    }
    if (name == "warning") {
        return LogLevel::Warning;
    }
    if (name == "error") {
        return LogLevel::Error;
    }
    return std::nullopt;
}

std::size_t size(const Settings &settings, std::string_view name)
{
    return static_cast<std::size_t>(settings.integer(name));
}

ConnectionLimits readLimits(const Settings &settings)
{
    ConnectionLimits limits;
    limits.connections = size(settings, "connections");
    limits.waiting = size(settings, "waiting-connections");
    limits.headerBytes = size(settings, "header-bytes");
    limits.bodyBytes = size(settings, "body-bytes");
    limits.heldBytes = size(settings, "held-bytes");
    limits.requestTime = settings.duration("request-time");
    limits.writeTime = settings.duration("write-time");
    limits.idleTime = settings.duration("idle-time");
    return limits;
}

std::vector<OptionSpec> makeOptions()
{
    return {
        text("host-id", "", "name of this process among its peers; a new one is made when it is empty"),
        text("data-centre", "local", "data centre in which this host stands"),
        { "store", OptionKind::AddressAndPort, "", 0, 0, "", true,
          "address of the platform's key-value service and host list, IP:port" },
        address("listen-callers", "127.0.0.1:7400", "where callers connect"),
        address("listen-operators", "127.0.0.1:7401", "where operators and currantringctl connect"),
        address("listen-peers", "127.0.0.1:7402", "where the other hosts connect; they are told this address"),
        text("charts", CURRANTRING_CHARTS, "directory of the life cycle charts"),
        text("log-level", "info", "debug, info, warning or error"),
        integer("connections", "", 1, 4096, "64", "connections served at once on each listener"),
        integer("waiting-connections", "", 0, 4096, "16", "accepted connections that wait for their turn"),
        integer("header-bytes", "", 512, 1'048'576, "16384", "largest request header"),
        integer("body-bytes", "", 1024, 16'777'216, "1000000", "largest request body"),
        integer("held-bytes", "", 1'048'576, 1'000'000'000, "33554432",
                "requests of all connections of a listener together; larger ones are refused first beyond it"),
        integer("request-time", "ms", 100, 600'000, "5000", "longest time in which a request must have come in"),
        integer("write-time", "ms", 100, 600'000, "5000", "longest time in which an answer must have been taken"),
        integer("idle-time", "ms", 100, 600'000, "2000", "longest idle time of a kept connection"),
        integer("longest-call", "ms", 100, 3'600'000, "60000", "wait for a call that brings no time of its own"),
        integer("longest-wait", "ms", 100, 600'000, "10000", "wait for the answer to anything but a call"),
        integer("store-calls", "", 1, 256, "8", "calls to the key-value service at once"),
        integer("watch-calls", "", 1, 64, "4", "watches at the key-value service at once"),
        integer("worker-calls", "", 1, 1024, "32", "calls to workers at once"),
        integer("endpoint-calls", "", 1, 4096, "64", "calls to endpoints at once"),
        integer("endpoint-connections", "", 1, 64, "8", "connections to one endpoint at once"),
        integer("waiting-calls", "", 0, 65'536, "1024", "calls of each kind that wait for their turn"),
        integer("queued-peer-messages", "", 16, 1'000'000, "10000", "messages of peers that wait to be handled"),
    };
}

} // namespace

const std::vector<OptionSpec> &daemonOptions()
{
    static const std::vector<OptionSpec> options = makeOptions();
    return options;
}

DaemonSettings readDaemonSettings(const Settings &settings, Findings &findings)
{
    DaemonSettings result;
    const std::string host = settings.text("host-id");
    result.node = { HostId(host.empty() ? makeHostId() : host), Address(settings.text("listen-peers")),
                    DataCentreId(settings.text("data-centre")) };
    result.http = { result.node.host,     settings.text("listen-callers"),   settings.text("listen-operators"),
                    readLimits(settings), settings.duration("longest-call"), settings.duration("longest-wait") };
    result.store = Address(settings.text("store"));
    const std::size_t waiting = size(settings, "waiting-calls");
    result.storeCalls = { size(settings, "store-calls"), waiting };
    result.watchCalls = { size(settings, "watch-calls"), waiting };
    result.workerCalls = { size(settings, "worker-calls"), waiting };
    result.endpointCalls = { size(settings, "endpoint-calls"), waiting };
    result.endpointConnections = size(settings, "endpoint-connections");
    result.queuedPeerMessages = size(settings, "queued-peer-messages");
    result.chartsDirectory = settings.text("charts");
    const std::optional<LogLevel> level = parseLogLevel(settings.text("log-level"));
    if (!level) {
        findings.push_back({ "--log-level", Severity::Error,
                             "expected debug, info, warning or error, saw " + settings.text("log-level") });
    }
    result.logLevel = level.value_or(LogLevel::Info);
    for (const std::string &word : settings.positional()) {
        findings.push_back({ word, Severity::Error, "expected only flags" });
    }
    return result;
}

} // namespace currantring
