#include "standinplatform.h"

#include <exception>

namespace currantring {

std::optional<std::string> StandinPlatform::throwFault(const nlohmann::json &fault, TimePoint now)
{
    try {
        const std::string name = fault.at("fault").get<std::string>();
        advance(now);
        if (fault.contains("worker")) {
            return throwWorkerFault(name, fault, now);
        }
        return throwStoreFault(name, fault);
    } catch (const std::exception &error) {
        return std::string("expected a fault as in docs/platform-protocol.md: ") + error.what();
    }
}

std::optional<std::string> StandinPlatform::throwStoreFault(const std::string &name, const nlohmann::json &fault)
{
    if (name == "outage") {
        m_outage = fault.at("on").get<bool>();
    } else if (name == "silentStore") {
        m_silent = fault.at("on").get<bool>();
    } else if (name == "slowness") {
        m_slowness = Milliseconds(fault.at("ms").get<std::int64_t>());
    } else if (name == "loseReply") {
        m_lostReplies = fault.at("count").get<std::uint32_t>();
        m_lostPrefix = fault.value("keyPrefix", std::string());
    } else if (name == "lapseLease" && fault.at("lease") == "all") {
        m_store.lapseAllLeases();
    } else if (name == "lapseLease") {
        m_store.lapseLease(fault.at("lease").get<LeaseId>());
    } else {
        return "unknown fault, or its worker is missing: " + name;
    }
    return std::nullopt;
}

std::optional<std::string> StandinPlatform::throwWorkerFault(const std::string &name, const nlohmann::json &fault,
                                                             TimePoint now)
{
    const auto id = fault.at("worker").get<WorkerId>();
    StandinWorker *worker = this->worker(id);
    if (worker == nullptr) {
        return "unknown worker: " + id.value();
    }
    WorkerFaults &faults = m_workerFaults[id];
    if (name == "freezeWorker") {
        faults.frozen = fault.at("on").get<bool>();
    } else if (name == "truncate") {
        faults.truncations = fault.at("count").get<std::uint32_t>();
    } else if (name == "loseReply") {
        faults.lostReplies = fault.at("count").get<std::uint32_t>();
    } else if (name == "slowWorker") {
        worker->setSlowness(Milliseconds(fault.at("ms").get<std::int64_t>()));
    } else if (name == "leaving") {
        worker->setLeaving(fault.at("on").get<bool>());
        m_hostList.setWorker(worker->info(), now);
    } else if (name == "failing") {
        const bool refuses = fault.value("refuse", false);
        const StandinHealth failing = refuses ? StandinHealth::RefusesAll : StandinHealth::FailsAttempts;
        worker->setHealth(fault.at("on").get<bool>() ? failing : StandinHealth::Sound);
    } else {
        return "unknown fault of a worker: " + name;
    }
    return std::nullopt;
}

} // namespace currantring
