#include "tasksession.h"

#include "accountcheck.h"
#include "ledgerrecord.h"

#include <algorithm>
#include <array>

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

} // namespace

TaskSession::TaskSession(const TaskCase &row)
    : m_row(row)
    , m_cluster(makeOptions(row))
    , m_writer("h1")
{
}

TaskCaseResult TaskSession::run()
{
    m_cluster.runUntil([this] { return m_cluster.allServing(); }, settleLimit);
    m_cluster.run(Milliseconds(2000));
    m_cluster.recordTranscript(true);
    m_cluster.send(HostId("h2"), batchTask("moved", runTime));
    m_others[m_cancelled] = m_cluster.send(HostId("h3"), watcherTask("cancelled"));
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
    settleOthers();
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

bool TaskSession::play()
{
    readTranscript();
    requestChanges();
    return m_reached.contains(m_row.step);
}

/** Tasks whose use isn't what they declare, and requests, all at once. */
void TaskSession::addCrowd()
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
        m_others[makeTaskId(task.owner, task.key)] = m_cluster.send(host, task);
        m_cluster.send(host, serviceCall("r" + std::to_string(index), false, Milliseconds(500)));
    }
}

void TaskSession::readTranscript()
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

void TaskSession::readSlot(const std::string &line)
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

void TaskSession::requestChanges()
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

const StandinRun *TaskSession::lastRun(const TaskId &task)
{
    const std::vector<StandinRun> &runs = m_cluster.platform().truth().runs();
    const auto found =
        std::find_if(runs.rbegin(), runs.rend(), [&](const StandinRun &run) { return run.key.task == task; });
    return found == runs.rend() ? nullptr : &*found;
}

HostId TaskSession::servingHost()
{
    for (const HostId &host : m_cluster.hosts()) {
        if (m_cluster.isServing(host) && std::ranges::count(m_paused, host) == 0) {
            return host;
        }
    }
    return m_cluster.hosts().front();
}

void TaskSession::problem(const std::string &what)
{
    m_result.problems.push_back(what);
}

void TaskSession::heal()
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

void TaskSession::settle(const TaskId &task, const std::string &wanted)
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
void TaskSession::settleOthers()
{
    for (const auto &[task, index] : m_others) {
        const auto reply = m_cluster.calls().at(index).reply;
        const bool isAccepted = reply && reply->code == ReplyCode::Ok;
        if (isAccepted || m_cluster.ask(servingHost(), ReadTask { task }).code != ReplyCode::NotFound) {
            settle(task, task == m_cancelled ? "cancelled" : "succeeded");
        } else if (m_cluster.platform().truth().startCount(task) > 0) {
            problem("task " + task.value() + " has no record, and it ran");
        }
    }
}

const std::vector<std::string> &taskSteps()
{
    static const std::vector<std::string> steps { "submitted",          "attempt-placed",  "start command",
                                                  "attempt-started",    "before eviction", "eviction-requested",
                                                  "checkpoint command", "attempt-ended",   "moved-out",
                                                  "placed again",       "resume command",  "cancel-requested",
                                                  "stop command" };
    return steps;
}

TaskCaseResult runTaskCase(const TaskCase &row)
{
    return TaskSession(row).run();
}

} // namespace currantring
