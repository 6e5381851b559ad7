#include "virtualsite_p.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds callerPatience { 3000 };
constexpr Milliseconds callerPause { 150 };
constexpr Milliseconds customerPatience { 12'000 };
constexpr std::int64_t wallStart = 1'700'000'000'000;

/** The test's own forms of the entries: the index of the thing, which the decoders look up. */
SiteFormats testFormats(const SiteConfiguration &configuration,
                        const std::function<const WorkerEntry *(const std::string &)> &find)
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
                 const WorkerEntry *const known = find(entry.key.substr(virtualWorkerPrefix.size()));
                 return known == nullptr || entry.value == "bad" ? std::nullopt : std::optional(*known);
             } };
}

} // namespace

VirtualSite::VirtualSite(VirtualSiteOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
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
    admitted.needsAdmission = true;
    m_configuration.queues.push_back(admitted);
    m_judge.noteWallStart(WallTime(wallStart));
    configure(m_configuration);
    for (int index = 0; index < m_options.workers; ++index) {
        WorkerEntry entry;
        entry.id = WorkerId("w" + std::to_string(index));
        entry.life = WorkerLife(1000 + index);
        entry.address = Address("10.0.1." + std::to_string(index) + ":80");
        entry.service = ServiceName("office");
        entry.rack = Label("r" + std::to_string(index / 3));
        entry.labels = { Label("a"), entry.rack };
        entry.capacity = m_options.capacity;
        auto made = std::make_unique<Place>();
        const Milliseconds offset(static_cast<std::int64_t>(uniformBelow(m_random, 100'000)));
        made->worker =
            std::make_unique<VirtualWorker>(entry, m_now, offset, [this](const WorkerFact &fact) { noteFact(fact); });
        m_judge.noteWorker(entry);
        m_placeOf[made->worker->entry().id] = made.get();
        m_places.push_back(std::move(made));
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
    options.nonce = m_random();
    host.node = std::make_unique<JobNode>(
        options, testFormats(m_configuration, [this](const std::string &id) { return entryOf(WorkerId(id)); }),
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

TimePoint VirtualSite::nextTime(TimePoint limit) const
{
    TimePoint next = limit;
    if (!m_events.empty()) {
        next = std::min(next, m_events.top().at);
    }
    for (const auto &host : m_hosts) {
        if (host->isInTime()) {
            next = std::min(next, host->context->nextTimer().value_or(next));
        }
    }
    for (const auto &known : m_places) {
        if (!known->isDown) {
            next = std::min(next, known->worker->nextEvent(m_now).value_or(next));
        }
    }
    return std::min(next, m_store.nextLeaseEnd().value_or(next));
}

void VirtualSite::step(TimePoint limit)
{
    m_now = std::max(m_now, nextTime(limit));
    while (!m_events.empty() && m_events.top().at <= m_now) {
        const auto body = m_events.top().body;
        m_events.pop();
        (*body)();
    }
    for (const auto &known : m_places) {
        if (!known->isDown) {
            known->worker->advance(m_now);
        }
    }
    settleGangs();
    m_store.advance(m_now);
    settle();
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        Host &host = *m_hosts[index];
        if (host.isInTime()) {
            host.context->advance(m_now, wallOn(host, m_now));
        }
    }
}

/** Answers the watches and holds that have something to tell. */
void VirtualSite::settle()
{
    std::vector<Watch> waiting;
    waiting.swap(m_watches);
    for (Watch &watch : waiting) {
        if (m_store.hasNews(watch.request)) {
            at(m_now + latency(),
               [reply = watch.reply, result = m_store.execute(watch.request, m_now)] { reply(result); });
        } else {
            m_watches.push_back(std::move(watch));
        }
    }
    std::vector<Hold> held;
    held.swap(m_holds);
    for (Hold &hold : held) {
        if (place(hold.worker).worker->hasEnds(hold.order.acknowledged)) {
            hold.reply();
        } else {
            m_holds.push_back(std::move(hold));
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
    return WallTime(wallStart + when.time_since_epoch().count() + host.wallOffset.count());
}

WallTime VirtualSite::wallNow() const
{
    return WallTime(wallStart + m_now.time_since_epoch().count());
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
        deliver(host, process,
                [&host, index, call] { host.node->handleCall(CallerToken(index), call, callerPatience); });
    });
    return index;
}

bool VirtualSite::submit(const JobSpec &spec)
{
    const auto shared = std::make_shared<const JobSpec>(spec);
    const TimePoint end = m_now + customerPatience;
    for (std::size_t attempt = 0; m_now < end; ++attempt) {
        const std::size_t call = send(m_hosts[attempt % m_hosts.size()]->id, SubmitJob { shared });
        runUntil([this, call] { return m_calls[call].answer.has_value(); }, callerPatience);
        if (m_calls[call].answer && m_calls[call].answer->outcome == CallOutcome::Accepted) {
            return true;
        }
        run(callerPause);
    }
    return false;
}

std::optional<JobPhase> VirtualSite::phaseOf(const JobId &job)
{
    const TimePoint end = m_now + customerPatience;
    for (std::size_t attempt = 0; m_now < end; ++attempt) {
        const std::size_t call = send(m_hosts[attempt % m_hosts.size()]->id, ReadJob { job });
        runUntil([this, call] { return m_calls[call].answer.has_value(); }, callerPatience);
        if (m_calls[call].answer && m_calls[call].answer->outcome == CallOutcome::Found) {
            return m_calls[call].answer->phase;
        }
        run(callerPause);
    }
    return std::nullopt;
}

const std::vector<VirtualCall> &VirtualSite::calls() const
{
    return m_calls;
}

VirtualStore &VirtualSite::store()
{
    return m_store;
}

VirtualWorker &VirtualSite::worker(const WorkerId &worker)
{
    return *place(worker).worker;
}

SiteJudge &VirtualSite::judge()
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
    for (const auto &known : m_places) {
        ids.push_back(known->worker->entry().id);
    }
    return ids;
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

std::optional<HostId> VirtualSite::writer() const
{
    std::optional<HostId> writer;
    for (const auto &host : m_hosts) {
        if (host->isAlive && host->node->isWriter()) {
            if (writer) {
                return std::nullopt;
            }
            writer = host->id;
        }
    }
    return writer;
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

VirtualSite::Place &VirtualSite::place(const WorkerId &worker) const
{
    return *m_placeOf.at(worker);
}

const WorkerEntry *VirtualSite::entryOf(const WorkerId &worker) const
{
    const auto found = m_placeOf.find(worker);
    return found == m_placeOf.end() ? nullptr : &found->second->worker->entry();
}

} // namespace currantring
