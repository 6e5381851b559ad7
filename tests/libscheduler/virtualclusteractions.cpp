#include "virtualcluster_p.h"

#include <algorithm>

// What a VirtualCluster does with the actions of its nodes, and the promises that it checks on the way.

namespace currantring {

namespace {

/** How long a client waits for an answer that never comes. */
constexpr Milliseconds clientTimeout(1000);
/** Interval at which a simulated watch looks for changes. */
constexpr Milliseconds watchInterval(20);

} // namespace

void VirtualCluster::carryOut(Host &host, const Action &action)
{
    if (const auto *store = std::get_if<StoreCallAction>(&action)) {
        carryOutStore(host, *store);
    } else if (const auto *worker = std::get_if<WorkerCallAction>(&action)) {
        carryOutWorker(host, *worker);
    } else if (const auto *endpoint = std::get_if<EndpointCallAction>(&action)) {
        carryOutEndpoint(host, *endpoint);
    } else if (const auto *peer = std::get_if<PeerSendAction>(&action)) {
        carryOutPeer(host, *peer);
    } else if (const auto *reply = std::get_if<CallerReplyAction>(&action)) {
        carryOutReply(host, *reply);
    } else if (const auto *log = std::get_if<LogAction>(&action)) {
        noteLog(host, log->event);
    } else if (std::holds_alternative<ExitAction>(action)) {
        record("exit " + host.id.value());
        host.dead = true;
    }
}

void VirtualCluster::carryOutStore(Host &host, const StoreCallAction &action)
{
    if (const auto *watch = std::get_if<StoreWatch>(&action.request)) {
        carryOutWatch(host, action.call, *watch, m_now + watch->wait);
        return;
    }
    const auto answer = [this, &host, call = action.call](const StoreResult &result, Milliseconds delay) {
        at(m_now + delay, [this, &host, call, result] {
            deliver(host, [call, result](Host &h) { h.context.completeStore(call, result); });
        });
    };
    if (host.cutFromStore) {
        answer(tl::unexpected(StoreError::NotSent), clientTimeout);
        return;
    }
    at(m_now + latency(), [this, &host, request = action.request, answer] {
        const StandinStoreCall call = m_platform->callStore(request, m_now);
        if (const auto *put = std::get_if<StorePut>(&request)) {
            record("store put by " + host.id.value() + " " + put->key + " " + (call.result ? "ok " : "refused ")
                   + put->value);
        }
        const bool isLate = call.delivery == StandinDelivery::Silent || call.delivery == StandinDelivery::Lost;
        answer(seenByClient(call), call.delay + (isLate ? clientTimeout : latency()));
    });
}

void VirtualCluster::carryOutWatch(Host &host, CallId call, const StoreWatch &watch, TimePoint until)
{
    at(m_now + watchInterval, [this, &host, call, watch, until] {
        const bool isOut = m_platform->isOut() || host.cutFromStore;
        const auto changes = isOut ? std::nullopt : m_platform->store().changesAfter(watch.prefix, watch.after);
        if (!isOut && !changes && m_now < until) {
            carryOutWatch(host, call, watch, until);
            return;
        }
        StoreReply nothing;
        nothing.revision = m_platform->store().revision();
        const StoreResult result =
            isOut ? StoreResult(tl::unexpected(StoreError::Unknown)) : StoreResult(changes.value_or(nothing));
        deliver(host, [call, result](Host &h) { h.context.completeStore(call, result); });
    });
}

void VirtualCluster::carryOutWorker(Host &host, const WorkerCallAction &action)
{
    const auto answer = [this, &host, call = action.call](const WorkerResult &result, Milliseconds delay) {
        at(m_now + delay, [this, &host, call, result] {
            deliver(host, [call, result](Host &h) { h.context.completeWorker(call, result); });
        });
    };
    if (m_workerCuts.contains({ host.id, action.worker })) {
        answer(tl::unexpected(WorkerError { WorkerErrorKind::Unknown, RefusalReason::None }), clientTimeout);
        return;
    }
    at(m_now + latency(), [this, action, answer] {
        const StandinWorkerCall call = m_platform->callWorker(action.worker, action.request, m_now);
        if (!std::holds_alternative<RenewLeases>(action.request)) {
            static constexpr std::array<std::string_view, 4> names { "start", "stop", "checkpoint", "throttle" };
            const auto [task, attempt] = std::visit(
                [](const auto &typed) {
                    if constexpr (requires { typed.task; }) {
                        return std::pair(typed.task, typed.attempt);
                    } else {
                        return std::pair(TaskId(), AttemptNumber());
                    }
                },
                action.request);
            record("worker " + action.worker.value() + " " + std::string(names.at(action.request.index())) + " "
                   + task.value() + " attempt " + std::to_string(attempt.value())
                   + (call.result ? " done" : " refused"));
        }
        if (!call.result && call.result.error().reason == RefusalReason::NoRoom) {
            violation("worker " + action.worker.value() + " was asked for more than it has");
        }
        if (m_lostWorkerReplies > 0 && !std::holds_alternative<RenewLeases>(action.request)) {
            --m_lostWorkerReplies;
            answer(tl::unexpected(WorkerError { WorkerErrorKind::Unknown, RefusalReason::None }), clientTimeout);
            return;
        }
        const bool isLate = call.delivery == StandinDelivery::Silent || call.delivery == StandinDelivery::Lost;
        answer(seenByClient(call), call.delay + (isLate ? clientTimeout : latency()));
    });
}

void VirtualCluster::carryOutEndpoint(Host &host, const EndpointCallAction &action)
{
    at(m_now + latency(), [this, &host, action, sentAt = m_now] {
        const StandinEndpointCall call = m_platform->callEndpoint(action.request, m_now);
        record("endpoint " + action.request.worker.value() + " " + action.request.request.value()
               + (call.result                                    ? " run"
                      : call.delivery == StandinDelivery::Silent ? " unheard"
                                                                 : " refused"));
        if (!call.result && call.result.error().reason == RefusalReason::NoRoom) {
            violation("endpoint " + action.request.worker.value() + " was asked for more slots than it has");
        }
        EndpointResult result = seenByClient(call);
        const TimePoint ready = call.result ? std::max(m_now, call.result->readyAt) : m_now;
        TimePoint arrival = ready + call.delay + latency();
        const TimePoint deadline = sentAt + action.request.timeout;
        const bool isSilent = call.delivery == StandinDelivery::Silent || call.delivery == StandinDelivery::Lost;
        if (isSilent || arrival > deadline) {
            result = tl::unexpected(EndpointError { EndpointErrorKind::Unknown, RefusalReason::None });
            arrival = deadline;
        }
        at(arrival, [this, &host, id = action.call, result] {
            deliver(host, [id, result](Host &h) { h.context.completeEndpoint(id, result); });
        });
    });
}

void VirtualCluster::carryOutPeer(Host &host, const PeerSendAction &action)
{
    if (m_cuts.contains({ host.id, action.to })) {
        return;
    }
    // Messages pass the codec, as they do between processes.
    const std::string bytes = encodePeerMessage(action.message);
    at(m_now + latency(), [this, from = host.id, to = action.to, bytes] {
        Host *receiver = find(to);
        if (receiver != nullptr) {
            deliver(*receiver, [from, bytes](Host &h) { h.node.handlePeer(from, decodePeerMessage(bytes).value()); });
        }
    });
}

void VirtualCluster::carryOutReply(const Host &host, const CallerReplyAction &action)
{
    VirtualCall &call = m_calls.at(action.caller.value() - 1);
    if (call.reply) {
        violation("two replies to request " + std::to_string(action.caller.value() - 1));
    }
    call.reply = action.reply;
    call.repliedAt = m_now;
    record("reply " + std::to_string(action.caller.value() - 1) + " from " + host.id.value() + " "
           + std::string(replyCodeName(action.reply.code)) + " " + action.reply.body);
    checkReply(call);
}

void VirtualCluster::noteLog(const Host &host, const LogEvent &event)
{
    ++m_logCounts[event.name];
    if (event.name != "configuration_in_force") {
        return;
    }
    for (const auto &[key, value] : event.fields) {
        if (key == "version") {
            const std::uint64_t version = std::stoull(value);
            if (version <= m_versions[host.id]) {
                violation("configuration fell back to " + value + " on " + host.id.value());
            }
            m_versions[host.id] = version;
        }
    }
}

void VirtualCluster::checkPromises()
{
    const std::vector<TaskId> &doubled = m_platform->truth().doubledTasks();
    for (; m_doubledSeen < doubled.size(); ++m_doubledSeen) {
        violation("two live attempts of task " + doubled.at(m_doubledSeen).value());
    }
}

void VirtualCluster::checkReply(const VirtualCall &call)
{
    const nlohmann::json body = nlohmann::json::parse(call.reply->body, nullptr, false);
    if (const auto *service = std::get_if<CallService>(&call.request)) {
        if (call.reply->code == ReplyCode::Ok && body.value("request", "") != service->request.value()) {
            violation("answer to another request: " + service->request.value());
        }
        return;
    }
    if (std::holds_alternative<ReadAccount>(call.request) && call.reply->code == ReplyCode::Ok) {
        checkAccount(body);
    }
    const bool saysNeverRun = std::holds_alternative<ReadTask>(call.request) && call.reply->code == ReplyCode::Ok
        && !body.value("mayHaveRun", true);
    const std::set<std::string> over { "cancelled", "expired", "unplaceable" };
    if (saysNeverRun && over.contains(body.value("state", "")) && !body.contains("attempt")
        && m_platform->truth().startCount(TaskId(body.value("task", ""))) > 0) {
        violation("task " + body.value("task", "") + " was said not to have run, and it ran");
    }
}

void VirtualCluster::checkAccount(const nlohmann::json &account)
{
    for (const nlohmann::json &entry : account.at("entries")) {
        const std::pair key(account.value("task", ""), entry.at("number").get<std::uint64_t>());
        const auto [position, isNew] = m_story.emplace(key, entry.dump());
        if (!isNew && position->second != entry.dump()) {
            violation("two stories of task " + key.first + " entry " + std::to_string(key.second) + ": "
                      + position->second + " and " + entry.dump());
        }
    }
}

void VirtualCluster::violation(const std::string &what)
{
    m_violations.push_back("at " + std::to_string(m_now.time_since_epoch().count()) + " ms: " + what);
}

void VirtualCluster::record(const std::string &line)
{
    if (m_recording) {
        m_transcript.push_back(std::to_string(m_now.time_since_epoch().count()) + " " + line);
    }
}

} // namespace currantring
