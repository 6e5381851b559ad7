#include "virtualcluster_p.h"

#include <algorithm>

namespace currantring {

namespace {

constexpr std::int64_t wallStart = 1'800'000'000'000;
constexpr Milliseconds replyLimit(20'000);

} // namespace

VirtualCluster::VirtualCluster(VirtualClusterOptions options)
    : m_options(std::move(options))
    , m_charts(ChartSet::load(CURRANTRING_CHARTS).value())
    , m_random(m_options.seed)
{
    StandinPlatformOptions platform;
    platform.listLag = Milliseconds(1000);
    for (int index = 1; index <= m_options.workers; ++index) {
        StandinWorkerOptions worker;
        const std::string name = "w" + std::to_string(index);
        worker.info = WorkerInfo { WorkerId(name),
                                   Address("10.0.1.1:" + std::to_string(index)),
                                   RackId("r" + std::to_string(index % 2)),
                                   DataCentreId("dc1"),
                                   m_options.capacity,
                                   m_options.slots,
                                   64,
                                   { ServiceName("booking") },
                                   WorkerState::Live };
        worker.serviceTime = Milliseconds(20);
        worker.usageLag = Milliseconds(500);
        worker.clockOffset = WorkerTime(std::int64_t { 1'000'000 } * index);
        platform.workers.push_back(worker);
    }
    m_platform = std::make_unique<StandinPlatform>(platform);
    const std::string document = m_options.configuration.empty() ? testConfiguration() : m_options.configuration;
    const ConfigurationRecord first { ConfigurationVersion(1), ChangeId("first"), "tests", document };
    static_cast<void>(m_platform->callStore(
        StorePut { "configuration/current", nlohmann::json(first).dump(), std::nullopt, std::nullopt }, m_now));
    for (int index = 0; index < m_options.hosts; ++index) {
        addHost();
    }
}

VirtualCluster::~VirtualCluster() = default;

HostId VirtualCluster::addHost()
{
    HostId id("h" + std::to_string(++m_lastHost));
    const Milliseconds offset(uniformBelow(m_random, 1'000'000));
    m_hosts.push_back(std::make_unique<Host>(id, m_charts, m_random(), offset));
    turn(*m_hosts.back(), [](Host &host) { host.node.start(); });
    return id;
}

VirtualCluster::Host *VirtualCluster::find(const HostId &id) const
{
    const auto found = std::ranges::find_if(m_hosts, [&](const auto &host) { return host->id == id; });
    return found == m_hosts.end() ? nullptr : found->get();
}

void VirtualCluster::killHost(const HostId &id)
{
    find(id)->dead = true;
    for (const auto &other : m_hosts) {
        at(m_now + latency(),
           [this, other = other.get(), id] { deliver(*other, [id](Host &host) { host.node.handleLinkLost(id); }); });
    }
}

void VirtualCluster::pauseHost(const HostId &id)
{
    find(id)->paused = true;
}

void VirtualCluster::resumeHost(const HostId &id)
{
    Host &host = *find(id);
    host.paused = false;
    // Either the timers or what has arrived may come first after a pause.
    if (uniformBelow(m_random, 2) == 0) {
        turn(host, [](Host &) {});
    }
    for (auto &body : std::exchange(host.waiting, {})) {
        deliver(host, std::move(body));
    }
}

void VirtualCluster::cutFromStore(const HostId &host, bool cut)
{
    find(host)->cutFromStore = cut;
}

void VirtualCluster::cutBetween(const HostId &left, const HostId &right, bool cut)
{
    for (const auto &pair : { std::pair(left, right), std::pair(right, left) }) {
        if (cut) {
            m_cuts.insert(pair);
        } else {
            m_cuts.erase(pair);
        }
    }
}

void VirtualCluster::cutFromWorker(const HostId &host, const WorkerId &worker, bool cut)
{
    if (cut) {
        m_workerCuts.emplace(host, worker);
    } else {
        m_workerCuts.erase({ host, worker });
    }
}

void VirtualCluster::stepWallClock(const HostId &host, Milliseconds by)
{
    find(host)->wallOffset += by;
}

void VirtualCluster::loseWorkerReplies(std::uint32_t count)
{
    m_lostWorkerReplies = count;
}

void VirtualCluster::throwFault(const nlohmann::json &fault)
{
    if (const auto problem = m_platform->throwFault(fault, m_now)) {
        violation("fault refused: " + *problem);
    }
}

void VirtualCluster::stopHost(const HostId &id)
{
    deliver(*find(id), [](Host &host) { host.node.stop(); });
}

std::size_t VirtualCluster::send(const HostId &id, CallerRequest request)
{
    const std::size_t index = m_calls.size();
    m_calls.push_back(VirtualCall { id, request, m_now, std::nullopt, {} });
    record("request " + std::to_string(index) + " at " + id.value() + " " + encodeCallerRequest(request).dump());
    deliver(*find(id), [index, request = std::move(request)](Host &host) {
        host.node.handleCaller(CallerToken(index + 1), request);
    });
    return index;
}

CallerReply VirtualCluster::ask(const HostId &host, CallerRequest request)
{
    const std::size_t index = send(host, std::move(request));
    runUntil([&] { return m_calls.at(index).reply.has_value(); }, replyLimit);
    return m_calls.at(index).reply.value_or(CallerReply { ReplyCode::OutcomeUnknown, "{\"reason\":\"no reply\"}" });
}

nlohmann::json VirtualCluster::askJson(const HostId &host, CallerRequest request)
{
    return nlohmann::json::parse(ask(host, std::move(request)).body, nullptr, false);
}

const std::vector<VirtualCall> &VirtualCluster::calls() const
{
    return m_calls;
}

void VirtualCluster::at(TimePoint when, std::function<void()> body)
{
    m_events.push(Event { when, ++m_order, std::make_shared<std::function<void()>>(std::move(body)) });
}

Milliseconds VirtualCluster::latency()
{
    return Milliseconds(1 + uniformBelow(m_random, 3));
}

void VirtualCluster::run(Milliseconds duration)
{
    runUntil([] { return false; }, duration);
}

bool VirtualCluster::runUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    const TimePoint end = m_now + limit;
    while (!condition()) {
        if (m_now >= end) {
            return false;
        }
        step(end);
    }
    return true;
}

void VirtualCluster::step(TimePoint limit)
{
    Host *next = nullptr;
    TimePoint due = m_events.empty() ? limit : std::min(limit, m_events.top().at);
    for (const auto &host : m_hosts) {
        const std::optional<TimePoint> timer = host->context.nextTimer();
        if (host->dead || host->paused || !timer || *timer - host->offset >= due) {
            continue;
        }
        due = std::max(m_now, *timer - host->offset);
        next = host.get();
    }
    m_now = std::max(m_now, due);
    m_platform->advance(m_now);
    if (next != nullptr) {
        turn(*next, [](Host &) {});
    } else if (!m_events.empty() && m_events.top().at <= m_now) {
        const auto body = m_events.top().body;
        m_events.pop();
        (*body)();
    }
    checkPromises();
}

void VirtualCluster::deliver(Host &host, std::function<void(Host &)> body)
{
    if (host.dead) {
        return;
    }
    if (host.paused) {
        host.waiting.push_back(std::move(body));
        return;
    }
    turn(host, body);
}

void VirtualCluster::turn(Host &host, const std::function<void(Host &)> &body)
{
    const WallTime wall(wallStart + m_now.time_since_epoch().count() + host.wallOffset.count());
    host.context.advance(m_now + host.offset, wall);
    body(host);
    for (const Action &action : host.context.takeActions()) {
        carryOut(host, action);
    }
}

TimePoint VirtualCluster::now() const
{
    return m_now;
}

StandinPlatform &VirtualCluster::platform()
{
    return *m_platform;
}

std::vector<HostId> VirtualCluster::hosts() const
{
    std::vector<HostId> ids;
    for (const auto &host : m_hosts) {
        if (!host->dead) {
            ids.push_back(host->id);
        }
    }
    return ids;
}

std::vector<WorkerId> VirtualCluster::workers() const
{
    std::vector<WorkerId> ids;
    for (int index = 1; index <= m_options.workers; ++index) {
        ids.emplace_back("w" + std::to_string(index));
    }
    return ids;
}

bool VirtualCluster::isServing(const HostId &host) const
{
    return find(host)->node.isHealthy();
}

bool VirtualCluster::allServing() const
{
    return std::ranges::all_of(hosts(), [this](const HostId &host) { return isServing(host); });
}

ConfigurationVersion VirtualCluster::versionOn(const HostId &host) const
{
    const auto found = m_versions.find(host);
    return ConfigurationVersion(found == m_versions.end() ? 0 : found->second);
}

std::string VirtualCluster::taskState(const HostId &host, const TaskId &task)
{
    const CallerReply reply = ask(host, ReadTask { task });
    return reply.code == ReplyCode::Ok ? nlohmann::json::parse(reply.body).value("state", "") : "";
}

std::optional<HostId> VirtualCluster::writerOf(ShardId shard)
{
    for (const HostId &host : hosts()) {
        if (find(host)->paused || !isServing(host)) {
            continue;
        }
        const nlohmann::json status = askJson(host, ReadStatus {});
        const auto name = status.at("shards").at(shard.value()).at("writer").get<std::string>();
        return name.empty() ? std::nullopt : std::optional(HostId(name));
    }
    return std::nullopt;
}

const std::vector<std::string> &VirtualCluster::violations() const
{
    return m_violations;
}

const std::vector<std::string> &VirtualCluster::transcript() const
{
    return m_transcript;
}

void VirtualCluster::recordTranscript(bool on)
{
    m_recording = on;
}

std::size_t VirtualCluster::logCount(const std::string &event) const
{
    const auto found = m_logCounts.find(event);
    return found == m_logCounts.end() ? 0 : found->second;
}

std::string testConfiguration(std::uint32_t shards)
{
    return "[defaults]\nshard-count = " + std::to_string(shards) + R"(
task-lease = 4000
report-interval = 500
heartbeat-interval = 200
peer-silence = 1000
outage-term = 60000
start-window = 2000

[[owners]]
id = "alpha"
weight = 1
quota = { millicores = 64000, mebibytes = 256000, accelerators = 4 }

[[owners]]
id = "beta"
weight = 1
quota = { millicores = 64000, mebibytes = 256000, accelerators = 4 }

[[services]]
name = "booking"
owner = "alpha"
deadline = 2000
idempotent = false
)";
}

SubmitTask batchTask(const std::string &key, Milliseconds runTime, Milliseconds deadline)
{
    TaskSpec spec;
    spec.kind = TaskKind::Batch;
    spec.declared = Resources { Millicores(1000), Mebibytes(1000), AcceleratorCount(0) };
    spec.deadline = WallTime(wallStart + deadline.count());
    spec.declaredRunTime = runTime;
    spec.program = nlohmann::json { { "runMs", runTime.count() }, { "result", "done" } }.dump();
    return SubmitTask { OwnerId("alpha"), SubmissionKey(key), spec };
}

SubmitTask watcherTask(const std::string &key)
{
    SubmitTask submit = batchTask(key, Milliseconds(0));
    submit.owner = OwnerId("beta");
    submit.spec.kind = TaskKind::Watcher;
    submit.spec.deadline = WallTime(0);
    submit.spec.program = "{}";
    return submit;
}

CallService serviceCall(const std::string &request, bool idempotent, Milliseconds serviceTime)
{
    return CallService { OwnerId("alpha"),
                         ServiceName("booking"),
                         RequestId(request),
                         idempotent,
                         nlohmann::json { { "serviceMs", serviceTime.count() } }.dump(),
                         Milliseconds(2000) };
}

} // namespace currantring
