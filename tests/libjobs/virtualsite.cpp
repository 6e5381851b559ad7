#include "virtualsite.h"

#include "log.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace currantring {

namespace {

const std::string configurationKey = "site/configuration";
const std::string workerPrefix = "site/workers/";
constexpr Milliseconds callerPatience { 3000 };
constexpr Milliseconds callerPause { 150 };
constexpr Milliseconds customerPatience { 12'000 };
constexpr Milliseconds removalDelay { 100 };
/** How long after its silence a worker's entry is removed. */
constexpr Milliseconds listSilence { 3300 };
constexpr Milliseconds admissionTime { 50 };
constexpr Milliseconds admissionValidity { 3000 };
constexpr std::int64_t wallStart = 1'700'000'000'000;

/** The test's own forms of the entries: the index of the thing, which the decoders look up. */
SiteFormats testFormats(const SiteConfiguration &configuration,
                        const std::function<const WorkerEntry *(const std::string &)> &find)
{
    return { configurationKey,
             [&configuration](std::string_view text) -> tl::expected<SiteConfiguration, Findings> {
                 if (text.starts_with("bad")) {
                     return tl::unexpected(Findings { { "configuration", Severity::Error, "not readable" } });
                 }
                 SiteConfiguration decoded = configuration;
                 decoded.version = ConfigurationVersion(std::stoull(std::string(text)));
                 return decoded;
             },
             workerPrefix,
             [find](const KvEntry &entry) -> std::optional<WorkerEntry> {
                 const WorkerEntry *const known = find(entry.key.substr(workerPrefix.size()));
                 return known == nullptr || entry.value == "bad" ? std::nullopt : std::optional(*known);
             } };
}

} // namespace

/** One host over all its processes. */
struct VirtualSite::Host
{
    HostId id;
    Address address;
    std::uint64_t process = 0;
    bool isAlive = false;
    bool isPaused = false;
    /** Not zero when the process is short of processor time. */
    Milliseconds round {};
    Milliseconds wallOffset {};

    [[nodiscard]] bool isInTime() const
    {
        return isAlive && !isPaused && round.count() == 0;
    }
    StoreTrouble storeTrouble = StoreTrouble::None;
    TimePoint startedAt {};
    std::unique_ptr<JobContext> context;
    std::unique_ptr<JobNode> node;
    std::set<HostId> links;
    std::vector<std::function<void()>> inbox;
};

/** One worker and how it can be reached. */
struct VirtualSite::Place
{
    std::unique_ptr<VirtualWorker> worker;
    bool isDown = false;
    bool isSilent = false;
    /** By host: changes when a connection is lost. */
    std::map<HostId, std::uint64_t> channels;
};

VirtualSite::VirtualSite(VirtualSiteOptions options)
    : m_options(options)
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
    options.processors = Millicores(250);
    options.nonce = m_random();
    host.node = std::make_unique<JobNode>(
        options, testFormats(m_configuration, [this](const std::string &id) { return entryOf(WorkerId(id)); }),
        *host.context);
    host.node->start();
}

JobDriver VirtualSite::makeDriver(Host &host, std::uint64_t process)
{
    JobDriver driver;
    driver.readTime = [this, &host] {
        return JobTime { m_now, wallOn(host, m_now) };
    };
    driver.callStore = [this, &host, process](const KvRequest &request, Milliseconds timeout,
                                              const JobDriver::KvHandler &then) {
        callStore(host, process, request, timeout, then);
    };
    driver.callWorker = [this, &host, process](const WorkerId &worker, const Address & /*address*/,
                                               const WorkerOrder &order, Milliseconds timeout,
                                               const JobDriver::WorkerHandler &then) {
        callWorker(host, process, worker, order, timeout, then);
    };
    driver.askAdmission = [this, &host, process](const StepRef &step, const std::vector<WorkerId> &workers,
                                                 Milliseconds, const JobDriver::AdmissionHandler &then) {
        at(m_now + admissionTime, [this, &host, process, step, workers, then] {
            AdmissionAnswer answer;
            answer.validity = admissionValidity;
            for (const WorkerId &worker : workers) {
                const WorkerEntry &entry = place(worker).worker->entry();
                if (mayAdmit(step, entry)) {
                    answer.tickets.emplace(worker, ticketFor(step, entry));
                }
            }
            deliver(host, process, [then, answer] { then(answer); });
        });
    };
    driver.sendPeer = [this, &host](const HostId &to, const JobMessage &message) {
        sendPeer(host, to, message);
    };
    driver.linkPeer = [&host](const HostId &peer, const std::optional<Address> &address) {
        if (address) {
            host.links.insert(peer);
        } else {
            host.links.erase(peer);
        }
    };
    driver.answerCaller = [this](CallerToken caller, const CallAnswer &answer) {
        VirtualCall &call = m_calls.at(caller.value());
        if (!call.answer) {
            call.answer = answer;
            call.answeredAt = m_now;
            m_judge.noteAnswer(call.call, answer, call.sentAt, m_now);
        }
    };
    driver.log = [this, &host](const LogEvent &event) {
        log(host, event);
    };
    driver.observe = [](std::string_view, const QueueName &, std::string_view, Milliseconds) {
    };
    driver.count = [](std::string_view, std::string_view) {
    };
    return driver;
}

