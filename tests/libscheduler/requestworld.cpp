#include "requestworld.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace currantring {

namespace {

constexpr Milliseconds linkDelay { 1 };
constexpr Milliseconds exchangeInterval { 100 };

Configuration makeConfiguration(const std::string &settings)
{
    const std::string text = "[defaults]\n" + settings + R"(
[[owners]]
id = "alder"
weight = 1
quota = { millicores = 1000, mebibytes = 1000 }
[[owners]]
id = "birch"
weight = 3
quota = { millicores = 1000, mebibytes = 1000 }
[[services]]
name = "search"
owner = "alder"
deadline = 1000
idempotent = true
)";
    const auto configuration = Configuration::parse(text, "test");
    BOOST_REQUIRE(configuration.has_value());
    return *configuration;
}

const Chart &endpointChart()
{
    static const auto chart = Chart::load(std::string(CURRANTRING_CHARTS) + "/endpoint.scxml");
    BOOST_REQUIRE(chart.has_value());
    return *chart;
}

} // namespace

std::string Outcome::reason() const
{
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    return json.is_object() ? json.value("reason", "") : "";
}

RequestWorld::RequestWorld(std::uint64_t seed, const std::string &settings)
    : context(seed)
    , m_configuration(makeConfiguration(settings))
{
    context.advance(TimePoint(Milliseconds(1000)), WallTime(0));
}

RequestWorld::~RequestWorld() = default;

RequestRouter &RequestWorld::addHost(const std::string &name)
{
    const auto forward = [this](const HostId &peer, const CallService &request,
                                const RequestRouter::ReplyHandler &handler) {
        at(linkDelay, [this, peer, request, handler] {
            const auto target = m_hosts.find(peer.value());
            if (target == m_hosts.end() || m_gone[peer.value()]) {
                return;
            }
            target->second->handleForwarded(request, [this, handler](const CallerReply &reply) {
                if (!m_loseReplies) {
                    at(linkDelay, [handler, reply] { handler(reply); });
                }
            });
        });
        at(*request.timeout + Milliseconds(20), [handler] {
            handler(CallerReply { ReplyCode::OutcomeUnknown, R"({"reason":"connection-lost"})" });
        });
    };
    auto router = std::make_unique<RequestRouter>(context, endpointChart(), HostId(name), forward);
    router->setConfiguration(m_configuration);
    RequestRouter &reference = *router;
    m_hosts[name] = std::move(router);
    exchangeRooms();
    return reference;
}

RequestRouter &RequestWorld::host(const std::string &name)
{
    return *m_hosts.at(name);
}

void RequestWorld::dropHost(const std::string &name)
{
    m_gone[name] = true;
    exchangeRooms();
}

WorkerInfo RequestWorld::info(const std::string &worker, WorkerState state) const
{
    WorkerInfo info;
    info.id = WorkerId(worker);
    info.slots = m_workers.at(worker).slots;
    info.services = { ServiceName("search") };
    info.state = state;
    return info;
}

WorkerReport RequestWorld::report(const std::string &worker, bool leaving) const
{
    WorkerReport report;
    report.worker = WorkerId(worker);
    report.leaving = leaving;
    report.activeRequests = m_workers.at(worker).active;
    return report;
}

void RequestWorld::addWorker(const std::string &host, const std::string &worker, std::uint32_t slots, bool fresh,
                             std::uint64_t epoch)
{
    m_workers[worker].slots = slots;
    m_workers[worker].epoch = epoch;
    m_hosts.at(host)->addEndpoint(info(worker), CommandFence { ShardId(0), Epoch(epoch) }, fresh);
    exchangeRooms();
}

void RequestWorld::script(const std::string &worker, std::deque<Script> scripts, Script usual)
{
    m_workers.at(worker).scripts = std::move(scripts);
    m_workers.at(worker).usual = usual;
}

const Outcome &RequestWorld::call(const std::string &host, const std::string &request, bool idempotent,
                                  Milliseconds timeout, const std::string &owner)
{
    Outcome &outcome = m_outcomes.emplace_back();
    const CallService service {
        OwnerId(owner), ServiceName("search"), RequestId(request), idempotent, "body", timeout
    };
    m_hosts.at(host)->handleCall(service, [this, &outcome](CallerReply reply) {
        ++outcome.replies;
        outcome.reply = std::move(reply);
        outcome.at = context.now();
    });
    drainActions();
    return outcome;
}

void RequestWorld::at(Milliseconds delay, std::function<void()> event)
{
    m_events.emplace(std::pair(context.now() + delay, ++m_lastEvent), std::move(event));
}

