#pragma once

#include "virtualcluster.h"

#include <functional>
#include <string>
#include <vector>

namespace currantring {

/** Whom the faults of a table strike. */
struct FaultScene
{
    /** Host that the caller asks. */
    HostId entry;
    /** Host that writes the shard concerned. */
    HostId writer;
    HostId other;
    /** Worker that runs the task, or serves, concerned. */
    WorkerId worker;
};

/** One fault as a row. */
struct FaultCase
{
    std::string name;
    std::function<void(VirtualCluster &, const FaultScene &)> strike;
};

/** Every single fault, with "none" as the first row. Thread safety: reentrant. */
const std::vector<FaultCase> &faultTable();
/** Ends all faults but the deaths and planned stops of hosts and the leaving of workers. */
void healAll(VirtualCluster &cluster);

/** A cluster that serves, with a seed of its own. */
std::unique_ptr<VirtualCluster> servingCluster(std::uint64_t seed, const std::string &configuration = {});
/** Waits until the task runs, as the first host tells it. */
void waitRunning(VirtualCluster &cluster, const TaskId &task);
/** Scene around a task that runs: its writer, its worker, and two other hosts. */
FaultScene sceneOf(VirtualCluster &cluster, const TaskId &task);
/** Hosts that live and serve. */
std::vector<HostId> servingHosts(const VirtualCluster &cluster);
/** Waits for the task's end as every serving host tells it, then asks all of them; returns the one account. */
nlohmann::json settledAccount(VirtualCluster &cluster, const TaskId &task);
/** Reports what the cluster has noted as Boost.Test errors. */
void checkNoViolations(const VirtualCluster &cluster);

} // namespace currantring
