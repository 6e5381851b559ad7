#include "requestoutcome.h"
#include "requestrouter_p.h"

#include <algorithm>

namespace currantring {

namespace {

/** Time that a peer's reply needs at most on its way, as a rule. */
constexpr Milliseconds longestReplyMargin { 10 };
/** Shortest wait before waiting requests are looked at again without an event. */
constexpr Milliseconds shortestWake { 10 };
/** A queued request isn't sent with less of its mean service time left than this share: it would only take a slot. */
constexpr double leastServiceShare = 0.5;

ServiceRoom *roomOf(PeerRoom &peer, const ServiceName &service)
{
    const auto room = std::find_if(peer.rooms.begin(), peer.rooms.end(),
                                   [&service](const ServiceRoom &candidate) { return candidate.service == service; });
    return room == peer.rooms.end() ? nullptr : &*room;
}

HomeKey homeKeyOf(const CallService &request)
{
    return HomeKey { request.service, request.owner, request.request };
}

bool isHomeChanged(const CallerReply &reply)
{
    return reply.code == ReplyCode::OutcomeUnknown
        && reply.body == makeOutcome(reply.code, requestreason::homeChanged).body;
}

} // namespace

void RequestRouter::Private::dispatch(std::uint64_t number)
{
    Flight *flight = find(number);
    if (flight == nullptr) {
        return;
    }
    flight->backoffTimer.reset();
    if (flight->idempotent) {
        dispatchIdempotent(*flight);
    } else if (flight->isHome) {
        serveHere(*flight);
    } else {
        dispatchNonIdempotent(*flight);
    }
}

void RequestRouter::Private::dispatchIdempotent(Flight &flight)
{
    const ServiceName &service = flight.request.service;
    if (queueOf(service).size() == 0 && sendNow(flight)) {
        return;
    }
    if (flight.isEntry) {
        if (const auto peer = peerWithFreeSlot(flight)) {
            forward(flight, *peer);
            return;
        }
        if (!endpoints.serves(service)) {
            if (const auto peer = peerWithShortQueue(flight)) {
                forward(flight, *peer);
                return;
            }
        }
    }
    serveHere(flight);
}

void RequestRouter::Private::dispatchNonIdempotent(Flight &flight)
{
    const auto home = homes.home(homeKeyOf(flight.request));
    if (!home) {
        finishNotRun(flight.number, requestreason::noEndpoint);
    } else if (*home != self && flight.isEntry) {
        mayHoldOldCopies() ? finishUnknown(flight.number, requestreason::homeChanged) : forward(flight, *home);
    } else {
        dispatchAsHome(flight);
    }
}

void RequestRouter::Private::dispatchAsHome(Flight &flight)
{
    const CallService &request = flight.request;
    if (!isPeerViewFresh()) {
        finishUnknown(flight.number, requestreason::homeChanged);
    } else if (!homes.mayRun(context.now(), repeatBounds(), homeKeyOf(request), request.ask)) {
        askFormerHome(flight);
    } else if (!record.hasRoom(context.now(), runningNonIdempotent)) {
        finishNotRun(flight.number, requestreason::recordFull);
    } else {
        flight.isHome = true;
        firstStart.noteRun();
        serveHere(flight);
    }
}

void RequestRouter::Private::askFormerHome(Flight &flight)
{
    const auto former = homes.formerHome(context.now(), homeKeyOf(flight.request), flight.request.ask);
    const bool isLive = former && std::any_of(peerRooms.begin(), peerRooms.end(), [&former](const PeerRoom &peer) {
                            return peer.host == former->first;
                        });
    if (!isLive) {
        finishUnknown(flight.number, requestreason::homeChanged);
        return;
    }
    if (!record.hasRoom(context.now(), runningNonIdempotent)) {
        // An earlier copy may have run at the former home, so that this isn't a plain "not run".
        finishUnknown(flight.number, requestreason::recordFull);
        return;
    }
    context.count("requests_asked_of_former_home");
    flight.isHome = true;
    flight.request.ask = former->second;
    forward(flight, former->first);
}

void RequestRouter::Private::serveHere(Flight &flight)
{
    const CallService &request = flight.request;
    if (!endpoints.serves(request.service)) {
        finishNotRun(flight.number, requestreason::noEndpoint);
        return;
    }
    FairRequestQueue &queue = queueOf(request.service);
    if (queue.size() == 0 && sendNow(flight)) {
        return;
    }
    const auto limit =
        configuration.value(Setting::RequestQueueLimit, Scope { request.owner, request.service, {}, {} });
    const QueueConditions conditions {
        context.now(),
        static_cast<std::size_t>(std::max<std::int64_t>(limit, 0)),
        endpoints.slotsFor(request.service),
        serviceTimes[request.service].meanMs(),
    };
    flight.phase = FlightPhase::Queued;
    const QueuedRequest queued { flight.number, request.owner, flight.deadline };
    if (const auto reason = admit(queue, queued, weightOf(request.owner), conditions)) {
        finishNotRun(flight.number, *reason);
        return;
    }
    pump();
}

bool RequestRouter::Private::sendNow(Flight &flight)
{
    const Milliseconds remaining = flight.deadline - context.now();
    if (remaining <= Milliseconds(0)) {
        return false;
    }
    const CallService &request = flight.request;
    Endpoint *endpoint = endpoints.take(request.service, flight.triedWorkers, flight.idempotent);
    if (endpoint == nullptr) {
        return false;
    }
    flight.phase = FlightPhase::AtEndpoint;
    ++flight.send;
    const EndpointSend send { flight.number,   flight.send,     endpoint->info.id, endpoint->generation,
                              request.service, request.request, context.now(),     remaining };
    EndpointRequest outgoing { endpoint->fence, endpoint->info.id, endpoint->info.address,
                               request.service, request.request,   request.body,
                               remaining };
    context.callEndpoint(std::move(outgoing),
                         lifetime.guard([this, send](const EndpointResult &result) { handleResult(send, result); }));
    return true;
}

void RequestRouter::Private::forward(Flight &flight, const HostId &peer)
{
    flight.phase = FlightPhase::Forwarded;
    flight.triedPeers.insert(peer);
    const std::uint64_t number = flight.number;
    const std::uint32_t send = ++flight.send;
    CallService outgoing = flight.request;
    outgoing.idempotent = flight.idempotent;
    // Less time for the peer, so that its truthful "not run" is here before this host can only say "unknown".
    const Milliseconds remaining = flight.deadline - context.now();
    outgoing.timeout = remaining - std::min(remaining / 10, longestReplyMargin);
    forwarder(peer, outgoing,
              lifetime.guard([this, number, send](const CallerReply &reply) { handlePeerReply(number, send, reply); }));
}

void RequestRouter::Private::handlePeerReply(std::uint64_t number, std::uint32_t send, const CallerReply &reply)
{
    Flight *flight = find(number);
    if (flight == nullptr || flight->send != send || flight->phase != FlightPhase::Forwarded) {
        context.count("answers_dropped", "late-from-peer");
        return;
    }
    const bool mayHaveRun = reply.code == ReplyCode::OutcomeUnknown || reply.code == ReplyCode::NotYetKnown;
    // The former home ran no copy now, and what it ran earlier isn't known: nothing to remember.
    flight->isHome = flight->isHome && !isHomeChanged(reply);
    flight->mayHaveRun = flight->mayHaveRun || mayHaveRun;
    if (flight->idempotent && (mayHaveRun || reply.code == ReplyCode::NotRun)) {
        retry(*flight, mayHaveRun ? requestreason::connectionLost : requestreason::endpointRefused);
        return;
    }
    finish(number, reply);
}

std::optional<HostId> RequestRouter::Private::peerWithFreeSlot(const Flight &flight)
{
    std::vector<std::pair<HostId, ServiceRoom *>> candidates;
    for (PeerRoom &peer : peerRooms) {
        ServiceRoom *room = roomOf(peer, flight.request.service);
        if (room != nullptr && room->freeSlots > 0 && !flight.triedPeers.contains(peer.host)) {
            candidates.emplace_back(peer.host, room);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    // The best of two at random: all hosts see the same stale digests, and taking the best would flood it.
    const auto &first = candidates[uniformBelow(context.random(), candidates.size())];
    const auto &second = candidates[uniformBelow(context.random(), candidates.size())];
    const auto &chosen = first.second->freeSlots >= second.second->freeSlots ? first : second;
    --chosen.second->freeSlots;
    return chosen.first;
}

std::optional<HostId> RequestRouter::Private::peerWithShortQueue(const Flight &flight)
{
    std::optional<HostId> best;
    ServiceRoom *bestRoom = nullptr;
    for (PeerRoom &peer : peerRooms) {
        ServiceRoom *room = roomOf(peer, flight.request.service);
        const bool isCandidate = room != nullptr && !flight.triedPeers.contains(peer.host);
        if (isCandidate && (bestRoom == nullptr || room->queued < bestRoom->queued)) {
            best = peer.host;
            bestRoom = room;
        }
    }
    if (bestRoom != nullptr) {
        ++bestRoom->queued;
    }
    return best;
}

void RequestRouter::Private::retry(Flight &flight, std::string_view reason)
{
    const CallService &request = flight.request;
    flight.phase = FlightPhase::BackingOff;
    const Milliseconds wait = flight.backoff.next(context.random());
    if (context.now() + wait >= flight.deadline) {
        finishNotRun(flight.number, reason);
        return;
    }
    const auto percent = configuration.value(Setting::RetryBudget, Scope { request.owner, request.service, {}, {} });
    if (!budget.trySpend(context.now(), request.owner, request.service, percent)) {
        finishNotRun(flight.number, requestreason::retryBudget);
        return;
    }
    context.count("requests_retried", std::string(reason));
    flight.backoffTimer = context.schedule(wait, lifetime.guard([this, number = flight.number] { dispatch(number); }));
}

void RequestRouter::Private::pump()
{
    if (pumping) {
        return;
    }
    pumping = true;
    // One request of each service in turn, so that none takes all slots of workers that serve several.
    bool sentAny = true;
    while (sentAny) {
        sentAny = false;
        std::vector<ServiceName> waiting;
        for (const auto &[service, queue] : queues) {
            if (queue.size() > 0) {
                waiting.push_back(service);
            }
        }
        for (const ServiceName &service : waiting) {
            sentAny = pumpOne(service) || sentAny;
        }
    }
    pumping = false;
    scheduleWake();
}

bool RequestRouter::Private::pumpOne(const ServiceName &service)
{
    if (!endpoints.serves(service)) {
        redirectQueue(service);
        return false;
    }
    if (!endpoints.hasSlotNow(service)) {
        return false;
    }
    const auto next = queueOf(service).pop();
    if (!next) {
        return false;
    }
    return sendQueued(next->number);
}

bool RequestRouter::Private::sendQueued(std::uint64_t number)
{
    Flight &flight = flights.at(number);
    const auto remainingMs = static_cast<double>((flight.deadline - context.now()).count());
    if (remainingMs <= 0) {
        finishNotRun(number, requestreason::expiredInQueue);
    } else if (remainingMs < leastServiceShare * serviceTimes[flight.request.service].meanMs()) {
        finishNotRun(number, requestreason::deadlineTooShort);
    } else if (!sendNow(flight)) {
        queueOf(flight.request.service)
            .push(QueuedRequest { number, flight.request.owner, flight.deadline }, weightOf(flight.request.owner));
        return false;
    }
    return true;
}

void RequestRouter::Private::redirectQueue(const ServiceName &service)
{
    while (const auto next = queueOf(service).pop()) {
        Flight &flight = flights.at(next->number);
        const auto peer = flight.idempotent && flight.isEntry ? peerWithShortQueue(flight) : std::nullopt;
        if (peer) {
            forward(flight, *peer);
        } else {
            finishNotRun(next->number, requestreason::noEndpoint);
        }
    }
}

void RequestRouter::Private::scheduleWake()
{
    if (wakeTimer) {
        context.cancel(*wakeTimer);
        wakeTimer.reset();
    }
    std::optional<TimePoint> next;
    for (const auto &[service, queue] : queues) {
        const auto wake = queue.size() > 0 ? endpoints.nextWake(service) : std::nullopt;
        if (wake && (!next || *wake < *next)) {
            next = wake;
        }
    }
    if (next) {
        const Milliseconds delay = std::max(*next - context.now(), shortestWake);
        wakeTimer = context.schedule(delay, lifetime.guard([this] {
            wakeTimer.reset();
            pump();
        }));
    }
}

} // namespace currantring
