#include "worker.hh"

#include <algorithm>
#include <chrono>

namespace review {

namespace {

using nlohmann::json;

constexpr std::int64_t longestLeaseMs = 6000;
constexpr std::int64_t heartbeatMs = 1100;
constexpr std::int64_t startUpMs = 200;
/** Longer than any caller waits for an answer. */
constexpr std::int64_t silenceMs = 5000;
constexpr std::int64_t fullPercent = 100;

std::int64_t durationOf(const std::string &spec)
{
    const std::size_t at = spec.find("ms=");
    return at == std::string::npos ? -1 : std::stoll(spec.substr(at + 3));
}

} // namespace

std::size_t Truth::begin(SeenRun run)
{
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(std::move(run));
    return m_runs.size() - 1;
}

void Truth::end(std::size_t index, const std::string &how)
{
    const std::lock_guard lock(m_mutex);
    m_runs.at(index).endedAt = nowMs();
    m_runs.at(index).how = how;
}

std::vector<SeenRun> Truth::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::vector<SeenRun> Truth::runsOf(const std::string &task) const
{
    std::vector<SeenRun> found;
    for (const SeenRun &run : runs()) {
        if (run.task == task || (task.ends_with('.') && run.task.starts_with(task))) {
            found.push_back(run);
        }
    }
    return found;
}

Worker::Worker(WorkerOptions options, Store &store, Truth &truth, Record &record)
    : m_options(std::move(options))
    , m_store(store)
    , m_truth(truth)
    , m_record(record)
    , m_port([this](const HttpRequest &request) { return handle(request); })
{
}

Worker::~Worker()
{
    crash();
}

void Worker::begin()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isAlive = true;
        ++m_life;
        m_born = wallMs();
        m_bornSteady = nowMs();
        m_clockOffset = m_life == 1 ? 3'600'000 : 0;
        m_token = 0;
        m_leaseUntil = 0;
        m_running.clear();
        m_over.clear();
        m_ended.clear();
        m_lastEnd = 0;
        m_sequence = 0;
        // Connections to a former life stay silent.
        m_port.beginEpoch();
    }
    if (m_life > 1) {
        // Its address is the former one.
        writeEntry();
    }
    if (!m_port.isOpen()) {
        m_port.open();
    }
    writeEntry();
    m_record.add("worker " + m_options.id + " begins life " + std::to_string(m_life) + " of kind " + m_options.kind
                 + " with " + std::to_string(m_options.millicores) + " millicores");
    m_ticker = std::thread([this] {
        std::int64_t nextBeat = nowMs() + heartbeatMs;
        while (true) {
            sleepMs(10);
            {
                const std::lock_guard lock(m_mutex);
                if (!m_isAlive) {
                    return;
                }
                tick();
            }
            if (nowMs() >= nextBeat) {
                nextBeat += heartbeatMs;
                writeEntry();
            }
        }
    });
}

void Worker::endLife(const std::string &why)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isAlive) {
            return;
        }
        m_isAlive = false;
        for (const auto &[task, run] : m_running) {
            m_truth.end(run.seen, "crashed");
        }
        m_running.clear();
        m_changed.notify_all();
    }
    m_ticker.join();
    m_record.add("worker " + m_options.id + why);
}

void Worker::crash()
{
    endLife(" has crashed");
    m_port.close();
}

void Worker::losePower()
{
    endLife(" has lost power");
}

void Worker::setOptions(WorkerOptions options)
{
    m_options = std::move(options);
}

const WorkerOptions &Worker::options() const
{
    return m_options;
}

void Worker::setCutOff(bool isCutOff)
{
    const std::lock_guard lock(m_mutex);
    m_isCutOff = isCutOff;
    m_record.add("worker " + m_options.id + (isCutOff ? " is cut off, and runs on" : " is reached again"));
}

void Worker::setAnswerDelay(std::int64_t delayMs)
{
    const std::lock_guard lock(m_mutex);
    m_answerDelayMs = delayMs;
}

void Worker::setFailing(bool isFailing)
{
    const std::lock_guard lock(m_mutex);
    m_isFailing = isFailing;
}

void Worker::requireTickets(Advice &advice)
{
    const std::lock_guard lock(m_mutex);
    m_advice = &advice;
}

std::int64_t Worker::clock() const
{
    return nowMs() - m_bornSteady + m_clockOffset;
}

void Worker::writeEntry()
{
    json entry;
    {
        const std::lock_guard lock(m_mutex);
        entry = { { "service", m_options.service },
                  { "address", m_port.address() },
                  { "zone", "z1" },
                  { "version", "v1" },
                  { "slots", 8 },
                  { "state", "ready" },
                  { "coldLeftMs", 0 },
                  { "capacity", { { "cpu", m_options.millicores }, { "memMb", m_options.mebibytes }, { "gpus", 0 } } },
                  { "labels", { m_options.kind, m_options.rack } },
                  { "clockMs", clock() },
                  { "born", m_born },
                  { "seq", ++m_sequence } };
    }
    m_store.put("servers/" + m_options.id, entry.dump());
}

/** Ends what is done, and everything when the lease is over. Called with the lock. */
void Worker::tick()
{
    std::vector<std::string> done;
    for (const auto &[task, run] : m_running) {
        if (run.durationMs >= 0 && nowMs() - run.startedAt >= run.durationMs) {
            done.push_back(task);
        }
    }
    for (const std::string &task : done) {
        finish(task, "done");
    }
    if (!m_running.empty() && clock() > m_leaseUntil) {
        while (!m_running.empty()) {
            finish(m_running.begin()->first, "lapsed");
        }
    }
}

