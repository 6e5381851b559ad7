#include "taskcase.h"

#include "accountcheck.h"
#include "ledgerrecord.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>

namespace currantring {

namespace {

constexpr Milliseconds runTime(3000);
constexpr Milliseconds runBeforeEviction(700);
constexpr Milliseconds stepLimit(30'000);
constexpr Milliseconds settleLimit(200'000);
/** Steps at which a checkpoint of the evicted task is in the ledger. */
constexpr std::array<std::string_view, 3> stepsWithCheckpoint { "attempt-ended", "placed again", "resume command" };

VirtualClusterOptions makeOptions(const TaskCase &row)
{
    VirtualClusterOptions options;
    options.seed = row.seed;
    options.configuration = testConfiguration(row.shards);
    return options;
}

/** One session under faults. */
class Session
{
public:
    explicit Session(const TaskCase &row)
        : m_row(row)
        , m_cluster(makeOptions(row))
        , m_writer("h1")
    {
    }

    TaskCaseResult run();
    static const std::map<std::string, std::function<void(Session &, bool)>> &faults();

private:
    bool play();
    bool reached(const std::string &step);
    void readTranscript();
    void addCrowd();
    void settleCrowd();
    void readSlot(const std::string &line);
    void requestChanges();
    void heal();
    void settle(const TaskId &task, const std::string &wanted);
    HostId servingHost();
    [[nodiscard]] const StandinRun *lastRun(const TaskId &task);
    void problem(const std::string &what);
    void cutFromPeers(const HostId &host, bool cut);
    WorkerId targetWorker();
    void cutOthersFromWorker(bool cut);

    TaskCase m_row;
    VirtualCluster m_cluster;
    TaskCaseResult m_result;
    TaskId m_moved = makeTaskId(OwnerId("alpha"), SubmissionKey("moved"));
    TaskId m_cancelled = makeTaskId(OwnerId("beta"), SubmissionKey("cancelled"));
    /** Writer of the last slot about one of the tasks, on which the faults of a host strike. */
    HostId m_writer;
    /** Index of the submission in the cluster's calls. */
    std::map<TaskId, std::size_t> m_crowd;
    std::set<std::string> m_reached;
    std::size_t m_read = 0;
    bool m_evicted = false;
    bool m_cancelSent = false;
    std::vector<HostId> m_paused;
    std::optional<WorkerId> m_worker;
};

TaskCaseResult Session::run()
{
    m_cluster.runUntil([this] { return m_cluster.allServing(); }, settleLimit);
    m_cluster.run(Milliseconds(2000));
    m_cluster.recordTranscript(true);
    m_cluster.send(HostId("h2"), batchTask("moved", runTime));
    m_cluster.send(HostId("h3"), watcherTask("cancelled"));
    addCrowd();
    m_result.struck = m_cluster.runUntil([this] { return play(); }, stepLimit);
    if (m_result.struck) {
        for (const std::string &fault : m_row.faults) {
            faults().at(fault)(*this, true);
        }
        m_cluster.runUntil(
            [this] {
                play();
                return false;
            },
            m_row.hold);
    }
    heal();
    settle(m_moved, "succeeded");
    m_cluster.ask(servingHost(), CancelTask { m_cancelled, "session" });
    settle(m_cancelled, "cancelled");
    settleCrowd();
    const bool wasCheckpointed = std::ranges::count(stepsWithCheckpoint, m_row.step) > 0;
    if (m_result.struck && wasCheckpointed && m_result.resumes == 0) {
        problem("the eviction was recorded, and no resume was seen");
    }
    const auto &seen = m_cluster.violations();
    m_result.problems.insert(m_result.problems.end(), seen.begin(), seen.end());
    for (const std::string &what : peakProblems(m_cluster, makeOptions(m_row))) {
        problem(what);
    }
    return m_result;
}

bool Session::play()
{
    readTranscript();
    requestChanges();
    return m_reached.contains(m_row.step);
}

/** Tasks whose use isn't what they declare, and requests, all at once. */
void Session::addCrowd()
{
    static constexpr std::array<int, 3> usedMillicores { 4000, 200, 1000 };
    for (int index = 0; index < m_row.crowd; ++index) {
        SubmitTask task = batchTask("crowd" + std::to_string(index), Milliseconds(800));
        task.spec.declared.processors = Millicores(index % 2 == 0 ? 1000 : 1500);
        task.spec.declared.accelerators = AcceleratorCount(index % 5 == 0 ? 1 : 0);
        const nlohmann::json program = { { "runMs", 800 },
                                         { "usedMillicores", usedMillicores.at(index % 3) },
                                         { "usedMebibytes", 9000 } };
        task.spec.program = program.dump();
        const HostId host("h" + std::to_string(1 + index % 3));
        m_crowd.emplace(makeTaskId(task.owner, task.key), m_cluster.send(host, task));
        m_cluster.send(host, serviceCall("r" + std::to_string(index), false, Milliseconds(500)));
    }
}

void Session::readTranscript()
{
    const std::vector<std::string> &lines = m_cluster.transcript();
    for (; m_read < lines.size(); ++m_read) {
        const std::string &line = lines.at(m_read);
        if (line.find(" store put by ") != std::string::npos) {
            readSlot(line);
        }
        for (const char *command : { "start", "checkpoint", "stop" }) {
            const TaskId &task = std::string_view(command) == "stop" ? m_cancelled : m_moved;
            if (line.find(std::string(" ") + command + " " + task.value() + " ") != std::string::npos) {
                m_reached.insert(m_reached.contains("attempt-ended") && task == m_moved
                                     ? std::string("resume command")
                                     : command + std::string(" command"));
            }
        }
    }
}

void Session::readSlot(const std::string &line)
{
    const std::size_t value = line.find(" ok {");
    const std::optional<LedgerSlot> slot =
        value == std::string::npos ? std::nullopt : decodeSlot(std::string_view(line).substr(value + 4));
    for (const TimedRecord &timed : slot ? slot->records : std::vector<TimedRecord> {}) {
        const std::string name(recordName(timed.record));
        const bool isAgain = name == "attempt-placed" && m_reached.contains("attempt-ended");
        if (taskOf(timed.record) == m_moved) {
            m_writer = m_result.struck ? m_writer : slot->writer;
            m_reached.insert(isAgain ? "placed again" : name);
        } else if (taskOf(timed.record) == m_cancelled && name == "cancel-requested") {
            m_writer = m_result.struck ? m_writer : slot->writer;
            m_reached.insert(name);
        }
    }
}

void Session::requestChanges()
{
    const StandinRun *run = lastRun(m_moved);
    const bool isDue = run != nullptr && !run->end && m_cluster.now() - run->start >= runBeforeEviction;
    if (isDue && !m_evicted && m_reached.contains("attempt-started")) {
        m_reached.insert("before eviction");
        // A fault that is to strike before it is thrown first, so that the request is sent by the next turn.
        if (m_row.step != "before eviction" || m_result.struck) {
            m_evicted = true;
            m_cluster.send(servingHost(), EvictTask { m_moved, m_cancelled, "session", {} });
        }
    }
    const bool isCancelDue = m_reached.contains("placed again") || m_row.step == "cancel-requested";
    const StandinRun *other = lastRun(m_cancelled);
    if (!m_cancelSent && isCancelDue && other != nullptr && !other->end && m_reached.contains("eviction-requested")) {
        m_cancelSent = true;
        m_cluster.send(servingHost(), CancelTask { m_cancelled, "session" });
    }
}

const StandinRun *Session::lastRun(const TaskId &task)
{
    const std::vector<StandinRun> &runs = m_cluster.platform().truth().runs();
    const auto found =
        std::find_if(runs.rbegin(), runs.rend(), [&](const StandinRun &run) { return run.key.task == task; });
    return found == runs.rend() ? nullptr : &*found;
}

HostId Session::servingHost()
{
    for (const HostId &host : m_cluster.hosts()) {
        if (m_cluster.isServing(host) && std::ranges::count(m_paused, host) == 0) {
            return host;
        }
    }
    return m_cluster.hosts().front();
}

void Session::problem(const std::string &what)
{
    m_result.problems.push_back(what);
}

void Session::cutFromPeers(const HostId &host, bool cut)
{
    for (const HostId &other : m_cluster.hosts()) {
        if (other != host) {
            m_cluster.cutBetween(host, other, cut);
        }
    }
}

WorkerId Session::targetWorker()
{
    if (!m_worker) {
        const StandinRun *run = lastRun(m_moved);
        m_worker = run == nullptr ? WorkerId("w1") : run->worker;
    }
    return *m_worker;
}

void Session::cutOthersFromWorker(bool cut)
{
    for (const HostId &host : m_cluster.hosts()) {
        if (host != m_writer) {
            m_cluster.cutFromWorker(host, targetWorker(), cut);
        }
    }
}

/** Each fault is switched on, and off when it is healed. */
const std::map<std::string, std::function<void(Session &, bool)>> &Session::faults()
{
    static const std::map<std::string, std::function<void(Session &, bool)>> table {
        { "writer killed",
          [](Session &s, bool on) {
              if (on && std::ranges::count(s.m_cluster.hosts(), s.m_writer) > 0) {
                  s.m_cluster.killHost(s.m_writer);
                  s.m_cluster.addHost();
              }
          } },
        { "writer paused",
          [](Session &s, bool on) {
              if (on) {
                  s.m_cluster.pauseHost(s.m_writer);
                  s.m_paused.push_back(s.m_writer);
              }
          } },
        { "store outage",
          [](Session &s, bool on) {
              s.m_cluster.throwFault({ { "fault", "outage" }, { "on", on } });
          } },
        { "store reply lost",
          [](Session &s, bool on) {
              s.m_cluster.throwFault({ { "fault", "loseReply" }, { "count", on ? 1 : 0 }, { "keyPrefix", "ledger/" } });
          } },
        { "worker reply lost",
          [](Session &s, bool on) {
              s.m_cluster.loseWorkerReplies(on ? 1 : 0);
          } },
        { "worker frozen",
          [](Session &s, bool on) {
              s.m_cluster.throwFault({ { "fault", "freezeWorker" }, { "worker", s.targetWorker() }, { "on", on } });
          } },
        { "leases lapsed",
          [](Session &s, bool on) {
              if (on) {
                  s.m_cluster.throwFault({ { "fault", "lapseLease" }, { "lease", "all" } });
              }
          } },
        { "clock step",
          [](Session &s, bool on) {
              s.m_cluster.stepWallClock(s.m_writer, Milliseconds(on ? 10'000 : -10'000));
          } },
        { "writer cut from store",
          [](Session &s, bool on) {
              s.m_cluster.cutFromStore(s.m_writer, on);
          } },
        { "writer cut from peers",
          [](Session &s, bool on) {
              s.cutFromPeers(s.m_writer, on);
          } },
        { "writer cut from worker",
          [](Session &s, bool on) {
              s.m_cluster.cutFromWorker(s.m_writer, s.targetWorker(), on);
          } },
        { "others cut from worker",
          [](Session &s, bool on) {
              s.cutOthersFromWorker(on);
          } },
    };
    return table;
}

void Session::heal()
{
    const std::vector<HostId> alive = m_cluster.hosts();
    for (const HostId &host : std::exchange(m_paused, {})) {
        if (std::ranges::count(alive, host) > 0) {
            m_cluster.resumeHost(host);
        }
    }
    for (const std::string &fault : m_row.faults) {
        if (m_result.struck) {
            faults().at(fault)(*this, false);
        }
    }
    m_cluster.run(Milliseconds(5000));
}

void Session::settle(const TaskId &task, const std::string &wanted)
{
    std::string state;
    const bool settled = m_cluster.runUntil(
        [&] {
            state = m_cluster.taskState(servingHost(), task);
            return state == wanted;
        },
        settleLimit);
    const CallerReply account = m_cluster.ask(servingHost(), ReadAccount { task });
    if (!settled) {
        problem("task " + task.value() + " is '" + state + "' in place of '" + wanted + "': " + account.body);
    }
    if (account.code == ReplyCode::Ok) {
        const AccountCheck check { m_cluster.platform().truth(), task, m_row.faults,
                                   task == m_moved ? std::optional(runTime) : std::nullopt };
        AccountVerdict verdict = check.run(nlohmann::json::parse(account.body).at("entries"));
        m_result.resumes += verdict.resumes;
        std::ranges::move(verdict.problems, std::back_inserter(m_result.problems));
    }
}

/** What was accepted ends well; what has no record, because the fault came first, never ran. */
void Session::settleCrowd()
{
    for (const auto &[task, index] : m_crowd) {
        const auto reply = m_cluster.calls().at(index).reply;
        const bool isAccepted = reply && reply->code == ReplyCode::Ok;
        if (isAccepted || m_cluster.ask(servingHost(), ReadTask { task }).code != ReplyCode::NotFound) {
            settle(task, "succeeded");
        } else if (m_cluster.platform().truth().startCount(task) > 0) {
            problem("task " + task.value() + " has no record, and it ran");
        }
    }
}

} // namespace

const std::vector<std::string> &taskSteps()
{
    static const std::vector<std::string> steps { "submitted",          "attempt-placed",  "start command",
                                                  "attempt-started",    "before eviction", "eviction-requested",
                                                  "checkpoint command", "attempt-ended",   "moved-out",
                                                  "placed again",       "resume command",  "cancel-requested",
                                                  "stop command" };
    return steps;
}

std::vector<std::string> taskFaults()
{
    std::vector<std::string> names;
    for (const auto &[name, fault] : Session::faults()) {
        names.push_back(name);
    }
    return names;
}

TaskCaseResult runTaskCase(const TaskCase &row)
{
    return Session(row).run();
}

} // namespace currantring
