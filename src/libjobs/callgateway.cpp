#include "callgateway.h"

#include "jobevents.h"

#include <vector>

namespace currantring {

namespace {

constexpr Milliseconds sweepInterval { 100 };
/** A caller is told so long before its own time is over. */
constexpr Milliseconds answerMargin { 60 };
/** A call that was never sent is refused when no writer was found for so long. */
constexpr Milliseconds writerPatience { 1200 };
/** A caller whose change got no answer for so long is told so, and does better to ask again than to wait. */
constexpr Milliseconds changePatience { 1200 };
/** An unanswered call is sent again after this time, since the message may have been lost. */
constexpr Milliseconds resendInterval { 1000 };
/** A takeover takes about this long. */
constexpr Milliseconds retryAfter { 1000 };

} // namespace

CallGateway::CallGateway(JobContext &context, Sender send)
    : m_context(context)
    , m_send(std::move(send))
{
}

void CallGateway::take(CallerToken caller, CallerCall call, Milliseconds timeLeft)
{
    const ForwardNumber number(++m_lastNumber);
    const TimePoint now = m_context.now();
    Pending &pending =
        m_pending.emplace(number, Pending { caller, std::move(call), now, now + timeLeft - answerMargin, {} })
            .first->second;
    if (!m_isSweeping) {
        m_isSweeping = true;
        m_context.schedule(sweepInterval, m_lifetime.guard([this] { sweep(); }));
    }
    send(number, pending);
}

void CallGateway::send(ForwardNumber number, Pending &pending)
{
    // A local writer may answer within the call, and the entry is gone then.
    const Milliseconds timeLeft = pending.deadline - m_context.now();
    const CallerCall call = pending.call;
    const std::optional<TimePoint> before = pending.sentAt;
    pending.sentAt = m_context.now();
    if (!m_send(number, call, timeLeft)) {
        m_pending.at(number).sentAt = before;
    }
}

void CallGateway::resend()
{
    std::vector<ForwardNumber> numbers;
    for (const auto &[number, pending] : m_pending) {
        numbers.push_back(number);
    }
    for (const ForwardNumber number : numbers) {
        if (const auto place = m_pending.find(number); place != m_pending.end()) {
            send(number, place->second);
        }
    }
}

void CallGateway::complete(ForwardNumber number, const CallAnswer &answer)
{
    finish(number, answer, "answered");
}

void CallGateway::finish(ForwardNumber number, const CallAnswer &answer, std::string_view why)
{
    const auto pending = m_pending.extract(number);
    if (pending.empty()) {
        return;
    }
    const Pending &call = pending.mapped();
    m_context.count("calls_answered", callOutcomeName(answer.outcome));
    const bool isPlain = answer.outcome == CallOutcome::Accepted || answer.outcome == CallOutcome::Found;
    if (!isPlain || !std::holds_alternative<ReadJob>(call.call)) {
        m_context.log(LogLevel::Info, events::callAnswered,
                      { { "call", std::string(callName(call.call)) },
                        { "subject", callSubject(call.call) },
                        { "outcome", std::string(callOutcomeName(answer.outcome)) },
                        { "why", std::string(why) },
                        { "after_ms", std::to_string((m_context.now() - call.takenAt).count()) } });
    }
    m_context.answerCaller(call.caller, answer);
}

void CallGateway::forget(CallerToken caller)
{
    std::erase_if(m_pending, [caller](const auto &entry) { return entry.second.caller == caller; });
}

void CallGateway::sweep()
{
    const TimePoint now = m_context.now();
    std::vector<ForwardNumber> numbers;
    for (const auto &[number, pending] : m_pending) {
        numbers.push_back(number);
    }
    for (const ForwardNumber number : numbers) {
        const auto place = m_pending.find(number);
        if (place == m_pending.end()) {
            continue;
        }
        Pending &pending = place->second;
        const bool isChange =
            std::holds_alternative<SubmitJob>(pending.call) || std::holds_alternative<CancelJob>(pending.call);
        const bool isOver = now >= pending.deadline || (isChange && now - pending.takenAt >= changePatience);
        if (!pending.sentAt && (isOver || now - pending.takenAt >= writerPatience)) {
            finish(number, { CallOutcome::Refused, {}, 0, retryAfter }, "no-writer");
        } else if (isOver) {
            finish(number, { CallOutcome::Undecided, {}, 0, {} }, "no-answer");
        } else if (!pending.sentAt || now - *pending.sentAt >= resendInterval) {
            send(number, pending);
        }
    }
    m_isSweeping = !m_pending.empty();
    if (m_isSweeping) {
        m_context.schedule(sweepInterval, m_lifetime.guard([this] { sweep(); }));
    }
}

} // namespace currantring
