#include "virtualsite_p.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds callTimeout { 3000 };
constexpr Milliseconds retryDelay { 150 };
constexpr Milliseconds retryTimeout { 12'000 };
/** A store whose replies take longer counts as disturbed. */
constexpr Milliseconds longestCalmDelay { 50 };
constexpr std::int64_t wallClockStartMs = 1'700'000'000'000;

/**
 * Formats that store only an identifier: the version of the configuration, and the worker's name as the key. The
 * decoders look the rest up. The text "bad" stands for an entry that can't be decoded.
 */
SiteFormats testFormats(const SiteConfiguration &configuration,
                        const std::function<const WorkerEntry *(const std::string &)> &find, bool hasEvacuations)
{
    return { virtualConfigurationKey,
             [&configuration](std::string_view text) -> tl::expected<SiteConfiguration, Findings> {
                 if (text.starts_with("bad")) {
                     return tl::unexpected(Findings { { "configuration", Severity::Error, "not readable" } });
                 }
                 SiteConfiguration decoded = configuration;
                 decoded.version = ConfigurationVersion(std::stoull(std::string(text)));
                 return decoded;
             },
             virtualWorkerPrefix,
             [find](const KvEntry &entry) -> std::optional<WorkerEntry> {
                 const WorkerEntry *const worker = find(entry.key.substr(virtualWorkerPrefix.size()));
                 return worker == nullptr || entry.value == "bad" ? std::nullopt : std::optional(*worker);
             },
             hasEvacuations ? virtualEvacuationPrefix : std::string() };
}

} // namespace

