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
 * Carries callers' calls to the writer and its answers back, over changes of the writer.
 *
 * All calls may be repeated without harm: a job's id makes its submission idempotent. Thread safety: one thread at a
 * time.
 */
class CallGateway
{
public:
    /** Hands a call to the present writer; false when there is none that this host reaches. */
    using Sender = std::function<bool(ForwardNumber number, const CallerCall &call, Milliseconds timeLeft)>;

    /** Precondition: @p context outlives the object. */
    CallGateway(JobContext &context, Sender send);

    /** Takes a call of @p caller, who gives up after @p timeLeft. Its answer goes to the context. */
    void take(CallerToken caller, CallerCall call, Milliseconds timeLeft);
    /** The writer's answer. */
    void complete(ForwardNumber number, const CallAnswer &answer);
    /** There is another writer, or the way to it was lost and found: all calls are sent again. */
    void resend();
    /** The caller is gone. */
    void forget(CallerToken caller);

private:
    struct Pending
    {
        CallerToken caller;
        CallerCall call;
        TimePoint takenAt;
        TimePoint deadline;
        std::optional<TimePoint> sentAt;
    };

    void send(ForwardNumber number, Pending &pending);
    void sweep();
    void finish(ForwardNumber number, const CallAnswer &answer, std::string_view why);

    JobContext &m_context;
    Sender m_send;
    Lifetime m_lifetime;
    std::uint64_t m_lastNumber = 0;
    std::map<ForwardNumber, Pending> m_pending;
    bool m_isSweeping = false;
};

} // namespace currantring