void VirtualSite::noteFact(const WorkerFact &fact)
{
    m_judge.noteFact(fact);
    if (fact.kind != WorkerFact::Kind::Ended || !fact.isMember || fact.end == ListedEnd::Broken) {
        return;
    }
    const GangRef gang { fact.run.task.step, fact.run.number };
    const ListedEnd others = fact.end == ListedEnd::Done ? ListedEnd::Done : ListedEnd::Broken;
    at(m_now, [this, gang, others] {
        for (const auto &known : m_places) {
            known->worker->endGang(gang, others, m_now);
        }
    });
}

/** Lets the gangs work whose members are all there. */
void VirtualSite::settleGangs()
{
    std::map<GangRef, std::pair<std::size_t, std::size_t>> gangs;
    for (const auto &known : m_places) {
        if (!known->isDown) {
            for (const auto &[run, size] : known->worker->waitingMembers()) {
                auto &[present, wanted] = gangs[{ run.task.step, run.number }];
                ++present;
                wanted = size;
            }
        }
    }
    for (const auto &[gang, count] : gangs) {
        for (const auto &known : m_places) {
            if (count.first == count.second && !known->isDown) {
                known->worker->beginGang(gang, m_now);
            }
        }
    }
}

void VirtualSite::log(const Host &host, const LogEvent &event)
{
    ++m_logCounts[event.name];
    if (m_isRecording) {
        m_transcript.push_back(std::to_string(m_now.time_since_epoch().count()) + " " + host.id.value() + " "
                               + formatLogEvent(event));
    }
}

void VirtualSite::deliver(Host &host, std::uint64_t process, std::function<void()> body)
{
    if (host.process != process || !host.isAlive) {
        return;
    }
    if (!host.isInTime()) {
        host.inbox.push_back(std::move(body));
        return;
    }
    host.context->setTime(m_now, wallOn(host, m_now));
    body();
}

WallTime VirtualSite::wallOn(const Host &host, TimePoint when) const
{
    return WallTime(wallStart + when.time_since_epoch().count() + host.wallOffset.count());
}

Milliseconds VirtualSite::latency()
{
    return Milliseconds(1 + static_cast<std::int64_t>(uniformBelow(m_random, 3)));
}

void VirtualSite::callStore(Host &host, std::uint64_t process, const KvRequest &request, Milliseconds timeout,
                            const JobDriver::KvHandler &then)
{
    const auto isOver = std::make_shared<bool>(false);
    const auto finish = [this, &host, process, then, isOver](const KvResult &result) {
        if (!std::exchange(*isOver, true)) {
            deliver(host, process, [then, result] { then(result); });
        }
    };
    at(m_now + timeout, [finish] { finish(tl::unexpected(KvError { KvErrorKind::Unknown, {} })); });
    at(m_now + latency(), [this, &host, process, request, finish] {
        if (host.storeTrouble == StoreTrouble::Silent) {
            return;
        }
        if (host.storeTrouble == StoreTrouble::Refusing) {
            finish(tl::unexpected(KvError { KvErrorKind::Refused, {} }));
            return;
        }
        at(m_now + m_storeDelay,
           [this, &host, process, request, finish] { arriveAtStore(host, process, request, finish); });
    });
}