void Worker::finish(std::string task, const std::string &how)
{
    const Run run = m_running.at(task);
    m_running.erase(task);
    m_over[task] = std::max(m_over[task], run.number);
    m_truth.end(run.seen, how);
    m_record.add("worker " + m_options.id + ": " + task + " run " + std::to_string(run.number) + " ends " + how);
    m_ended.push_back(json::array({ ++m_lastEnd, task, run.number, how, "" }));
    m_changed.notify_all();
}

bool Worker::isSilentFor(const HttpRequest &request) const
{
    return !m_isAlive || m_isCutOff || request.epoch != m_port.epoch();
}

HttpReply Worker::handle(const HttpRequest &request)
{
    std::int64_t delay = 0;
    bool isSilent = false;
    {
        const std::lock_guard lock(m_mutex);
        isSilent = isSilentFor(request);
        delay = m_answerDelayMs;
    }
    HttpReply reply;
    if (!isSilent) {
        reply = carryOut(request);
        sleepMs(delay);
        const std::lock_guard lock(m_mutex);
        isSilent = isSilentFor(request);
    }
    if (isSilent) {
        // No answer comes, and the connection doesn't end, until the caller has given up.
        sleepMs(silenceMs);
        reply.isDropped = true;
    }
    return reply;
}

HttpReply Worker::carryOut(const HttpRequest &request)
{
    if (request.method == "GET") {
        return { 200, "{}" };
    }
    const json body = json::parse(request.body);
    std::unique_lock lock(m_mutex);
    const std::uint64_t token = body.value("fencingToken", std::uint64_t { 0 });
    const auto wanted = request.headers.find("x-expected-instance");
    if (wanted != request.headers.end() && wanted->second != m_options.id) {
        return { 421, "{}" };
    }
    if (token < m_token) {
        m_record.add("worker " + m_options.id + " refuses " + request.path + " with the old token "
                     + std::to_string(token) + ": it has seen " + std::to_string(m_token));
        return refuse("fence");
    }
    m_token = token;
    if (request.path == "/currantring/run-start") {
        return start(body);
    }
    if (request.path == "/currantring/run-stop") {
        return stop(body);
    }
    if (request.path == "/currantring/hold") {
        return hold(body, lock);
    }
    if (request.path == "/currantring/pace") {
        return { 200, json { { "clockMs", clock() }, { "born", m_born } }.dump() };
    }
    return { 404, "{}" };
}

HttpReply Worker::refuse(const std::string &reason) const
{
    return { 409, json { { "clockMs", clock() }, { "born", m_born }, { "reason", reason } }.dump() };
}

void Worker::extendLease(const json &body)
{
    if (body.contains("deadlineMs")) {
        const std::int64_t until = std::min(body.at("deadlineMs").get<std::int64_t>(), clock() + longestLeaseMs);
        m_leaseUntil = std::max(m_leaseUntil, until);
    }
}

HttpReply Worker::start(const json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint32_t>();
    if (clock() > body.at("deadlineMs").get<std::int64_t>()) {
        return refuse("late");
    }
    extendLease(body);
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.number == number) {
        return { 200, json { { "clockMs", clock() }, { "born", m_born } }.dump() };
    }
    if (present != m_running.end() || m_over[task] >= number) {
        return refuse("old");
    }
    if (m_advice != nullptr && !m_advice->isValid(body.value("ticket", std::string()), task, m_options.id)) {
        m_record.add("worker " + m_options.id + " rejects " + task + ": no valid ticket");
        return refuse("ticket");
    }
    const auto spec = body.at("spec").get<std::string>();
    const std::size_t seen =
        m_truth.begin({ task, number, m_options.id, m_token, nowMs(), -1, {}, spec, m_options.kind });
    m_running[task] = { number, seen, nowMs(), durationOf(spec) };
    m_record.add("worker " + m_options.id + " (kind " + m_options.kind + "): " + task + " run " + std::to_string(number)
                 + " starts, token " + std::to_string(m_token));
    if (m_isFailing) {
        finish(task, "failed");
    }
    return { 200, json { { "clockMs", clock() }, { "born", m_born } }.dump() };
}

HttpReply Worker::stop(const json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint32_t>();
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.number == number) {
        finish(task, "stopped");
    }
    m_over[task] = std::max(m_over[task], number);
    return { 200, json { { "clockMs", clock() }, { "born", m_born } }.dump() };
}

HttpReply Worker::hold(const json &body, std::unique_lock<std::mutex> &lock)
{
    extendLease(body);
    const auto seen = body.value("lastSeen", std::uint64_t { 0 });
    std::erase_if(m_ended, [seen](const json &row) { return row.at(0).get<std::uint64_t>() <= seen; });
    const std::uint64_t life = m_life;
    const std::int64_t until = nowMs() + body.value("waitMs", std::int64_t { 0 });
    while (m_ended.empty() && nowMs() < until && m_isAlive && m_life == life) {
        m_changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(until - nowMs(), 1)));
    }
    return { 200, lists().dump() };
}

json Worker::lists() const
{
    json running = json::array();
    for (const auto &[task, run] : m_running) {
        const std::int64_t age = nowMs() - run.startedAt;
        const std::int64_t whole = run.durationMs < 0 ? startUpMs : std::max<std::int64_t>(run.durationMs, 1);
        running.push_back(json::array({ task, run.number, "", std::min(age * fullPercent / whole, fullPercent), 1 }));
    }
    return { { "clockMs", clock() }, { "born", m_born }, { "running", running }, { "finished", m_ended } };
}

} // namespace review
