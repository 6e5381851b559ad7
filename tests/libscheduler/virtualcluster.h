#pragma once

#include "node.h"
#include "standinplatform.h"

#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace currantring {

/** What a test wants of the hosts and workers that it starts with. */
struct VirtualClusterOptions
{
    std::uint64_t seed = 1;
    int hosts = 3;
    int workers = 4;
    Resources capacity { Millicores(4000), Mebibytes(8000), AcceleratorCount(1) };
    std::uint32_t slots = 8;
    std::string configuration;
};

/** One caller's request and what came of it. */
struct VirtualCall
{
    HostId host;
    CallerRequest request;
    TimePoint sentAt {};
    std::optional<CallerReply> reply;
    TimePoint repliedAt {};
};

/**
 * Whole nodes, the stand-in platform and the messages between them on one virtual clock, with faults thrown by tests.
 *
 * After every event the promises that can be seen from outside are checked, and what breaks one is noted in
 * violations(). Everything follows from the seed. Thread safety: one thread at a time.
 */
class VirtualCluster
{
public:
    explicit VirtualCluster(VirtualClusterOptions options);
    ~VirtualCluster();

    // Faults.

    HostId addHost();
    /** The process ends at once; what it had sent is still under way. */
    void killHost(const HostId &host);
    /** The process stands still; what is sent to it waits. */
    void pauseHost(const HostId &host);
    void resumeHost(const HostId &host);
    /** Store calls of the host get no answer and have no effect. */
    void cutFromStore(const HostId &host, bool cut);
    /** Messages between the two hosts are lost. */
    void cutBetween(const HostId &left, const HostId &right, bool cut);
    /** Calls of the host to the worker get no answer and have no effect. */
    void cutFromWorker(const HostId &host, const WorkerId &worker, bool cut);
    void stepWallClock(const HostId &host, Milliseconds by);
    /** The next @p count answers to worker commands are lost after they took effect. */
    void loseWorkerReplies(std::uint32_t count);
    void throwFault(const nlohmann::json &fault);
    /** Asks the host for a planned stop. */
    void stopHost(const HostId &host);

    // Callers.

    /** Sends a request at @p host; the index names it in calls(). */
    std::size_t send(const HostId &host, CallerRequest request);
    /** Sends and runs until the reply is there, for 20 s at most. */
    CallerReply ask(const HostId &host, CallerRequest request);
    /** Parsed body of ask(). */
    nlohmann::json askJson(const HostId &host, CallerRequest request);
    [[nodiscard]] const std::vector<VirtualCall> &calls() const;

    // Time.

    void run(Milliseconds duration);
    /** Runs until @p condition holds; false when it doesn't within @p limit. */
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit);
    [[nodiscard]] TimePoint now() const;

    // What there is.

    StandinPlatform &platform();
    /** Hosts that run or are paused, in order of their start. */
    [[nodiscard]] std::vector<HostId> hosts() const;
    [[nodiscard]] std::vector<WorkerId> workers() const;
    [[nodiscard]] bool isServing(const HostId &host) const;
    [[nodiscard]] bool allServing() const;
    [[nodiscard]] ConfigurationVersion versionOn(const HostId &host) const;
    /** State of a task as asked at @p host; empty when it isn't known now. */
    std::string taskState(const HostId &host, const TaskId &task);
    /** Writer of the shard as the first serving host sees it. */
    std::optional<HostId> writerOf(ShardId shard);

    /** Broken promises, in the order seen. */
    [[nodiscard]] const std::vector<std::string> &violations() const;
    /** One line for each request, answer, store write and worker command; empty unless recording. */
    [[nodiscard]] const std::vector<std::string> &transcript() const;
    void recordTranscript(bool on);
    /** Log lines of all hosts with the given event name. */
    [[nodiscard]] std::size_t logCount(const std::string &event) const;

private:
    struct Host;
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::shared_ptr<std::function<void()>> body;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void step(TimePoint limit);
    void at(TimePoint when, std::function<void()> body);
    /** Runs @p body in the host's turn, now or when it is resumed; never when it is dead. */
    void deliver(Host &host, std::function<void(Host &)> body);
    void turn(Host &host, const std::function<void(Host &)> &body);
    void carryOut(Host &host, const Action &action);
    void carryOutStore(Host &host, const StoreCallAction &action);
    void carryOutWatch(Host &host, CallId call, const StoreWatch &watch, TimePoint until);
    void carryOutWorker(Host &host, const WorkerCallAction &action);
    void carryOutEndpoint(Host &host, const EndpointCallAction &action);
    void carryOutPeer(Host &host, const PeerSendAction &action);
    void carryOutReply(const Host &host, const CallerReplyAction &action);
    void noteLog(const Host &host, const LogEvent &event);
    void checkPromises();
    void checkReply(const VirtualCall &call);
    void checkAccount(const nlohmann::json &account);
    void violation(const std::string &what);
    void record(const std::string &line);
    [[nodiscard]] Milliseconds latency();
    Host *find(const HostId &host) const;

    VirtualClusterOptions m_options;
    ChartSet m_charts;
    Random m_random;
    TimePoint m_now {};
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::unique_ptr<StandinPlatform> m_platform;
    std::vector<std::unique_ptr<Host>> m_hosts;
    int m_lastHost = 0;
    std::set<std::pair<HostId, HostId>> m_cuts;
    std::set<std::pair<HostId, WorkerId>> m_workerCuts;
    std::uint32_t m_lostWorkerReplies = 0;
    std::vector<VirtualCall> m_calls;
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_story;
    std::map<HostId, std::uint64_t> m_versions;
    std::map<std::string, std::size_t> m_logCounts;
    std::vector<std::string> m_violations;
    std::vector<std::string> m_transcript;
    bool m_recording = false;
    std::size_t m_doubledSeen = 0;
};

/** A document with owners alpha and beta and the service booking, with short leases for tests. */
std::string testConfiguration(std::uint32_t shards = 4);
/** A batch task that runs for @p runTime. */
SubmitTask batchTask(const std::string &key, Milliseconds runTime, Milliseconds deadline = std::chrono::minutes(10));
SubmitTask watcherTask(const std::string &key);
CallService serviceCall(const std::string &request, bool idempotent, Milliseconds serviceTime = Milliseconds(20));

} // namespace currantring
