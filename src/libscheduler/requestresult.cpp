#include "requestoutcome.h"
#include "requestrouter_p.h"

namespace currantring {

namespace {

/** What a result says of the request that was sent. */
enum class Fate { Answered, SurelyNotRun, Unknown };

Fate fateOf(const RequestId &request, const EndpointResult &result)
{
    if (result) {
        return result->request == request ? Fate::Answered : Fate::Unknown;
    }
    return result.error().kind == EndpointErrorKind::Unknown ? Fate::Unknown : Fate::SurelyNotRun;
}

RefusalReason refusalOf(const EndpointResult &result)
{
    const bool isRefusal = !result && result.error().kind == EndpointErrorKind::Refused;
    return isRefusal ? result.error().reason : RefusalReason::None;
}

} // namespace

void RequestRouter::Private::handleResult(const EndpointSend &send, const EndpointResult &result)
{
    if (result && result->request != send.request) {
        context.count("answers_dropped", "wrong-request");
    }
    settleSlot(send, result);
    Flight *flight = find(send.flight);
    if (flight != nullptr && flight->send == send.send && flight->phase == FlightPhase::AtEndpoint) {
        if (fateOf(send.request, result) == Fate::SurelyNotRun) {
            flight->triedWorkers.insert(send.worker);
        }
        settleFlight(*flight, result);
    } else if (fateOf(send.request, result) == Fate::Answered) {
        context.count("answers_dropped", "late");
    }
    pump();
}

void RequestRouter::Private::settleSlot(const EndpointSend &send, const EndpointResult &result)
{
    Endpoint *endpoint = endpoints.find(send.worker, send.generation);
    if (endpoint == nullptr) {
        return;
    }
    const TimePoint now = context.now();
    const EndpointLimits &limits = endpoints.limits();
    if (fateOf(send.request, result) == Fate::Unknown) {
        endpoint->slots.abandon(now + limits.clockError, send.sentAt + send.timeout + limits.clockError);
    } else if (refusalOf(result) == RefusalReason::NoRoom) {
        // Something that isn't counted here holds the slot; as after a takeover it ends by the longest deadline.
        endpoint->slots.abandon(now + limits.clockError, now + limits.longestDeadline + limits.clockError);
    } else {
        endpoint->slots.release();
    }
    judgeEndpoint(*endpoint, send, result);
}

void RequestRouter::Private::judgeEndpoint(Endpoint &endpoint, const EndpointSend &send, const EndpointResult &result)
{
    const TimePoint now = context.now();
    const Fate fate = fateOf(send.request, result);
    if (fate == Fate::Answered) {
        const Milliseconds duration = now - send.sentAt;
        endpoint.serviceTime.learn(duration);
        serviceTimes[send.service].learn(duration);
        if (endpoint.health.noteSuccess()) {
            context.log(LogLevel::Info, "endpoint_recovered", { { "worker", send.worker.value() } });
        }
        return;
    }
    if (fate == Fate::Unknown) {
        // Running out of a time that was short for the service says nothing against the endpoint.
        const auto timeoutMs = static_cast<double>(send.timeout.count());
        const bool wasShort = now - send.sentAt >= send.timeout && timeoutMs < 2 * endpoint.serviceTime.meanMs();
        wasShort ? endpoint.health.dropProbe(now) : noteFailure(endpoint);
        return;
    }
    switch (refusalOf(result)) {
    case RefusalReason::StaleEpoch:
        context.log(LogLevel::Warning, "endpoint_lost", { { "worker", send.worker.value() } });
        endpoints.remove(send.worker);
        followHosts(false);
        break;
    case RefusalReason::Leaving:
        endpoints.noteRefusedLeaving(endpoint);
        followHosts(false);
        break;
    case RefusalReason::Failing:
        noteFailure(endpoint);
        break;
    default:
        result.error().kind == EndpointErrorKind::NotSent ? noteFailure(endpoint) : endpoint.health.dropProbe(now);
        break;
    }
}

void RequestRouter::Private::noteFailure(Endpoint &endpoint)
{
    if (endpoint.health.noteFailure(context.now(), context.random())) {
        context.count("endpoints_shed");
        context.log(LogLevel::Warning, "endpoint_shed", { { "worker", endpoint.info.id.value() } });
    }
}

void RequestRouter::Private::settleFlight(Flight &flight, const EndpointResult &result)
{
    switch (fateOf(flight.request.request, result)) {
    case Fate::Answered:
        finish(flight.number, CallerReply { ReplyCode::Ok, result->body });
        break;
    case Fate::SurelyNotRun:
        retry(flight,
              result.error().kind == EndpointErrorKind::Refused ? requestreason::endpointRefused
                                                                : requestreason::connectionLost);
        break;
    case Fate::Unknown:
        flight.mayHaveRun = true;
        if (flight.idempotent) {
            retry(flight, requestreason::connectionLost);
        } else {
            finishUnknown(flight.number, requestreason::connectionLost);
        }
        break;
    }
}

} // namespace currantring
