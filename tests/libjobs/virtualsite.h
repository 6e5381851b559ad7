#pragma once

#include "invariantchecker.h"
#include "jobnode.h"
#include "virtualadmission.h"
#include "virtualstore.h"
#include "virtualworker.h"

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace currantring {

/** How many ends the platform's workers list at a time, for sites under a load that needs as many. */
constexpr std::size_t platformListedEnds = 500;
/** Largest value that the platform's store takes, likewise. */
constexpr std::size_t platformValueBytes = 1'048'576;

/** Initial hosts and workers of a VirtualSite. */
struct VirtualSiteOptions
{
    std::uint64_t seed = 1;
    int hosts = 3;
    int workers = 6;
    /** Processors of the hosts, assigned in rotation. */
    std::vector<Millicores> processors { Millicores(250) };
    /** Memory of the hosts, assigned in rotation; 0 when it isn't limited. */
    std::vector<Mebibytes> memory { Mebibytes(0) };
    Resources capacity { Millicores(8000), Mebibytes(16'000), AcceleratorCount(1) };
    std::uint32_t attemptLimit = 3;
    /** How many ends a worker lists at a time. */
    std::size_t listedEnds = 2;
    /** Largest value that the store takes. */
    std::size_t valueBytes = 16'384;
    /** Data centres of the racks, assigned in rotation; with 0 the workers name none. */
    int dataCentres = 0;
    /** Whether the deployment's settings have a bound for evacuations. */
    bool hasEvacuations = false;
    /** See JobNodeOptions::farFactor. */
    std::optional<double> farFactor = std::nullopt;
    VirtualAdmissionOptions admission { .admits = admitsTwoThirds };
};

/** A call to a host and its answer. */
struct VirtualCall
{
    HostId host;
    CallerCall call;
    TimePoint sentAt {};
    std::optional<CallAnswer> answer;
    TimePoint answeredAt {};
};

/** Fault of the store as seen from one host. */
enum class StoreFault {
    None,
    /** It doesn't reply. */
    Silent,
    /** It refuses all calls. */
    Refusing,
    /** It doesn't reply to watches. */
    WatchesSilent,
    /** It carries calls out once the fault is over, in a random order. */
    Holding,
};

/** What happens to a host once the store has carried out its next commit that places a run. */
struct PlacementFault
{
    /** How the store treats the host from then on. */
    StoreFault store = StoreFault::Silent;
    /** After which time the commit is answered nevertheless; nullopt: never. */
    std::optional<Milliseconds> answerAfter;
    /** Whether the host's process is paused, with the answer on its way. */
    bool isPaused = false;
};

/**
 * Deterministic simulation of a site: complete hosts, a store, workers and the network between them on a virtual clock.
 *
 * Tests inject the faults. A InvariantChecker receives the calls, answers and runs. A run depends on the seed only.
 * Thread safety: one thread at a time.
 */
class VirtualSite
{
public:
    explicit VirtualSite(VirtualSiteOptions options);
    ~VirtualSite();

    // Calls.

    /** Sends a call with a timeout of 3 s to @p host; returns its index in calls(). */
    std::size_t send(const HostId &host, CallerCall call);
    /** Submits as the platform's callers do: retries at the next host until the job is accepted; false after 12 s. */
    bool submit(const JobSpec &spec);
    /** Reads the job's phase and retries at the next host until it is found; nullopt after 12 s. */
    std::optional<JobPhase> phaseOf(const JobId &job);
    [[nodiscard]] const std::vector<VirtualCall> &calls() const;

    // Time.

    void run(Milliseconds duration);
    /** Runs until @p condition holds; false when it still doesn't after @p limit. */
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit);
    /** Schedules @p body to run after @p delay. */
    void after(Milliseconds delay, std::function<void()> body);
    [[nodiscard]] TimePoint now() const;
    /** Time of day without the offsets of the hosts' clocks. */
    [[nodiscard]] WallTime wallNow() const;

    // Faults.

    void killHost(const HostId &host);
    /** Starts a new process on a host that was killed or stopped. */
    void restartHost(const HostId &host);
    HostId addHost();
    void pauseHost(const HostId &host);
    void resumeHost(const HostId &host);
    /** Like resumeHost(); the process handles what has arrived meanwhile, and its timers, in a random order. */
    void resumeHostInRandomOrder(const HostId &host);
    /**
     * Simulates a process short of processor time: it runs once per @p period, handles all events received since the
     * last time, and its clock shows the beginning of the period. Zero ends the throttling.
     */
    void throttleHost(const HostId &host, Milliseconds period);
    /** Shuts down in an orderly way; the process exits by itself. */
    void stopHost(const HostId &host);
    void stepWallClock(const HostId &host, Milliseconds by);
    void setStoreFault(const HostId &host, StoreFault fault);
    /** Applies @p fault to the host's next commit that places a run; @p then receives the worker. */
    void failAfterPlacement(const HostId &host, PlacementFault fault, std::function<void(const WorkerId &)> then);
    /** Pauses the next host that claims the shard, with the answer on its way; @p then receives the host. */
    void pauseAfterNextClaim(std::function<void(const HostId &)> then);
    void setStoreDelay(Milliseconds perCall);
    /** While deaf, watches report no changes and no loss of history. */
    void setWatchesDeaf(bool areDeaf);
    /** Ends the connections of all pending watches. */
    void cutWatches();
    /** Leaves all pending watches without an answer, as the platform's store does when it drops its history. */
    void dropWatches();
    /** Loses each reply to a commit with this probability, after the commit took effect. */
    void loseStoreReplies(double probability);
    /** Leaves calls that read entries under @p prefix without an answer. */
    void silencePrefix(const std::string &prefix, bool isSilent);
    void partitionHosts(const HostId &left, const HostId &right, bool isPartitioned);
    void partitionWorker(const HostId &host, const WorkerId &worker, bool isPartitioned);
    void isolateWorker(const WorkerId &worker, bool isPartitioned);
    /** Ends the worker's process; until it is restarted, calls to it are refused, or time out when @p isSilent. */
    void crashWorker(const WorkerId &worker, bool isSilent);
    void restartWorker(const WorkerId &worker);
    /** Delays each order other than a PollOrder by 0.3 to 12 s with this probability, and sends no answer to it. */
    void applyOrdersLate(double probability);
    /** Loses each answer to an order other than a PollOrder with this probability, after the order took effect. */
    void loseOrderAnswers(double probability);
    /** Writes or removes the key that evacuates a data centre, as the operator does. */
    void evacuate(const DataCentreId &dataCentre, bool isEvacuated);
    /** Adds the worker's entry to the store, or removes it. */
    void listWorker(const WorkerId &worker, bool isListed);
    /** The worker announces that it leaves, after at least @p remaining. */
    void drainWorker(const WorkerId &worker, Milliseconds remaining = Milliseconds(0));
    void configure(const SiteConfiguration &configuration);
    /** Delivers a message of @p from that was held back, possibly beyond the end of its sender. */
    void deliverMessage(const HostId &to, const HostId &from, const JobMessage &message);

    // State.

    VirtualStore &store();
    VirtualAdmission &admission();
    VirtualWorker &worker(const WorkerId &worker);
    InvariantChecker &judge();
    [[nodiscard]] std::vector<HostId> hosts() const;
    [[nodiscard]] std::vector<WorkerId> workers() const;
    /** Workers that are up, in service, reachable from all hosts, and neither failing nor hanging. */
    [[nodiscard]] std::vector<WorkerId> soundWorkers() const;
    /** Whether any worker runs the task. */
    [[nodiscard]] bool isRunning(const TaskRef &task) const;
    [[nodiscard]] bool isAlive(const HostId &host) const;
    [[nodiscard]] bool isReady(const HostId &host) const;
    /** Whether the host believes itself to be the writer. */
    [[nodiscard]] bool isWriter(const HostId &host) const;
    /** The host that believes itself to be the writer; nullopt when there is none or more than one. */
    [[nodiscard]] std::optional<HostId> writer() const;
    [[nodiscard]] std::size_t writers() const;
    /** What the writer tracks beside the log, see RunController::trackedWork(); nullopt when there is no one writer. */
    [[nodiscard]] std::optional<std::size_t> trackedWork() const;
    [[nodiscard]] const SiteConfiguration &configuration() const;
    [[nodiscard]] ConfigurationVersion versionOn(const HostId &host) const;
    /** Number of calls that read entries under @p prefix, from all hosts. */
    [[nodiscard]] std::size_t readsOf(const std::string &prefix) const;
    /** How often the processes of all hosts have incremented a counter. */
    [[nodiscard]] std::size_t countOf(std::string_view counter) const;
    [[nodiscard]] std::size_t logCount(std::string_view event) const;
    /** Log lines of all hosts while recording is on. */
    [[nodiscard]] const std::vector<std::string> &transcript() const;
    void record(bool isOn);

private:
    struct Host;
    struct WorkerNode;
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
    /** A connection that carries orders; silent once the life that it leads to has ended. */
    struct OrderChannel
    {
        ChannelMark mark;
        WorkerLife life;
    };
    struct PendingWatch
    {
        KvWatch request;
        std::function<void(const KvResult &)> reply;
        std::shared_ptr<bool> isDropped = std::make_shared<bool>(false);
        /** State of the store in which the watch had nothing to report. */
        std::optional<std::pair<StoreRevision, bool>> checked {};
    };
    struct HeldPoll
    {
        WorkerId worker;
        PollOrder order;
        std::function<void()> reply;
    };

    void at(TimePoint when, std::function<void()> body);
    void step(TimePoint limit);
    [[nodiscard]] TimePoint nextEventTime(TimePoint limit) const;
    void answerPolls();
    void handleRunEvent(const WorkerRunEvent &event);
    void startCompleteGangs();
    void startProcess(Host &host);
    JobDriver makeDriver(Host &host, std::uint64_t process);
    void runThrottlePeriod(Host &host, std::uint64_t process);
    void processInbox(Host &host);
    /** Reports to the checker by which version the host handles a call that was sent at @p sentAt. */
    void noteVersionUse(const Host &host, TimePoint sentAt);
    [[nodiscard]] WallTime wallOn(const Host &host, TimePoint when) const;
    /**
     * Runs @p body at once, or queues it while the process is paused or throttled; drops it when the process has
     * ended.
     */
    void deliver(Host &host, std::uint64_t process, std::function<void()> body);
    void callStore(Host &host, std::uint64_t process, const KvRequest &request, Milliseconds timeout,
                   const JobDriver::KvHandler &then);
    void arriveAtStore(Host &host, const KvRequest &request, const JobDriver::KvHandler &then);
    /** Notes a claim, or applies the fault of a placement; false when the commit isn't to be answered as usual. */
    bool handleCommitted(Host &host, const KvCommit &commit, const KvResult &result, const JobDriver::KvHandler &then);
    void callWorker(Host &host, std::uint64_t process, const WorkerTarget &target, const WorkerOrder &order,
                    Milliseconds timeout, const JobDriver::WorkerHandler &then);
    /** The connection from a host's process that may carry an order to @p target; drops one of a former life. */
    std::optional<OrderChannel> findOrderChannel(const Host &host, std::uint64_t process, const WorkerTarget &target);
    /** Opens a connection for orders to the worker's present life. */
    OrderChannel openOrderChannel(const Host &host, std::uint64_t process, WorkerNode &node);
    void arriveAtWorker(Host &host, const WorkerId &worker, const WorkerOrder &order,
                        const JobDriver::WorkerHandler &then);
    void askAdmission(Host &host, std::uint64_t process, const StepRef &step, const std::vector<WorkerId> &workers,
                      Milliseconds timeout, const JobDriver::AdmissionHandler &then);
    void sendPeer(Host &host, const HostId &to, const JobMessage &message);
    Host &find(const HostId &host) const;
    WorkerNode &workerNode(const WorkerId &worker) const;
    /** The worker's present entry; null when the worker is unknown. */
    [[nodiscard]] const WorkerEntry *entryOf(const WorkerId &worker) const;
    [[nodiscard]] Milliseconds latency();
    void log(const Host &host, const LogEvent &event);

    VirtualSiteOptions m_options;
    Random m_random;
    TimePoint m_now { Milliseconds(1'000'000) };
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    VirtualStore m_store;
    VirtualAdmission m_admission;
    InvariantChecker m_judge;
    SiteConfiguration m_configuration;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::unique_ptr<WorkerNode>> m_workers;
    std::map<WorkerId, WorkerNode *> m_workersById;
    std::vector<PendingWatch> m_pendingWatches;
    std::vector<HeldPoll> m_heldPolls;
    std::set<std::pair<HostId, HostId>> m_hostCuts;
    std::set<std::pair<HostId, WorkerId>> m_workerCuts;
    std::set<std::string> m_silentPrefixes;
    std::map<std::string, std::size_t> m_reads;
    std::function<void(const HostId &)> m_onNextClaim;
    std::map<std::string, std::size_t, std::less<>> m_counters;
    Milliseconds m_storeDelay { 4 };
    bool m_areWatchesDeaf = false;
    bool m_isEndingGang = false;
    /** While a worker carries out an order that was sent to its former life. */
    bool m_isOrderOfFormerLife = false;
    /** When the delay of the store's replies last changed. */
    TimePoint m_storeDelayChangedAt {};
    double m_storeReplyLoss = 0;
    double m_lateOrderProbability = 0;
    double m_orderAnswerLoss = 0;
    /** The connections for orders that were established. */
    ChannelMark m_lastChannel;
    std::vector<VirtualCall> m_calls;
    std::map<std::string, std::size_t, std::less<>> m_logCounts;
    std::vector<std::string> m_transcript;
    bool m_isRecording = false;
};

} // namespace currantring
