#pragma once

#include "callercall.h"
#include "jobcontext.h"
#include "jobmessage.h"
#include "lifetime.h"

#include <functional>
#include <map>
#include <optional>

namespace currantring {

/**
 * Forwards callers' calls to the writer and returns its answers, also across changes of the writer.
 *
 * Calls are resent freely, since all of them are idempotent: a submission is identified by its job's id. A refusal
 * tells the caller that the call has no effect, so it is passed on only once all copies of the call are refused. Thread
 * safety: one thread at a time.
 */
class CallGateway
{
public:
    /** Sends a call to the current writer; returns false when this host reaches none. */
    using Sender = std::function<bool(ForwardNumber number, const CallerCall &call, Milliseconds timeLeft)>;

    /** Precondition: @p context outlives the object. */
    CallGateway(JobContext &context, Sender send);

    /** Accepts a call that times out at @p caller after @p timeLeft. The answer goes to the context. */
    void accept(CallerToken caller, CallerCall call, Milliseconds timeLeft);
    /** Delivers the writer's answer to the caller. */
    void complete(ForwardNumber number, const CallAnswer &answer);
    /** Resends all pending calls, after a change of the writer or of the connection to it. */
    void resend();
    /**
     * Another host has become the writer. Copies sent to an earlier one have no effect beyond what the log shows to the
     * next writer, so its answers alone count; the caller of the function drops those of earlier writers.
     */
    void handleWriterChange();
    /** Drops the pending calls of a caller that has disconnected. */
    void forget(CallerToken caller);

private:
    struct Pending
    {
        CallerToken caller;
        CallerCall call;
        TimePoint acceptedAt;
        TimePoint deadline;
        std::optional<TimePoint> sentAt;
        /** Copies that were sent and haven't been answered; the writer may still act on them. */
        std::size_t unansweredCopies = 0;
        /** The writer has refused one of several copies. */
        bool isRefused = false;
    };

    void send(ForwardNumber number, Pending &pending);
    void sweep();
    void finish(ForwardNumber number, const CallAnswer &answer, std::string_view reason);

    JobContext &m_context;
    Sender m_send;
    Lifetime m_lifetime;
    std::uint64_t m_lastNumber;
    std::map<ForwardNumber, Pending> m_pending;
    bool m_isSweeping = false;
};

} // namespace currantring
