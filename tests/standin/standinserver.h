#pragma once

#include "standinplatform.h"

#include <memory>
#include <string>

#include <tl/expected.hpp>

namespace currantring {

/** Where a stand-in listens and what it holds. */
struct StandinServerOptions
{
    /** IP number of all ports. */
    std::string host = "127.0.0.1";
    /** Port of the key-value service, the host list and the faults; 0 takes any free one. */
    int storePort = 0;
    /** Port of the first worker, the others follow; 0 takes any free ones. */
    int workerBasePort = 0;
    /** Connections that the key-value service serves at once; a waiting watch holds one. */
    std::size_t storeConnections = 256;
    /** The addresses in it are filled in at the start. */
    StandinPlatformOptions platform;
};

/**
 * The stand-in of the platform over HTTP: one port for the key-value service, the host list and the faults, and one
 * for each worker.
 *
 * Thread safety: all methods may be called from any thread once start() has returned.
 */
class StandinServer
{
public:
    explicit StandinServer(StandinServerOptions options);
    /** Stops. */
    ~StandinServer();
    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;

    /** Binds all ports and serves; the error says which port is taken. Call once. */
    tl::expected<void, std::string> start();
    /** Ends all connections and threads. Repeating it does nothing. */
    void stop();

    [[nodiscard]] Address storeAddress() const;
    /** Empty when there is no such worker. */
    [[nodiscard]] Address workerAddress(const WorkerId &worker) const;
    /** Throws a fault as POST /v1/faults does. Returns what is wrong with it, or nullopt. */
    std::optional<std::string> throwFault(const nlohmann::json &fault);
    /** The log of what truly ran, as GET /v1/truth gives it. */
    [[nodiscard]] nlohmann::json truth();
    /** Calls by kind, as GET /v1/counts gives them. */
    [[nodiscard]] std::map<std::string, std::uint64_t> counts();

private:
    struct Private;
    std::unique_ptr<Private> m_data;
};

} // namespace currantring
