#pragma once

#include "jobnode.h"
#include "sitejudge.h"
#include "virtualstore.h"
#include "virtualworker.h"

#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace currantring {

/** What a test wants of the hosts and workers that it starts with. */
struct VirtualSiteOptions
{
    std::uint64_t seed = 1;
    int hosts = 3;
    int workers = 6;
    /** Processors of the hosts, in turn. */
    std::vector<Millicores> processors { Millicores(250) };
    Resources capacity { Millicores(8000), Mebibytes(16'000), AcceleratorCount(1) };
    std::uint32_t attemptLimit = 3;
};

/** One call of a caller and what came of it. */
struct VirtualCall
{
    HostId host;
    CallerCall call;
    TimePoint sentAt {};
    std::optional<CallAnswer> answer;
    TimePoint answeredAt {};
};

/** How the store treats the calls of a host. */
enum class StoreTrouble { None, Silent, Refusing };

/**
 * Whole entry hosts, a store, workers and the messages between them on one virtual clock, with faults thrown by tests.
 *
 * A SiteJudge sees all that truly happens. Everything follows from the seed. Thread safety: one thread at a time.
 */
class VirtualSite
{
public:
    explicit VirtualSite(VirtualSiteOptions options);
    ~VirtualSite();

    // Callers.

    /** Sends a call at @p host with 3 s to be answered; the index names it in calls(). */
    std::size_t send(const HostId &host, CallerCall call);
    /** Submits as the platform's callers do: again, at the next host, until there is a final answer or 12 s are over.
     */
    bool submit(const JobSpec &spec);
    /** Asks as often as it takes for the job's phase, through all hosts in turn; nullopt after 12 s. */
    std::optional<JobPhase> phaseOf(const JobId &job);
    [[nodiscard]] const std::vector<VirtualCall> &calls() const;

    // Time.

    void run(Milliseconds duration);
    /** Runs until @p condition holds; false when it doesn't within @p limit. */
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit);
    /** Runs @p body at a later time. */
    void after(Milliseconds delay, std::function<void()> body);
    [[nodiscard]] TimePoint now() const;
    /** True time of day. */
    [[nodiscard]] WallTime wallNow() const;

    // Faults.

    void killHost(const HostId &host);
    /** Starts a new process on a host that was killed or stopped. */
    void restartHost(const HostId &host);
    HostId addHost();
    void pauseHost(const HostId &host);
    void resumeHost(const HostId &host);
    /**
     * The process is short of processor time: it comes to act once in each @p round only, on all that has come
     * meanwhile, and woke up at the round's beginning. With a round of zero it has all the time that it needs again.
     */
    void starveHost(const HostId &host, Milliseconds round);
    /** A planned stop; the process ends by itself. */
    void stopHost(const HostId &host);
    void stepWallClock(const HostId &host, Milliseconds by);
    void troubleStore(const HostId &host, StoreTrouble trouble);
    void slowStore(Milliseconds perCall);
    /** Each reply to a write is lost with this probability, after the write took effect. */
    void loseStoreReplies(double probability);
    void cutHosts(const HostId &left, const HostId &right, bool isCut);
    void cutWorker(const HostId &host, const WorkerId &worker, bool isCut);
    void cutWorkerFromAll(const WorkerId &worker, bool isCut);
    /** The worker's process ends; calls are refused until it is restarted. */
    void crashWorker(const WorkerId &worker, bool isSilent);
    void restartWorker(const WorkerId &worker);
    /** Each order gets no answer and is carried out 0.3 to 12 s later, with this probability. */
    void applyOrdersLate(double probability);
    /** Each answer to an order is lost with this probability. */
    void loseOrderAnswers(double probability);
    /** Puts the worker's entry into the list, or takes it out. */
    void listWorker(const WorkerId &worker, bool isListed);
    void drainWorker(const WorkerId &worker);
    void configure(const SiteConfiguration &configuration);

    // What there is.

    VirtualStore &store();
    VirtualWorker &worker(const WorkerId &worker);
    SiteJudge &judge();
    [[nodiscard]] std::vector<HostId> hosts() const;
    [[nodiscard]] std::vector<WorkerId> workers() const;
    [[nodiscard]] bool isAlive(const HostId &host) const;
    [[nodiscard]] bool isReady(const HostId &host) const;
    /** The host that takes itself for the writer; nullopt when there is none or more than one. */
    [[nodiscard]] std::optional<HostId> writer() const;
    [[nodiscard]] std::size_t writers() const;
    [[nodiscard]] const SiteConfiguration &configuration() const;
    [[nodiscard]] ConfigurationVersion versionOn(const HostId &host) const;
    [[nodiscard]] std::size_t logCount(std::string_view event) const;
    /** Lines of all hosts, when recording. */
    [[nodiscard]] const std::vector<std::string> &transcript() const;
    void record(bool isOn);

private:
    struct Host;
    struct Place;
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
    struct Watch
    {
        KvWatch request;
        std::function<void(const KvResult &)> reply;
    };
    struct Hold
    {
        WorkerId worker;
        LookOrder order;
        std::function<void()> reply;
    };

    void at(TimePoint when, std::function<void()> body);
    void step(TimePoint limit);
    [[nodiscard]] TimePoint nextTime(TimePoint limit) const;
    void settle();
    void noteFact(const WorkerFact &fact);
    void settleGangs();
    void startProcess(Host &host);
    JobDriver makeDriver(Host &host, std::uint64_t process);
    void playRound(Host &host, std::uint64_t process);
    void emptyInbox(Host &host);
    [[nodiscard]] WallTime wallOn(const Host &host, TimePoint when) const;
    /** Runs @p body in the process's turn, or when it is resumed; never when it has ended. */
    void deliver(Host &host, std::uint64_t process, std::function<void()> body);
    void callStore(Host &host, std::uint64_t process, const KvRequest &request, Milliseconds timeout,
                   const JobDriver::KvHandler &then);
    void arriveAtStore(Host &host, std::uint64_t process, const KvRequest &request, const JobDriver::KvHandler &then);
    void callWorker(Host &host, std::uint64_t process, const WorkerId &worker, const WorkerOrder &order,
                    Milliseconds timeout, const JobDriver::WorkerHandler &then);
    void arriveAtWorker(Host &host, std::uint64_t process, const WorkerId &worker, const WorkerOrder &order,
                        const JobDriver::WorkerHandler &then);
    void sendPeer(Host &host, const HostId &to, const JobMessage &message);
    Host &find(const HostId &host) const;
    Place &place(const WorkerId &worker) const;
    /** What the list would say of the worker; null when there is none of that name. */
    [[nodiscard]] const WorkerEntry *entryOf(const WorkerId &worker) const;
    [[nodiscard]] Milliseconds latency();
    void log(const Host &host, const LogEvent &event);

    VirtualSiteOptions m_options;
    Random m_random;
    TimePoint m_now { Milliseconds(1'000'000) };
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    VirtualStore m_store;
    SiteJudge m_judge;
    SiteConfiguration m_configuration;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::unique_ptr<Place>> m_places;
    std::map<WorkerId, Place *> m_placeOf;
    std::vector<Watch> m_watches;
    std::vector<Hold> m_holds;
    std::set<std::pair<HostId, HostId>> m_hostCuts;
    std::set<std::pair<HostId, WorkerId>> m_workerCuts;
    Milliseconds m_storeDelay { 4 };
    double m_lostReplies = 0;
    double m_lateOrders = 0;
    double m_lostOrderAnswers = 0;
    std::vector<VirtualCall> m_calls;
    std::map<std::string, std::size_t, std::less<>> m_logCounts;
    std::vector<std::string> m_transcript;
    bool m_isRecording = false;
};

} // namespace currantring
