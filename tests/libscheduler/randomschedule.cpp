#include "randomschedule.h"

#include <algorithm>
#include <array>

namespace currantring {

namespace {

constexpr int steps = 60;
constexpr Milliseconds longestPause(1500);
constexpr Milliseconds settleLimit(200'000);
constexpr std::size_t mostHosts = 5;

VirtualClusterOptions makeOptions(std::uint64_t seed)
{
    VirtualClusterOptions options;
    options.seed = seed;
    return options;
}

/** One run: the cluster, what was thrown at it, and what was accepted from it. */
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_random(seed)
        , m_cluster(makeOptions(seed))
    {
    }

    ScheduleResult run()
    {
        m_cluster.runUntil([this] { return m_cluster.allServing(); }, settleLimit);
        for (int step = 0; step < steps; ++step) {
            if (uniformBelow(m_random, 3) == 0) {
                throwFault();
            } else {
                addWork();
            }
            m_cluster.run(Milliseconds(uniformBelow(m_random, longestPause.count())));
        }
        heal();
        waitForAccepted();
        checkRequests();
        ScheduleResult result = m_result;
        const auto &seen = m_cluster.violations();
        result.violations.insert(result.violations.end(), seen.begin(), seen.end());
        return result;
    }

private:
    HostId anyHost()
    {
        std::vector<HostId> hosts = m_cluster.hosts();
        return hosts.at(uniformBelow(m_random, hosts.size()));
    }

    WorkerId anyWorker()
    {
        const std::vector<WorkerId> workers = m_cluster.workers();
        return workers.at(uniformBelow(m_random, workers.size()));
    }

    TaskId anyTask()
    {
        return m_tasks.empty() ? TaskId("none") : m_tasks.at(uniformBelow(m_random, m_tasks.size()));
    }

    void submit(const SubmitTask &task)
    {
        m_cluster.send(anyHost(), task);
        m_tasks.push_back(makeTaskId(task.owner, task.key));
    }

    void addWork()
    {
        const std::string name = std::to_string(++m_lastName);
        switch (uniformBelow(m_random, 9)) {
        case 0:
        case 1:
            submit(batchTask("b" + name, Milliseconds(uniformBelow(m_random, 4000))));
            break;
        case 2:
            submit(watcherTask("w" + name));
            break;
        case 3: {
            const SubmitTask twice = batchTask("t" + name, Milliseconds(500));
            submit(twice);
            m_cluster.send(anyHost(), twice);
            break;
        }
        case 4:
            m_cluster.send(anyHost(), CancelTask { anyTask(), "random" });
            break;
        case 5:
            m_cluster.send(anyHost(), EvictTask { anyTask(), {}, "random", {} });
            break;
        case 6:
            m_cluster.send(anyHost(), ReadAccount { anyTask() });
            m_cluster.send(anyHost(), ReadTask { anyTask() });
            break;
        default:
            call(name);
        }
    }

    void call(const std::string &name)
    {
        const bool idempotent = uniformBelow(m_random, 2) == 0;
        const CallService request = serviceCall("r" + name, idempotent, Milliseconds(uniformBelow(m_random, 1500)));
        m_cluster.send(anyHost(), request);
        if (uniformBelow(m_random, 3) == 0) {
            m_cluster.send(anyHost(), request); // The caller's own repeat through some host.
        }
    }

    void throwFault()
    {
        ++m_result.faults;
        const bool on = uniformBelow(m_random, 2) == 0;
        const HostId host = anyHost();
        const WorkerId worker = anyWorker();
        switch (uniformBelow(m_random, 13)) {
        case 0:
            replaceHost(host);
            break;
        case 1:
            m_cluster.pauseHost(host);
            m_paused.push_back(host);
            break;
        case 2:
            resumeAll();
            break;
        case 3:
            m_cluster.throwFault({ { "fault", "outage" }, { "on", on } });
            break;
        case 4:
            m_cluster.throwFault({ { "fault", "loseReply" }, { "count", 1 + uniformBelow(m_random, 3) } });
            break;
        case 5:
            m_cluster.throwFault({ { "fault", "freezeWorker" }, { "worker", worker }, { "on", on } });
            break;
        case 6:
            m_cluster.throwFault({ { "fault", "lapseLease" }, { "lease", "all" } });
            break;
        case 7:
            m_cluster.stepWallClock(host, Milliseconds(uniformBelow(m_random, 20'000)) - Milliseconds(10'000));
            break;
        case 8:
            m_cluster.loseWorkerReplies(1 + static_cast<std::uint32_t>(uniformBelow(m_random, 3)));
            break;
        case 9:
            m_cluster.cutFromStore(host, on);
            m_cutFromStore.insert(host);
            break;
        case 10:
            m_cluster.cutFromWorker(host, worker, on);
            m_workerCuts.emplace(host, worker);
            break;
        case 11:
            m_cluster.cutBetween(host, anyHost(), on);
            break;
        default:
            m_cluster.throwFault({ { "fault", "leaving" }, { "worker", worker }, { "on", on } });
        }
    }

    void replaceHost(const HostId &host)
    {
        if (uniformBelow(m_random, 2) == 0) {
            m_cluster.killHost(host);
        } else {
            m_cluster.stopHost(host);
        }
        if (m_cluster.hosts().size() < mostHosts) {
            m_cluster.addHost();
        }
    }

    void resumeAll()
    {
        const std::vector<HostId> alive = m_cluster.hosts();
        for (const HostId &host : std::exchange(m_paused, {})) {
            if (std::ranges::count(alive, host) > 0) {
                m_cluster.resumeHost(host);
            }
        }
    }

    void heal()
    {
        resumeAll();
        m_cluster.throwFault({ { "fault", "outage" }, { "on", false } });
        m_cluster.throwFault({ { "fault", "loseReply" }, { "count", 0 } });
        m_cluster.loseWorkerReplies(0);
        for (const WorkerId &worker : m_cluster.workers()) {
            m_cluster.throwFault({ { "fault", "freezeWorker" }, { "worker", worker }, { "on", false } });
            m_cluster.throwFault({ { "fault", "leaving" }, { "worker", worker }, { "on", false } });
        }
        const std::vector<HostId> alive = m_cluster.hosts();
        for (const HostId &host : m_cutFromStore) {
            m_cluster.cutFromStore(host, false);
        }
        for (const auto &[host, worker] : m_workerCuts) {
            m_cluster.cutFromWorker(host, worker, false);
        }
        for (const HostId &left : alive) {
            for (const HostId &right : alive) {
                m_cluster.cutBetween(left, right, false);
            }
        }
        m_cluster.addHost();
        m_cluster.run(Milliseconds(10'000));
    }

    HostId servingHost()
    {
        for (const HostId &host : m_cluster.hosts()) {
            if (m_cluster.isServing(host)) {
                return host;
            }
        }
        return m_cluster.hosts().front();
    }

    /** Every task that was accepted must come to its end, or run on as a watcher. */
    void waitForAccepted()
    {
        const std::size_t sent = m_cluster.calls().size();
        for (std::size_t index = 0; index < sent; ++index) {
            const VirtualCall call = m_cluster.calls().at(index);
            const auto *submitted = std::get_if<SubmitTask>(&call.request);
            if (submitted == nullptr || !call.reply || call.reply->code != ReplyCode::Ok) {
                continue;
            }
            ++m_result.tasksAccepted;
            const TaskId task = makeTaskId(submitted->owner, submitted->key);
            std::string state;
            const std::set<std::string> good { "succeeded", "cancelled", "failed", "running" };
            const bool settled = m_cluster.runUntil(
                [&] {
                    state = m_cluster.taskState(servingHost(), task);
                    return good.contains(state);
                },
                settleLimit);
            if (!settled) {
                const CallerReply account = m_cluster.ask(servingHost(), ReadAccount { task });
                m_result.violations.push_back("accepted task " + task.value() + " stays in state '" + state
                                              + "': " + account.body);
            }
            m_cluster.ask(servingHost(), ReadAccount { task });
        }
    }

    void checkRequests()
    {
        std::map<RequestId, bool> idempotent;
        std::map<RequestId, bool> onlyNotRun;
        for (const VirtualCall &call : m_cluster.calls()) {
            const auto *service = std::get_if<CallService>(&call.request);
            if (service == nullptr) {
                continue;
            }
            const bool saysNotRun = call.reply && call.reply->code == ReplyCode::NotRun;
            m_result.requestsAnswered += call.reply && call.reply->code == ReplyCode::Ok ? 1 : 0;
            idempotent[service->request] = *service->idempotent;
            const auto known = onlyNotRun.emplace(service->request, true).first;
            known->second = known->second && saysNotRun;
        }
        const StandinTruth &truth = m_cluster.platform().truth();
        for (const auto &[request, mayRepeat] : idempotent) {
            if (!mayRepeat && truth.executionCount(request) > 1) {
                m_result.violations.push_back("request " + request.value() + " isn't idempotent and ran "
                                              + std::to_string(truth.executionCount(request)) + " times");
            }
        }
        for (const auto &[request, notRun] : onlyNotRun) {
            if (notRun && truth.executionCount(request) > 0) {
                m_result.violations.push_back("request " + request.value() + " was said not to have run, and it ran");
            }
        }
    }

    Random m_random;
    VirtualCluster m_cluster;
    ScheduleResult m_result;
    std::vector<TaskId> m_tasks;
    std::vector<HostId> m_paused;
    std::set<HostId> m_cutFromStore;
    std::set<std::pair<HostId, WorkerId>> m_workerCuts;
    int m_lastName = 0;
};

} // namespace

ScheduleResult runRandomSchedule(std::uint64_t seed)
{
    return Schedule(seed).run();
}

} // namespace currantring
