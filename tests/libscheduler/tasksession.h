#pragma once

#include "taskcase.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace currantring {

/** One session under the faults of one row. Thread safety: one thread at a time. */
class TaskSession
{
public:
    using FaultTable = std::map<std::string, std::function<void(TaskSession &, bool)>>;

    explicit TaskSession(const TaskCase &row);

    TaskCaseResult run();
    static const FaultTable &faults();

private:
    static FaultTable hostFaults();
    static FaultTable platformFaults();
    bool play();
    bool reached(const std::string &step);
    void readTranscript();
    void addCrowd();
    void settleOthers();
    void readSlot(const std::string &line);
    void requestChanges();
    void heal();
    void settle(const TaskId &task, const std::string &wanted);
    HostId servingHost();
    [[nodiscard]] const StandinRun *lastRun(const TaskId &task);
    void problem(const std::string &what);
    void cutFromPeers(const HostId &host, bool cut);
    WorkerId targetWorker();
    void cutOthersFromWorkers(bool cut);
    void cutWritersSide(bool cut);

    TaskCase m_row;
    VirtualCluster m_cluster;
    TaskCaseResult m_result;
    TaskId m_moved = makeTaskId(OwnerId("alpha"), SubmissionKey("moved"));
    TaskId m_cancelled = makeTaskId(OwnerId("beta"), SubmissionKey("cancelled"));
    /** Writer of the last slot about one of the tasks, on which the faults of a host strike. */
    HostId m_writer;
    /** Index of the submission in the cluster's calls. */
    std::map<TaskId, std::size_t> m_others;
    std::set<std::string> m_reached;
    std::size_t m_read = 0;
    bool m_evicted = false;
    bool m_cancelSent = false;
    std::vector<HostId> m_paused;
    std::optional<WorkerId> m_worker;
    std::set<WorkerId> m_othersCutFrom;
};

} // namespace currantring