void VirtualSite::arriveAtStore(Host & /*host*/, std::uint64_t /*process*/, const KvRequest &request,
                                const JobDriver::KvHandler &then)
{
    if (const auto *watch = std::get_if<KvWatch>(&request); watch != nullptr && !m_store.hasNews(*watch)) {
        m_watches.push_back({ *watch, then });
        at(m_now + watch->wait, [this, request, then] { then(m_store.execute(request, m_now)); });
        return;
    }
    const KvResult result = m_store.execute(request, m_now);
    const bool isWrite = std::holds_alternative<KvCommit>(request);
    if (isWrite && uniformUnit(m_random) < m_lostReplies) {
        return;
    }
    at(m_now + latency(), [then, result] { then(result); });
}

void VirtualSite::callWorker(Host &host, std::uint64_t process, const WorkerId &worker, const WorkerOrder &order,
                             Milliseconds timeout, const JobDriver::WorkerHandler &then)
{
    const auto isOver = std::make_shared<bool>(false);
    const auto finish = [this, &host, process, worker, order, then, isOver](const WorkerResult &result) {
        if (std::exchange(*isOver, true)) {
            return;
        }
        const bool isLook = std::holds_alternative<LookOrder>(order);
        if (!result && result.error().failure == WorkerFailure::Unknown && isLook) {
            ++place(worker).channels[host.id];
        }
        deliver(host, process, [then, result] { then(result); });
    };
    const auto fail = [finish](WorkerFailure failure) {
        finish(tl::unexpected(WorkerRefusal { failure, {} }));
    };
    at(m_now + timeout, [fail] { fail(WorkerFailure::Unknown); });
    if (entryOf(worker) == nullptr) {
        at(m_now, [fail] { fail(WorkerFailure::NotSent); });
        return;
    }
    const auto *const look = std::get_if<LookOrder>(&order);
    if (look != nullptr && look->onlyOver && look->onlyOver->value() != place(worker).channels[host.id]) {
        at(m_now, [fail] { fail(WorkerFailure::NotSent); });
        return;
    }
    at(m_now + latency(), [this, &host, process, worker, order, finish, fail] {
        Place &there = place(worker);
        if (m_workerCuts.contains({ host.id, worker }) || (there.isDown && there.isSilent)) {
            return;
        }
        if (there.isDown) {
            fail(WorkerFailure::NotSent);
            return;
        }
        const bool isLook = std::holds_alternative<LookOrder>(order);
        if (!isLook && uniformUnit(m_random) < m_lateOrders) {
            const Milliseconds late(300 + static_cast<std::int64_t>(uniformBelow(m_random, 11'700)));
            at(m_now + late, [this, worker, order] {
                if (!place(worker).isDown) {
                    static_cast<void>(place(worker).worker->execute(order, m_now));
                }
            });
            return;
        }
        arriveAtWorker(host, process, worker, order, finish);
    });
}

void VirtualSite::arriveAtWorker(Host &host, std::uint64_t /*process*/, const WorkerId &worker,
                                 const WorkerOrder &order, const JobDriver::WorkerHandler &then)
{
    const WorkerResult result = place(worker).worker->execute(order, m_now);
    const auto reply = [this, &host, worker, then](WorkerResult made) {
        if (made) {
            made->channel = WorkerChannel(place(worker).channels[host.id]);
        }
        at(m_now + latency(), [this, &host, worker, then, made] {
            if (!m_workerCuts.contains({ host.id, worker })) {
                then(made);
            }
        });
    };
    const auto *const look = std::get_if<LookOrder>(&order);
    const bool isHeld =
        look != nullptr && result && look->wait.count() > 0 && !place(worker).worker->hasEnds(look->acknowledged);
    if (!isHeld) {
        const bool isLost = look == nullptr && uniformUnit(m_random) < m_lostOrderAnswers;
        if (!isLost) {
            reply(result);
        }
        return;
    }
    const auto isOver = std::make_shared<bool>(false);
    const auto answerHold = [this, worker, reply, held = *look, isOver, life = place(worker).worker->entry().life] {
        if (std::exchange(*isOver, true) || place(worker).worker->entry().life != life) {
            return;
        }
        LookOrder again = held;
        again.leaseUntil.reset();
        reply(place(worker).worker->execute(again, m_now));
    };
    m_holds.push_back({ worker, *look, answerHold });
    at(m_now + look->wait, answerHold);
}

void VirtualSite::sendPeer(Host &host, const HostId &to, const JobMessage &message)
{
    const auto target = std::ranges::find_if(m_hosts, [&to](const auto &known) { return known->id == to; });
    if (target == m_hosts.end() || !host.links.contains(to) || m_hostCuts.contains({ host.id, to })) {
        return;
    }
    // Messages go through their wire form, so that it is tested along.
    const std::optional<JobMessage> decoded = decodeJobMessage(encodeJobMessage(message));
    Host &there = **target;
    at(m_now + latency(), [this, &there, process = there.process, from = host.id, decoded] {
        deliver(there, process, [&there, from, decoded] { there.node->handlePeer(from, *decoded); });
    });
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

void VirtualSite::killHost(const HostId &id)
{
    Host &host = find(id);
    host.isAlive = false;
    for (const auto &other : m_hosts) {
        if (other->isAlive && other->links.contains(id) && !m_hostCuts.contains({ other->id, id })) {
            at(m_now + latency(), [this, peer = other.get(), process = other->process, id] {
                deliver(*peer, process, [peer, id] { peer->node->handleLinkLost(id); });
            });
        }
    }
}

void VirtualSite::restartHost(const HostId &id)
{
    startProcess(find(id));
}

void VirtualSite::pauseHost(const HostId &id)
{
    find(id).isPaused = true;
}

void VirtualSite::resumeHost(const HostId &id)
{
    Host &host = find(id);
    host.isPaused = false;
    emptyInbox(host);
}

void VirtualSite::emptyInbox(Host &host)
{
    std::vector<std::function<void()>> inbox;
    inbox.swap(host.inbox);
    for (std::function<void()> &body : inbox) {
        deliver(host, host.process, std::move(body));
    }
}

void VirtualSite::starveHost(const HostId &id, Milliseconds round)
{
    Host &host = find(id);
    host.round = round;
    if (round.count() == 0) {
        emptyInbox(host);
        return;
    }
    at(m_now + round, [this, &host, process = host.process] { playRound(host, process); });
}

void VirtualSite::playRound(Host &host, std::uint64_t process)
{
    if (!host.isAlive || host.process != process || host.round.count() == 0) {
        return;
    }
    const TimePoint wokenAt = m_now - host.round;
    host.context->setTime(wokenAt, wallOn(host, wokenAt));
    std::vector<std::function<void()>> inbox;
    inbox.swap(host.inbox);
    for (const std::function<void()> &body : inbox) {
        body();
    }
    host.context->advance(host.context->now(), wallOn(host, wokenAt));
    at(m_now + host.round, [this, &host, process] { playRound(host, process); });
}

void VirtualSite::stopHost(const HostId &id)
{
    Host &host = find(id);
    deliver(host, host.process, [this, &host] {
        host.node->stop([this, &host, process = host.process] {
            at(m_now + removalDelay, [this, &host, process] {
                if (host.process == process && host.isAlive) {
                    killHost(host.id);
                }
            });
        });
    });
}

void VirtualSite::stepWallClock(const HostId &host, Milliseconds by)
{
    find(host).wallOffset += by;
}

void VirtualSite::troubleStore(const HostId &host, StoreTrouble trouble)
{
    find(host).storeTrouble = trouble;
}

void VirtualSite::slowStore(Milliseconds perCall)
{
    m_storeDelay = perCall;
}

void VirtualSite::loseStoreReplies(double probability)
{
    m_lostReplies = probability;
}

void VirtualSite::cutHosts(const HostId &left, const HostId &right, bool isCut)
{
    for (const auto &pair : { std::pair(left, right), std::pair(right, left) }) {
        if (isCut) {
            m_hostCuts.insert(pair);
        } else {
            m_hostCuts.erase(pair);
        }
    }
}

void VirtualSite::cutWorker(const HostId &host, const WorkerId &worker, bool isCut)
{
    if (isCut) {
        m_workerCuts.emplace(host, worker);
    } else {
        m_workerCuts.erase({ host, worker });
    }
}

void VirtualSite::cutWorkerFromAll(const WorkerId &worker, bool isCut)
{
    for (const auto &host : m_hosts) {
        cutWorker(host->id, worker, isCut);
    }
}

void VirtualSite::crashWorker(const WorkerId &worker, bool isSilent)
{
    Place &there = place(worker);
    there.worker->restart(m_now);
    there.isDown = true;
    there.isSilent = isSilent;
    std::erase_if(m_holds, [&worker](const Hold &hold) { return hold.worker == worker; });
    for (auto &[host, channel] : there.channels) {
        ++channel;
    }
    at(m_now + listSilence, [this, worker] {
        if (place(worker).isDown) {
            listWorker(worker, false);
        }
    });
}

void VirtualSite::restartWorker(const WorkerId &worker)
{
    Place &there = place(worker);
    there.isDown = false;
    m_judge.noteWorker(there.worker->entry());
    listWorker(worker, true);
}

void VirtualSite::applyOrdersLate(double probability)
{
    m_lateOrders = probability;
}

void VirtualSite::loseOrderAnswers(double probability)
{
    m_lostOrderAnswers = probability;
}

void VirtualSite::listWorker(const WorkerId &worker, bool isListed)
{
    if (isListed) {
        m_store.put(workerPrefix + worker.value(), "listed");
    } else {
        m_store.remove(workerPrefix + worker.value());
    }
}

void VirtualSite::drainWorker(const WorkerId &worker)
{
    place(worker).worker->setStanding(WorkerStanding::Draining);
    listWorker(worker, true);
}

void VirtualSite::configure(const SiteConfiguration &configuration)
{
    m_configuration = configuration;
    m_judge.noteConfiguration(configuration);
    m_store.put(configurationKey, std::to_string(configuration.version.value()));
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

JobSpec batchJob(std::uint64_t number, std::uint32_t steps, std::uint32_t width, Milliseconds work,
                 Millicores processors)
{
    JobSpec spec;
    std::string digits = std::to_string(number);
    spec.id = JobId(std::string(16 - digits.size(), '0') + digits);
    spec.queue = QueueName("batch");
    spec.payload = "work=" + std::to_string(work.count());
    for (std::uint32_t step = 0; step < steps; ++step) {
        StepSpec made;
        made.count = width;
        made.need = { processors, Mebibytes(1000), AcceleratorCount(0) };
        made.estimate = work;
        if (step > 0) {
            made.after = { step - 1 };
        }
        spec.steps.push_back(made);
    }
    return spec;
}

JobSpec lastingJob(std::uint64_t number, std::uint32_t width)
{
    JobSpec spec = batchJob(number, 1, width);
    spec.queue = QueueName("urgent");
    spec.payload = "tail=10";
    spec.steps.front().isLasting = true;
    spec.steps.front().tailTarget = Milliseconds(50);
    spec.steps.front().image = ImageName("watch");
    return spec;
}

JobSpec gangJob(std::uint64_t number, std::uint32_t width)
{
    JobSpec spec = withPayload(batchJob(number, 1, width), "gang=" + std::to_string(width));
    spec.steps.front().isGang = true;
    return spec;
}

JobSpec copiedJob(std::uint64_t number, std::uint32_t width)
{
    JobSpec spec = batchJob(number, 2, width);
    for (StepSpec &step : spec.steps) {
        step.mayRunCopies = true;
    }
    return spec;
}

JobSpec admittedJob(std::uint64_t number, std::uint32_t width)
{
    JobSpec spec = withPayload(batchJob(number, 2, width), "ticket=1");
    spec.queue = QueueName("admitted");
    return spec;
}

JobSpec repeatedJob(std::uint64_t number, WallTime first, Milliseconds interval)
{
    JobSpec spec = batchJob(number, 2, 2);
    spec.schedule = JobSchedule { first, interval, 3 };
    return spec;
}

JobSpec withPayload(JobSpec spec, const std::string &word)
{
    spec.payload += " " + word;
    return spec;
}

} // namespace currantring
