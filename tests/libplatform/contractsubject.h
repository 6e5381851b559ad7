#pragma once

#include "httpendpointclient.h"
#include "httpstoreclient.h"
#include "httpworkerclient.h"
#include "standinserver.h"
#include "thread.h"

#include <functional>
#include <string>
#include <vector>

#include <boost/mpl/list.hpp>
#include <boost/test/unit_test.hpp>

namespace currantring {

/** The workers of every subject; "w0" offers "echo" with two slots. */
StandinPlatformOptions contractPlatform();

/** What a contract table runs against: the platform's rules in virtual time, without any transport. */
class PureSubject
{
public:
    StoreResult store(const StoreRequest &request);
    WorkerResult command(const WorkerRequest &request);
    EndpointResult serve(const EndpointRequest &request);
    /** Like store(), command() and serve(), but gives up early when no answer comes. */
    StoreResult hastyStore(const StoreRequest &request);
    WorkerResult hastyCommand(const WorkerRequest &request);
    EndpointResult hastyServe(const EndpointRequest &request);
    /** Holds a slot until the subject ends. */
    void occupy(const EndpointRequest &request);
    void throwFault(const nlohmann::json &fault);
    nlohmann::json truth();
    /** Whether a silent connection was closed for a fresh one, where there are connections. */
    [[nodiscard]] bool hasReplacedConnections() const;

private:
    [[nodiscard]] TimePoint step();

    TimePoint m_now;
    StandinPlatform m_platform { contractPlatform() };
};

/** The stand-in over HTTP through the adapters. */
class HttpSubject
{
public:
    HttpSubject();
    /** Ends the occupying requests. */
    ~HttpSubject();
    HttpSubject(const HttpSubject &) = delete;
    HttpSubject &operator=(const HttpSubject &) = delete;

    StoreResult store(const StoreRequest &request);
    WorkerResult command(const WorkerRequest &request);
    EndpointResult serve(EndpointRequest request);
    StoreResult hastyStore(const StoreRequest &request);
    WorkerResult hastyCommand(const WorkerRequest &request);
    EndpointResult hastyServe(EndpointRequest request);
    void occupy(EndpointRequest request);
    void throwFault(const nlohmann::json &fault);
    nlohmann::json truth();
    std::map<std::string, std::uint64_t> counts();
    [[nodiscard]] bool hasReplacedConnections() const;

private:
    StandinServer m_server;
    HttpStoreClient m_store;
    HttpStoreClient m_hastyStore;
    HttpWorkerClient m_worker;
    HttpWorkerClient m_hastyWorker;
    HttpEndpointClient m_endpoint;
    std::vector<Thread> m_occupants;
};

/** One row of a contract table. */
template<typename Subject>
struct ContractCase
{
    std::string name;
    std::function<void(Subject &)> run;
};

using Subjects = boost::mpl::list<PureSubject, HttpSubject>;

/** Runs each row on a subject of its own. */
template<typename Subject>
void runAll(const std::vector<ContractCase<Subject>> &cases)
{
    for (const ContractCase<Subject> &row : cases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Subject subject;
            row.run(subject);
        }
    }
}

/** Repeats @p condition until it holds; false after a limit that only a fault reaches. */
bool awaitCondition(const std::function<bool()> &condition);

} // namespace currantring
