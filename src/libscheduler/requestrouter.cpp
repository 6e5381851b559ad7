#include "requestrouter.h"

#include "requestoutcome.h"
#include "requestrouter_p.h"

#include <algorithm>

namespace currantring {

namespace {

constexpr int heartbeatsBeforeVote = 3;

} // namespace

RequestRouter::Private::Private(Context &routerContext, const Chart &chart, HostId host, Forwarder routerForwarder)
    : context(routerContext)
    , self(std::move(host))
    , forwarder(std::move(routerForwarder))
    , endpoints(routerContext, chart)
    , homes(self)
{
    applyConfiguration(Configuration());
}

RequestRouter::Private::~Private() = default;

void RequestRouter::Private::applyConfiguration(const Configuration &next)
{
    configuration = next;
    // A shorter longest deadline doesn't shorten the requests that are already under way, here or elsewhere.
    EndpointLimits limits = endpoints.limits();
    limits.longestDeadline = std::max(limits.longestDeadline, configuration.duration(Setting::RequestDeadline));
    for (const ServiceEntry &service : configuration.services()) {
        limits.longestDeadline = std::max(limits.longestDeadline, service.deadline);
    }
    limits.clockError = configuration.duration(Setting::ClockError);
    limits.reportInterval = configuration.duration(Setting::ReportInterval);
    endpoints.setLimits(limits);
}

RepeatBounds RequestRouter::Private::repeatBounds() const
{
    const EndpointLimits &limits = endpoints.limits();
    const Milliseconds viewError = limits.clockError + configuration.duration(Setting::PeerSilence);
    return RepeatBounds { 2 * limits.longestDeadline + viewError, viewError };
}

bool RequestRouter::Private::isPeerViewFresh() const
{
    return !peersHeardAt || *peersHeardAt + configuration.duration(Setting::PeerSilence) >= context.now();
}

bool RequestRouter::Private::mayHoldOldCopies() const
{
    return !isPeerViewFresh()
        || (resumedAt && *resumedAt + configuration.duration(Setting::HeartbeatInterval) > context.now());
}

Flight *RequestRouter::Private::find(std::uint64_t number)
{
    const auto flight = flights.find(number);
    return flight == flights.end() ? nullptr : &flight->second;
}

FairRequestQueue &RequestRouter::Private::queueOf(const ServiceName &service)
{
    return queues[service];
}

std::uint32_t RequestRouter::Private::weightOf(const OwnerId &owner) const
{
    const OwnerEntry *entry = configuration.owner(owner);
    return entry == nullptr ? 1 : entry->weight;
}

Milliseconds RequestRouter::Private::callerTime(const CallService &request) const
{
    const ServiceEntry *service = configuration.service(request.service);
    const Milliseconds wanted = request.timeout.value_or(service->deadline);
    return std::min(wanted, endpoints.limits().longestDeadline);
}

std::optional<CallerReply> RequestRouter::Private::refuseAtOnce(const CallService &request) const
{
    if (configuration.service(request.service) == nullptr) {
        return makeOutcome(ReplyCode::Invalid, requestreason::unknownService);
    }
    if (configuration.owner(request.owner) == nullptr) {
        return makeOutcome(ReplyCode::Invalid, requestreason::unknownOwner);
    }
    if (request.request.value().empty()) {
        return makeOutcome(ReplyCode::Invalid, requestreason::noRequestId);
    }
    return std::nullopt;
}

void RequestRouter::Private::handle(const CallService &request, bool isEntry, ReplyHandler handler)
{
    if (const auto refusal = refuseAtOnce(request)) {
        context.count("requests_refused", nlohmann::json::parse(refusal->body)["reason"].get<std::string>());
        handler(*refusal);
        return;
    }
    // An earlier copy's outcome comes first: after it, this host's own reasons to refuse could mislead.
    if (joinEarlierCopy(request, handler)) {
        return;
    }
    // Peers pass on requests until they hear of the drain; those were taken already and are served.
    const std::string_view reason = draining && isEntry ? requestreason::draining
        : callerTime(request) <= Milliseconds(0)        ? requestreason::deadlineTooShort
                                                        : std::string_view();
    if (!reason.empty()) {
        context.count("requests_refused", std::string(reason));
        handler(makeOutcome(ReplyCode::NotRun, reason));
        return;
    }
    budget.noteRequest(context.now(), request.owner, request.service);
    dispatch(open(request, isEntry, std::move(handler)).number);
}

Flight *RequestRouter::Private::findRunning(const CallService &request)
{
    const RequestKey key { request.owner, request.request };
    for (const auto *copies : { &runningAsked, &running }) {
        const auto copy = copies->find(key);
        if (copy == copies->end()) {
            continue;
        }
        Flight &flight = flights.at(copy->second);
        // What was passed to the present home, which now asks back, would wait for itself.
        const bool waitsForAsker = flight.phase == FlightPhase::Forwarded && !flight.isHome;
        if (request.ask.askedBy.empty() || !waitsForAsker) {
            return &flight;
        }
    }
    return nullptr;
}

bool RequestRouter::Private::joinEarlierCopy(const CallService &request, ReplyHandler &handler)
{
    const RequestKey key { request.owner, request.request };
    if (Flight *first = findRunning(request)) {
        joinCaller(*first, callerTime(request), std::move(handler));
        context.count("requests_joined", "in-flight");
        return true;
    }
    if (const auto outcome = record.find(context.now(), key)) {
        context.count("requests_joined", "finished");
        handler(*outcome);
        return true;
    }
    return false;
}

void RequestRouter::Private::joinCaller(Flight &flight, Milliseconds remaining, ReplyHandler handler)
{
    // The first copy may still run after this caller's deadline, so all that can be said then is "unknown".
    const auto shared = std::make_shared<ReplyHandler>(std::move(handler));
    const auto answerOnce = [shared](const CallerReply &reply) {
        if (const ReplyHandler once = std::exchange(*shared, nullptr)) {
            once(reply);
        }
    };
    const TimerId timer = context.schedule(remaining, lifetime.guard([answerOnce] {
        answerOnce(makeOutcome(ReplyCode::OutcomeUnknown, requestreason::deadlinePassed));
    }));
    flight.callers.push_back(WaitingCaller { answerOnce, timer });
}

Flight &RequestRouter::Private::open(const CallService &request, bool isEntry, ReplyHandler handler)
{
    const std::uint64_t number = ++lastNumber;
    Flight &flight = flights[number];
    flight.number = number;
    flight.request = request;
    flight.idempotent = request.idempotent.value_or(configuration.service(request.service)->idempotent);
    flight.isEntry = isEntry;
    flight.arrived = context.now();
    flight.deadline = context.now() + callerTime(request);
    flight.deadlineTimer =
        context.schedule(callerTime(request), lifetime.guard([this, number] { deadlinePassed(number); }));
    flight.callers.push_back(WaitingCaller { std::move(handler), std::nullopt });
    const RequestKey key { request.owner, request.request };
    (running.contains(key) ? runningAsked : running).emplace(key, number);
    runningNonIdempotent += flight.idempotent ? 0 : 1;
    return flight;
}

void RequestRouter::Private::finish(std::uint64_t number, const CallerReply &reply)
{
    auto node = flights.extract(number);
    if (node.empty()) {
        return;
    }
    Flight &flight = node.mapped();
    const RequestKey key { flight.request.owner, flight.request.request };
    for (auto *copies : { &running, &runningAsked }) {
        if (const auto copy = copies->find(key); copy != copies->end() && copy->second == number) {
            copies->erase(copy);
        }
    }
    runningNonIdempotent -= flight.idempotent ? 0 : 1;
    context.cancel(flight.deadlineTimer);
    if (flight.backoffTimer) {
        context.cancel(*flight.backoffTimer);
    }
    if (flight.phase == FlightPhase::Queued) {
        queueOf(flight.request.service).remove(number);
    }
    const TimePoint now = context.now();
    // A request that was passed on is remembered by its home alone, which may learn more of it than this host.
    const bool mayHaveRun = reply.code == ReplyCode::Ok || reply.code == ReplyCode::OutcomeUnknown;
    if (flight.isHome && mayHaveRun) {
        record.remember(now, key, reply, now + repeatBounds().window);
    }
    if (flight.isEntry && reply.code == ReplyCode::Ok) {
        context.observe("request_duration", flight.request.owner, "service", now - flight.arrived);
    }
    context.count("requests_answered", std::string(replyCodeName(reply.code)));
    for (WaitingCaller &caller : flight.callers) {
        if (caller.deadlineTimer) {
            context.cancel(*caller.deadlineTimer);
        }
        caller.handler(reply);
    }
}

void RequestRouter::Private::finishNotRun(std::uint64_t number, std::string_view reason)
{
    const Flight *flight = find(number);
    if (flight == nullptr) {
        return;
    }
    if (flight->mayHaveRun) {
        finishUnknown(number, reason);
        return;
    }
    context.count("requests_refused", std::string(reason));
    finish(number, makeOutcome(ReplyCode::NotRun, reason));
}

void RequestRouter::Private::finishUnknown(std::uint64_t number, std::string_view reason)
{
    finish(number, makeOutcome(ReplyCode::OutcomeUnknown, reason));
}

void RequestRouter::Private::deadlinePassed(std::uint64_t number)
{
    const Flight *flight = find(number);
    if (flight == nullptr) {
        return;
    }
    const bool isOut = flight->phase == FlightPhase::AtEndpoint || flight->phase == FlightPhase::Forwarded;
    if (isOut) {
        finishUnknown(number, requestreason::deadlinePassed);
    } else {
        finishNotRun(number, requestreason::expiredInQueue);
    }
}

void RequestRouter::Private::followHosts(bool provenFresh)
{
    std::set<ServiceName> services;
    for (const PeerRoom &peer : peerRooms) {
        for (const ServiceRoom &room : peer.rooms) {
            services.insert(room.service);
        }
    }
    const std::vector<ServiceName> own = endpoints.services();
    services.insert(own.begin(), own.end());
    services.insert(followedServices.begin(), followedServices.end());
    for (const ServiceName &service : services) {
        std::vector<HostId> hosts;
        for (const PeerRoom &peer : peerRooms) {
            if (std::any_of(peer.rooms.begin(), peer.rooms.end(),
                            [&service](const ServiceRoom &room) { return room.service == service; })) {
                hosts.push_back(peer.host);
            }
        }
        if (endpoints.serves(service)) {
            hosts.push_back(self);
        }
        homes.setHosts(context.now(), repeatBounds().window, service, std::move(hosts),
                       provenFresh && peerRooms.empty());
    }
    followedServices = std::move(services);
}

RequestRouter::RequestRouter(Context &context, const Chart &endpointChart, HostId self, Forwarder forwarder)
    : m_d(std::make_unique<Private>(context, endpointChart, std::move(self), std::move(forwarder)))
{
}

RequestRouter::~RequestRouter() = default;

void RequestRouter::setConfiguration(const Configuration &configuration)
{
    m_d->applyConfiguration(configuration);
    m_d->pump();
}

void RequestRouter::setPeerRooms(std::vector<PeerRoom> rooms)
{
    const TimePoint now = m_d->context.now();
    if (!m_d->isPeerViewFresh()) {
        m_d->resumedAt = now;
        m_d->homes.forgetHistory(now);
        m_d->firstStart.close();
    }
    m_d->peersHeardAt = now;
    m_d->peerRooms = std::move(rooms);
    m_d->followHosts(false);
}

void RequestRouter::notePeerServices(const HostId &peer, const std::optional<std::vector<ServiceRoom>> &rooms)
{
    std::vector<PeerRoom> &known = m_d->peerRooms;
    const auto entry =
        std::find_if(known.begin(), known.end(), [&peer](const PeerRoom &room) { return room.host == peer; });
    const bool isKnown = entry != known.end();
    const bool isSame = isKnown == rooms.has_value()
        && (!isKnown
            || std::equal(
                entry->rooms.begin(), entry->rooms.end(), rooms->begin(), rooms->end(),
                [](const ServiceRoom &left, const ServiceRoom &right) { return left.service == right.service; }));
    // After a pause the next setPeerRooms() must see it first.
    if (isSame || peer == m_d->self || !m_d->isPeerViewFresh()) {
        return;
    }
    if (isKnown) {
        known.erase(entry);
    }
    if (rooms) {
        known.push_back(PeerRoom { peer, *rooms });
    }
    m_d->followHosts(false);
}

void RequestRouter::followFirstStart(const std::optional<std::vector<std::uint64_t>> &othersVotes)
{
    if (!othersVotes || m_d->draining) {
        return;
    }
    // Hosts that vote before they have heard each other don't agree, and then wait for a whole window.
    const Milliseconds calm = heartbeatsBeforeVote * m_d->configuration.duration(Setting::HeartbeatInterval);
    if (m_d->homes.lastChange() + calm <= m_d->context.now()) {
        m_d->firstStart.cast(m_d->context.now(), m_d->homes.viewDigest());
    }
    if (const auto start = m_d->firstStart.agree(*othersVotes)) {
        m_d->homes.startFrom(*start);
        m_d->context.log(LogLevel::Info, "first_start_agreed",
                         { { "writers", std::to_string(othersVotes->size() + 1) } });
    }
}

std::uint64_t RequestRouter::startVote() const
{
    return m_d->firstStart.vote();
}

void RequestRouter::addEndpoint(const WorkerInfo &worker, CommandFence fence, bool freshlyKnown)
{
    const bool isNew = m_d->endpoints.add(worker, fence, freshlyKnown);
    if (isNew && !freshlyKnown) {
        m_d->homes.distrustFresh(worker.services);
    }
    m_d->followHosts(freshlyKnown);
    m_d->pump();
}

void RequestRouter::updateEndpoint(const WorkerInfo &worker)
{
    m_d->endpoints.update(worker);
    m_d->followHosts(false);
    m_d->pump();
}

void RequestRouter::removeEndpoint(const WorkerId &worker)
{
    m_d->endpoints.remove(worker);
    m_d->followHosts(false);
    m_d->pump();
}

void RequestRouter::handleReport(const WorkerReport &report)
{
    m_d->endpoints.applyReport(report);
    m_d->followHosts(false);
    m_d->pump();
}

void RequestRouter::handleCall(const CallService &request, ReplyHandler handler)
{
    CallService plain = request;
    plain.ask = {};
    m_d->handle(plain, true, std::move(handler));
}

void RequestRouter::handleForwarded(const CallService &request, ReplyHandler handler)
{
    m_d->handle(request, false, std::move(handler));
}

void RequestRouter::beginDrain()
{
    m_d->draining = true;
}

std::size_t RequestRouter::inFlight() const
{
    return m_d->flights.size();
}

std::vector<ServiceRoom> RequestRouter::rooms() const
{
    std::vector<ServiceRoom> rooms;
    if (m_d->draining) {
        return rooms;
    }
    for (const ServiceName &service : m_d->endpoints.services()) {
        if (m_d->endpoints.serves(service)) {
            const auto queued = static_cast<std::uint32_t>(m_d->queueOf(service).size());
            rooms.push_back(ServiceRoom { service, m_d->endpoints.freeSlotsFor(service), queued });
        }
    }
    return rooms;
}

} // namespace currantring
