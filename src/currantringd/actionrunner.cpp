#include "actionrunner.h"

#include "log.h"
#include "peermessage.h"

#include <utility>

namespace currantring {

ActionRunner::ActionRunner(Parts parts)
    : m_parts(std::move(parts))
{
}

void ActionRunner::run(Action &action)
{
    std::visit([this](auto &kind) { carryOut(kind); }, action);
}

void ActionRunner::carryOut(StoreCallAction &action)
{
    const bool waits = std::holds_alternative<StoreWatch>(action.request);
    CallPool &pool = waits ? m_parts.pools.watch : m_parts.pools.store;
    const CallId call = action.call;
    const bool taken = pool.tryRun([this, call, request = std::move(action.request)] {
        m_parts.post(StoreDone { call, m_parts.calls.store(request) });
    });
    if (!taken) {
        m_parts.metrics.countReason("calls_refused", "store");
        m_parts.post(StoreDone { call, tl::unexpected(StoreError::NotSent) });
    }
}

void ActionRunner::carryOut(WorkerCallAction &action)
{
    const CallId call = action.call;
    const bool taken = m_parts.pools.worker.tryRun(
        [this, call, address = std::move(action.address), request = std::move(action.request)] {
            m_parts.post(WorkerDone { call, m_parts.calls.worker(address, request) });
        });
    if (!taken) {
        m_parts.metrics.countReason("calls_refused", "worker");
        m_parts.post(WorkerDone { call, tl::unexpected(WorkerError { WorkerErrorKind::NotSent, {} }) });
    }
}

void ActionRunner::carryOut(EndpointCallAction &action)
{
    const CallId call = action.call;
    const auto deadline = std::chrono::steady_clock::now() + action.request.timeout;
    const bool taken = m_parts.pools.endpoint.tryRun([this, call, deadline, request = std::move(action.request)] {
        EndpointRequest present = request;
        present.timeout = std::chrono::floor<Milliseconds>(deadline - std::chrono::steady_clock::now());
        if (present.timeout.count() <= 0) {
            // It waited for a thread until its deadline.
            m_parts.post(EndpointDone { call, tl::unexpected(EndpointError { EndpointErrorKind::NotSent, {} }) });
            return;
        }
        m_parts.post(EndpointDone { call, m_parts.calls.endpoint(present) });
    });
    if (!taken) {
        m_parts.metrics.countReason("calls_refused", "endpoint");
        m_parts.post(EndpointDone { call, tl::unexpected(EndpointError { EndpointErrorKind::NotSent, {} }) });
    }
}

void ActionRunner::carryOut(PeerSendAction &action)
{
    if (!m_parts.peers.send(action.to, encodePeerMessage(action.message))) {
        m_parts.metrics.countReason("peer_messages_unsent", peerMessageName(action.message));
    }
}

void ActionRunner::carryOut(PeerLinkAction &action)
{
    if (action.address) {
        m_parts.peers.connect(action.peer, *action.address);
    } else {
        m_parts.peers.disconnect(action.peer);
    }
}

void ActionRunner::carryOut(CallerReplyAction &action)
{
    if (!m_parts.replies.complete(action.caller, std::move(action.reply))) {
        m_parts.metrics.count("replies_dropped");
    }
}

void ActionRunner::carryOut(LogAction &action)
{
    writeLog(action.event);
}

void ActionRunner::carryOut(ObserveAction &action)
{
    m_parts.metrics.observe(action.name, { action.owner, action.workClass }, action.duration);
}

void ActionRunner::carryOut(CountAction &action)
{
    if (action.reason.empty()) {
        m_parts.metrics.count(action.name);
    } else {
        m_parts.metrics.countReason(action.name, action.reason);
    }
}

void ActionRunner::carryOut(ExitAction & /*action*/)
{
    // The loop ends by itself.
}

} // namespace currantring
