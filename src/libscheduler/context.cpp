#include "context.h"

#include <algorithm>

namespace currantring {

Context::Context(std::uint64_t seed)
    : m_random(seed)
{
}

TimePoint Context::now() const
{
    return m_now;
}

WallTime Context::wallNow() const
{
    return m_wallNow;
}

Random &Context::random()
{
    return m_random;
}

CallId Context::nextCall()
{
    return CallId(++m_lastCall);
}

void Context::callStore(StoreRequest request, StoreContinuation then)
{
    const CallId call = nextCall();
    m_storeCalls.emplace(call, std::move(then));
    m_actions.emplace_back(StoreCallAction { call, std::move(request) });
}

void Context::callWorker(const WorkerId &worker, const Address &address, WorkerRequest request, WorkerContinuation then)
{
    const CallId call = nextCall();
    m_workerCalls.emplace(call, std::move(then));
    m_actions.emplace_back(WorkerCallAction { call, worker, address, std::move(request) });
}

void Context::callEndpoint(EndpointRequest request, EndpointContinuation then)
{
    const CallId call = nextCall();
    m_endpointCalls.emplace(call, std::move(then));
    m_actions.emplace_back(EndpointCallAction { call, std::move(request) });
}

void Context::sendPeer(const HostId &to, PeerMessage message)
{
    m_actions.emplace_back(PeerSendAction { to, std::move(message) });
}

void Context::linkPeer(const HostId &peer, std::optional<Address> address)
{
    m_actions.emplace_back(PeerLinkAction { peer, std::move(address) });
}

void Context::replyCaller(CallerToken caller, CallerReply reply)
{
    m_actions.emplace_back(CallerReplyAction { caller, std::move(reply) });
}

void Context::log(LogLevel level, std::string name, std::vector<std::pair<std::string, std::string>> fields)
{
    m_actions.emplace_back(LogAction { LogEvent { level, std::move(name), std::move(fields) } });
}

void Context::observe(std::string name, const OwnerId &owner, std::string workClass, Milliseconds duration)
{
    m_actions.emplace_back(ObserveAction { std::move(name), owner, std::move(workClass), duration });
}

void Context::count(std::string name, std::string reason)
{
    m_actions.emplace_back(CountAction { std::move(name), std::move(reason) });
}

void Context::exit()
{
    m_actions.emplace_back(ExitAction {});
}

TimerId Context::schedule(Milliseconds delay, std::function<void()> then)
{
    return m_timers.schedule(m_now + std::max(delay, Milliseconds(0)), std::move(then));
}

void Context::cancel(TimerId timer)
{
    m_timers.cancel(timer);
}

void Context::advance(TimePoint now, WallTime wallNow)
{
    m_now = std::max(m_now, now);
    m_wallNow = wallNow;
    m_timers.runDue(m_now);
}

std::optional<TimePoint> Context::nextTimer() const
{
    return m_timers.next();
}

std::vector<Action> Context::takeActions()
{
    return std::exchange(m_actions, {});
}

namespace {

template<typename Calls, typename Result>
void complete(Calls &calls, CallId call, const Result &result)
{
    auto continuation = calls.extract(call);
    if (!continuation.empty()) {
        continuation.mapped()(result);
    }
}

} // namespace

void Context::completeStore(CallId call, const StoreResult &result)
{
    complete(m_storeCalls, call, result);
}

void Context::completeWorker(CallId call, const WorkerResult &result)
{
    complete(m_workerCalls, call, result);
}

void Context::completeEndpoint(CallId call, const EndpointResult &result)
{
    complete(m_endpointCalls, call, result);
}

} // namespace currantring