void RequestWorld::run(Milliseconds duration)
{
    const TimePoint end = context.now() + duration;
    drainActions();
    while (true) {
        TimePoint next = std::min(end, m_nextExchange);
        if (!m_events.empty()) {
            next = std::min(next, m_events.begin()->first.first);
        }
        next = std::min(next, context.nextTimer().value_or(end));
        context.advance(next, WallTime(0));
        if (m_nextExchange <= context.now()) {
            exchangeRooms();
        }
        while (!m_events.empty() && m_events.begin()->first.first <= context.now()) {
            m_events.extract(m_events.begin()).mapped()();
        }
        drainActions();
        if (context.now() >= end) {
            return;
        }
    }
}

void RequestWorld::settle()
{
    run(Milliseconds(10000));
}

void RequestWorld::loseReplies(bool lose)
{
    m_loseReplies = lose;
}

void RequestWorld::exchangeRooms()
{
    m_nextExchange = context.now() + exchangeInterval;
    for (const auto &[name, router] : m_hosts) {
        std::vector<PeerRoom> rooms;
        for (const auto &[peer, other] : m_hosts) {
            if (peer != name && !m_gone[peer]) {
                rooms.push_back(PeerRoom { HostId(peer), other->rooms() });
            }
        }
        router->setPeerRooms(std::move(rooms));
    }
}

void RequestWorld::drainActions()
{
    for (std::vector<Action> actions = context.takeActions(); !actions.empty(); actions = context.takeActions()) {
        for (const Action &action : actions) {
            if (const auto *endpointCall = std::get_if<EndpointCallAction>(&action)) {
                serve(*endpointCall);
            } else if (const auto *count = std::get_if<CountAction>(&action)) {
                ++m_counts[count->name + "/" + count->reason];
            } else if (const auto *log = std::get_if<LogAction>(&action)) {
                ++m_logs[log->event.name];
            }
        }
    }
}

void RequestWorld::execute(Worker &worker, const EndpointRequest &request, Milliseconds duration)
{
    ++m_runs[request.request.value()];
    ++worker.active;
    m_overcommitted = std::max(m_overcommitted, worker.active - std::min(worker.active, worker.slots));
    // A worker drops what has run past the time that the caller gave.
    at(std::min(duration, request.timeout), [&worker] { --worker.active; });
}

void RequestWorld::serve(const EndpointCallAction &action)
{
    const EndpointRequest request = action.request;
    Worker &worker = m_workers.at(request.worker.value());
    ++worker.sends;
    Script script = worker.usual;
    if (!worker.scripts.empty()) {
        script = worker.scripts.front();
        worker.scripts.pop_front();
    }
    const auto complete = [this, call = action.call](Milliseconds delay, const EndpointResult &result) {
        at(delay, [this, call, result] { context.completeEndpoint(call, result); });
    };
    const auto failure = [](EndpointErrorKind kind, RefusalReason reason = RefusalReason::None) {
        return tl::unexpected(EndpointError { kind, reason });
    };
    if (request.fence.epoch < Epoch(worker.epoch)) {
        complete(linkDelay, failure(EndpointErrorKind::Refused, RefusalReason::StaleEpoch));
    } else if (script.deed == Deed::Refuse) {
        complete(script.delay, failure(EndpointErrorKind::Refused, script.reason));
    } else if (script.deed == Deed::NotSend) {
        complete(script.delay, failure(EndpointErrorKind::NotSent));
    } else if (script.deed == Deed::BreakUnrun) {
        complete(script.delay, failure(EndpointErrorKind::Unknown));
    } else if (script.deed == Deed::RunAndBreak) {
        execute(worker, request, request.timeout);
        complete(script.delay, failure(EndpointErrorKind::Unknown));
    } else {
        execute(worker, request, script.delay);
        const RequestId answered(script.deed == Deed::AnswerWrongId ? "another" : request.request.value());
        complete(script.delay, EndpointAnswer { answered, "answer to " + request.request.value() });
        if (script.deed == Deed::AnswerTwice) {
            complete(script.delay + linkDelay, EndpointAnswer { answered, "second answer" });
        }
    }
}

int RequestWorld::runs(const std::string &request) const
{
    const auto found = m_runs.find(request);
    return found == m_runs.end() ? 0 : found->second;
}

int RequestWorld::sends(const std::string &worker) const
{
    return m_workers.at(worker).sends;
}

int RequestWorld::counted(const std::string &name, const std::string &reason) const
{
    const auto found = m_counts.find(name + "/" + reason);
    return found == m_counts.end() ? 0 : found->second;
}

int RequestWorld::logged(const std::string &event) const
{
    const auto found = m_logs.find(event);
    return found == m_logs.end() ? 0 : found->second;
}

std::uint32_t RequestWorld::overcommitted() const
{
    return m_overcommitted;
}

} // namespace currantring