VirtualSite::VirtualSite(VirtualSiteOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_store({ .valueBytes = m_options.valueBytes })
    , m_admission(m_options.admission)
{
    m_configuration.version = ConfigurationVersion(1);
    m_configuration.pools = { { ServiceName("office"), false, false } };
    for (const auto &[name, priority] : { std::pair("urgent", 0U), std::pair("batch", 2U) }) {
        QueueEntry queue;
        queue.name = QueueName(name);
        queue.host = "caller.example";
        queue.prefix = std::string("/") + name + "/";
        queue.service = ServiceName("office");
        queue.priority = priority;
        queue.attemptLimit = m_options.attemptLimit;
        queue.stretch = 2;
        m_configuration.queues.push_back(queue);
    }
    QueueEntry admitted = m_configuration.queues.back();
    admitted.name = QueueName("admitted");
    admitted.prefix = "/admitted/";
    const VirtualAdmissionOptions &admission = m_options.admission;
    admitted.admission = AdmissionTerms { admission.base, admission.perWorker, admission.validity };
    m_configuration.queues.push_back(admitted);
    admitted.name = QueueName("admitted-urgent");
    admitted.prefix = "/admitted-urgent/";
    admitted.priority = 0;
    m_configuration.queues.push_back(admitted);
    m_judge.noteWallStart(WallTime(wallClockStartMs));
    configure(m_configuration);
    for (int index = 0; index < m_options.workers; ++index) {
        WorkerEntry entry;
        entry.id = WorkerId("w" + std::to_string(index));
        entry.life = WorkerLife(1000 + index);
        entry.address = Address("10.0.1." + std::to_string(index) + ":80");
        entry.service = ServiceName("office");
        entry.rack = Label("r" + std::to_string(index / 3));
        entry.labels = { Label("a"), entry.rack };
        if (m_options.dataCentres > 0) {
            entry.dataCentre = DataCentreId("dc" + std::to_string(index / 3 % m_options.dataCentres));
        }
        entry.capacity = m_options.capacity;
        auto node = std::make_unique<WorkerNode>();
        const Milliseconds offset(static_cast<std::int64_t>(uniformBelow(m_random, 100'000)));
        node->worker = std::make_unique<VirtualWorker>(entry, m_now, offset, m_options.listedEnds,
                                                       [this](const WorkerRunEvent &event) { handleRunEvent(event); });
        m_judge.noteWorker(entry);
        m_workersById[node->worker->entry().id] = node.get();
        m_workers.push_back(std::move(node));
        listWorker(entry.id, true);
    }
    for (int index = 0; index < m_options.hosts; ++index) {
        addHost();
    }
}

VirtualSite::~VirtualSite() = default;

HostId VirtualSite::addHost()
{
    auto host = std::make_unique<Host>();
    host->id = HostId("h" + std::to_string(m_hosts.size()));
    host->address = Address("10.0.0." + std::to_string(m_hosts.size()) + ":7000");
    host->processors = m_options.processors[m_hosts.size() % m_options.processors.size()];
    host->memory = m_options.memory[m_hosts.size() % m_options.memory.size()];
    m_hosts.push_back(std::move(host));
    startProcess(*m_hosts.back());
    return m_hosts.back()->id;
}

void VirtualSite::startProcess(Host &host)
{
    ++host.process;
    host.isAlive = true;
    host.isPaused = false;
    host.startedAt = m_now;
    host.inbox.clear();
    host.links.clear();
    host.node.reset();
    host.context = std::make_unique<JobContext>(m_random(), makeDriver(host, host.process));
    host.context->setTime(m_now, wallOn(host, m_now));
    JobNodeOptions options;
    options.self = host.id;
    options.peerAddress = host.address;
    options.processors = host.processors;
    options.memory = host.memory;
    options.nonce = m_random();
    options.storeValueBytes = m_options.valueBytes;
    options.farFactor = m_options.farFactor;
    host.node = std::make_unique<JobNode>(
        options,
        testFormats(
            m_configuration, [this](const std::string &id) { return entryOf(WorkerId(id)); }, m_options.hasEvacuations),
        *host.context);
    host.node->start();
}

void VirtualSite::at(TimePoint when, std::function<void()> body)
{
    m_events.push({ when, ++m_order, std::make_shared<std::function<void()>>(std::move(body)) });
}

void VirtualSite::after(Milliseconds delay, std::function<void()> body)
{
    at(m_now + delay, std::move(body));
}

TimePoint VirtualSite::nextEventTime(TimePoint limit) const
{
    TimePoint next = limit;
    if (!m_events.empty()) {
        next = std::min(next, m_events.top().at);
    }
    for (const auto &host : m_hosts) {
        if (host->isResponsive()) {
            next = std::min(next, host->context->nextTimer().value_or(next));
        }
    }
    for (const auto &node : m_workers) {
        if (!node->isDown) {
            next = std::min(next, node->worker->nextEvent(m_now).value_or(next));
        }
    }
    return std::min(next, m_store.nextLeaseExpiry().value_or(next));
}

void VirtualSite::step(TimePoint limit)
{
    m_now = std::max(m_now, nextEventTime(limit));
    while (!m_events.empty() && m_events.top().at <= m_now) {
        const auto body = m_events.top().body;
        m_events.pop();
        (*body)();
    }
    for (const auto &node : m_workers) {
        if (!node->isDown) {
            node->worker->advance(m_now);
        }
    }
    startCompleteGangs();
    m_store.advance(m_now);
    answerPolls();
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        Host &host = *m_hosts[index];
        if (host.isResponsive()) {
            host.context->advance(m_now, wallOn(host, m_now));
        }
    }
}

/** Answers the watches and held worker polls that have something to report. */
void VirtualSite::answerPolls()
{
    std::vector<PendingWatch> waiting;
    waiting.swap(m_pendingWatches);
    for (PendingWatch &watch : waiting) {
        const bool mayHaveChanges = !m_areWatchesDeaf && watch.checked != m_store.watchState();
        if (mayHaveChanges && m_store.hasChanges(watch.request)) {
            at(m_now + latency(),
               [reply = watch.reply, result = m_store.execute(watch.request, m_now)] { reply(result); });
        } else {
            if (mayHaveChanges) {
                watch.checked = m_store.watchState();
            }
            m_pendingWatches.push_back(std::move(watch));
        }
    }
    std::vector<HeldPoll> held;
    held.swap(m_heldPolls);
    for (HeldPoll &poll : held) {
        if (workerNode(poll.worker).worker->hasEnds(poll.order.acknowledged)) {
            poll.reply();
        } else {
            m_heldPolls.push_back(std::move(poll));
        }
    }
}

void VirtualSite::run(Milliseconds duration)
{
    const TimePoint end = m_now + duration;
    while (m_now < end) {
        step(end);
    }
}

bool VirtualSite::runUntil(const std::function<bool()> &condition, Milliseconds limit)
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

TimePoint VirtualSite::now() const
{
    return m_now;
}

WallTime VirtualSite::wallOn(const Host &host, TimePoint when) const
{
    return WallTime(wallClockStartMs + when.time_since_epoch().count() + host.wallOffset.count());
}

WallTime VirtualSite::wallNow() const
{
    return WallTime(wallClockStartMs + m_now.time_since_epoch().count());
}

std::size_t VirtualSite::send(const HostId &id, CallerCall call)
{
    Host &host = find(id);
    const std::size_t index = m_calls.size();
    m_calls.push_back({ id, call, m_now, {}, {} });
    if (const auto *submitted = std::get_if<SubmitJob>(&call)) {
        m_judge.noteSubmission(submitted->spec);
    } else if (const auto *cancelled = std::get_if<CancelJob>(&call)) {
        m_judge.noteCancelSent(cancelled->job, m_now);
    }
    at(m_now + latency(), [this, &host, process = host.process, index, call = std::move(call)] {
        deliver(host, process, [this, &host, index, call] {
            noteVersionUse(host, m_calls[index].sentAt);
            host.node->handleCall(CallerToken(index), call, callTimeout);
        });
    });
    return index;
}

void VirtualSite::noteVersionUse(const Host &host, TimePoint sentAt)
{
    const bool isInTouch = host.isInTouch() && m_storeDelay <= longestCalmDelay;
    const TimePoint since = std::max({ host.startedAt, host.disturbedAt, m_storeDelayChangedAt });
    m_judge.noteVersionUse({ host.id, host.process }, versionOn(host.id), sentAt,
                           isInTouch ? std::optional(since) : std::nullopt);
}

bool VirtualSite::submit(const JobSpec &spec)
{
    const auto shared = std::make_shared<const JobSpec>(spec);
    const TimePoint end = m_now + retryTimeout;
    for (std::size_t attempt = 0; m_now < end; ++attempt) {
        const std::size_t call = send(m_hosts[attempt % m_hosts.size()]->id, SubmitJob { shared });
        runUntil([this, call] { return m_calls[call].answer.has_value(); }, callTimeout);
        if (m_calls[call].answer && m_calls[call].answer->outcome == CallOutcome::Accepted) {
            return true;
        }
        run(retryDelay);
    }
    return false;
}

std::optional<JobPhase> VirtualSite::phaseOf(const JobId &job)
{
    const TimePoint end = m_now + retryTimeout;
    for (std::size_t attempt = 0; m_now < end; ++attempt) {
        const std::size_t call = send(m_hosts[attempt % m_hosts.size()]->id, ReadJob { job });
        runUntil([this, call] { return m_calls[call].answer.has_value(); }, callTimeout);
        if (m_calls[call].answer && m_calls[call].answer->outcome == CallOutcome::Found) {
            return m_calls[call].answer->phase;
        }
        run(retryDelay);
    }
    return std::nullopt;
}

const std::vector<VirtualCall> &VirtualSite::calls() const
{
    return m_calls;
}

VirtualAdmission &VirtualSite::admission()
{
    return m_admission;
}

VirtualStore &VirtualSite::store()
{
    return m_store;
}

VirtualWorker &VirtualSite::worker(const WorkerId &worker)
{
    return *workerNode(worker).worker;
}

InvariantChecker &VirtualSite::judge()
{
    return m_judge;
}

std::vector<HostId> VirtualSite::hosts() const
{
    std::vector<HostId> ids;
    for (const auto &host : m_hosts) {
        ids.push_back(host->id);
    }
    return ids;
}

std::vector<WorkerId> VirtualSite::workers() const
{
    std::vector<WorkerId> ids;
    for (const auto &node : m_workers) {
        ids.push_back(node->worker->entry().id);
    }
    return ids;
}

std::vector<WorkerId> VirtualSite::soundWorkers() const
{
    std::vector<WorkerId> ids;
    for (const auto &node : m_workers) {
        const WorkerId &id = node->worker->entry().id;
        const bool isCut = std::ranges::any_of(m_workerCuts, [&id](const auto &cut) { return cut.second == id; });
        if (!node->isDown && !isCut && node->worker->isSound()
            && node->worker->entry().standing == WorkerStanding::Ready) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool VirtualSite::isRunning(const TaskRef &task) const
{
    return std::ranges::any_of(m_workers, [&task](const auto &node) { return node->worker->runs(task); });
}

bool VirtualSite::isAlive(const HostId &host) const
{
    return find(host).isAlive;
}

bool VirtualSite::isReady(const HostId &id) const
{
    const Host &host = find(id);
    return host.isAlive && !host.isPaused && host.node->isReady();
}

bool VirtualSite::isWriter(const HostId &id) const
{
    const Host &host = find(id);
    return host.isAlive && host.node->isWriter();
}

std::optional<HostId> VirtualSite::writer() const
{
    std::optional<HostId> writer;
    for (const auto &host : m_hosts) {
        if (isWriter(host->id)) {
            if (writer) {
                return std::nullopt;
            }
            writer = host->id;
        }
    }
    return writer;
}

std::optional<std::size_t> VirtualSite::trackedWork() const
{
    const std::optional<HostId> active = writer();
    return active ? find(*active).node->trackedWork() : std::nullopt;
}

std::size_t VirtualSite::writers() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_hosts, [](const auto &host) { return host->isAlive && host->node->isWriter(); }));
}

const SiteConfiguration &VirtualSite::configuration() const
{
    return m_configuration;
}

ConfigurationVersion VirtualSite::versionOn(const HostId &host) const
{
    const auto configuration = find(host).node->configuration();
    return configuration ? configuration->version : ConfigurationVersion(0);
}

std::size_t VirtualSite::readsOf(const std::string &prefix) const
{
    const auto found = m_reads.find(prefix);
    return found == m_reads.end() ? 0 : found->second;
}

std::size_t VirtualSite::countOf(std::string_view counter) const
{
    const auto found = m_counters.find(counter);
    return found == m_counters.end() ? 0 : found->second;
}

std::size_t VirtualSite::logCount(std::string_view event) const
{
    const auto found = m_logCounts.find(event);
    return found == m_logCounts.end() ? 0 : found->second;
}

const std::vector<std::string> &VirtualSite::transcript() const
{
    return m_transcript;
}

void VirtualSite::record(bool isOn)
{
    m_isRecording = isOn;
}

VirtualSite::Host &VirtualSite::find(const HostId &id) const
{
    return **std::ranges::find_if(m_hosts, [&id](const auto &host) { return host->id == id; });
}

VirtualSite::WorkerNode &VirtualSite::workerNode(const WorkerId &worker) const
{
    return *m_workersById.at(worker);
}

const WorkerEntry *VirtualSite::entryOf(const WorkerId &worker) const
{
    const auto found = m_workersById.find(worker);
    return found == m_workersById.end() ? nullptr : &found->second->worker->entry();
}

} // namespace currantring
