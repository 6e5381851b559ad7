#pragma once

#include "standinhostlist.h"
#include "standinstore.h"
#include "standintruth.h"
#include "standinworker.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace currantring {

/** What the stand-in platform is told at its start. */
struct StandinPlatformOptions
{
    std::vector<StandinWorkerOptions> workers;
    /** Age of the host list as served. */
    Milliseconds listLag {};
};

/** What becomes of the answer to a call. */
enum class StandinDelivery {
    Answered,
    /** The call took effect, and the connection ends without an answer. */
    Lost,
    /** The call had no effect, and no answer ever comes. */
    Silent,
    /** The call took effect, and its answer is cut short. */
    Truncated,
    /** The call had no effect, and the platform says so. */
    Outage,
};

/** One call's result and how it is delivered. */
template<typename Result>
struct StandinCall
{
    StandinDelivery delivery = StandinDelivery::Answered;
    /** Meaningless for Silent and Outage. */
    Result result;
    /** Time that passes before the answer is sent. */
    Milliseconds delay {};
};

using StandinStoreCall = StandinCall<StoreResult>;
using StandinWorkerCall = StandinCall<WorkerResult>;
using StandinEndpointCall = StandinCall<tl::expected<StandinServing, EndpointError>>;

/** What a client learns of a call. Thread safety: reentrant. */
StoreResult seenByClient(const StandinStoreCall &call);
WorkerResult seenByClient(const StandinWorkerCall &call);
EndpointResult seenByClient(const StandinEndpointCall &call);

/**
 * The whole platform as a pure state machine: key-value service, host list, workers, and the faults that tests throw.
 *
 * Time is passed in and never goes back. Thread safety: one thread at a time.
 */
class StandinPlatform
{
public:
    explicit StandinPlatform(StandinPlatformOptions options);

    /** Carries out one call; a StoreWatch is answered at once, see StandinStore. */
    StandinStoreCall callStore(const StoreRequest &request, TimePoint now);
    /** An unknown worker is answered as one that can't be reached. */
    StandinWorkerCall callWorker(const WorkerId &worker, const WorkerRequest &request, TimePoint now);
    StandinEndpointCall callEndpoint(const EndpointRequest &request, TimePoint now);
    /**
     * Switches a fault as docs/platform-protocol.md says. Returns what is wrong with @p fault, or nullopt.
     * `silentConnections` is known to the server only and is refused here.
     */
    std::optional<std::string> throwFault(const nlohmann::json &fault, TimePoint now);
    /** Brings store and workers up to @p now. Calls do so by themselves for what they concern. */
    void advance(TimePoint now);
    /** When something next happens by itself. */
    [[nodiscard]] std::optional<TimePoint> nextEvent() const;

    /** Whether the key-value service and the host list are out. */
    [[nodiscard]] bool isOut() const;
    StandinStore &store();
    StandinHostList &hostList();
    StandinTruth &truth();
    /** Sets where the worker listens, in every list ever served. Call before the first list is read. */
    void setAddress(const WorkerId &worker, const Address &address);
    /** Null when there is no such worker. */
    StandinWorker *worker(const WorkerId &id);
    /** Calls to the key-value service and the host list by kind. */
    [[nodiscard]] std::map<std::string, std::uint64_t> counts() const;

private:
    struct WorkerFaults
    {
        bool frozen = false;
        std::uint32_t truncations = 0;
        std::uint32_t lostReplies = 0;
    };

    bool losesReply(const StoreRequest &request);
    StandinDelivery workerDelivery(const WorkerId &worker);
    std::optional<std::string> throwStoreFault(const std::string &name, const nlohmann::json &fault);
    std::optional<std::string> throwWorkerFault(const std::string &name, const nlohmann::json &fault, TimePoint now);

    StandinStore m_store;
    StandinHostList m_hostList;
    StandinTruth m_truth;
    std::map<WorkerId, std::unique_ptr<StandinWorker>> m_workers;
    std::map<WorkerId, WorkerFaults> m_workerFaults;
    std::uint64_t m_hostListCalls = 0;
    bool m_outage = false;
    bool m_silent = false;
    Milliseconds m_slowness {};
    std::uint32_t m_lostReplies = 0;
    std::string m_lostPrefix;
};

} // namespace currantring
