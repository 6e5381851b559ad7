#include "callgateway.h"

#include "jobevents.h"

#include <algorithm>
#include <vector>

namespace currantring {

namespace {

constexpr Milliseconds sweepInterval { 100 };
/** Callers are answered this long before their own timeout. */
constexpr Milliseconds answerMargin { 60 };
/** A call that couldn't be sent to any writer for this time is refused. */
constexpr Milliseconds writerTimeout { 1200 };
/** A submission or cancellation without an answer for this time is answered as undecided; the caller should retry. */
constexpr Milliseconds changeTimeout { 1200 };
/** An unanswered call is resent at this interval, since messages may be lost. */
constexpr Milliseconds resendInterval { 1000 };
/** Approximate duration of a change of the writer. */
constexpr Milliseconds retryAfter { 1000 };
constexpr std::uint64_t maxFirstNumber = std::uint64_t { 1 } << 48U;

bool isChange(const CallerCall &call)
{
    return std::holds_alternative<SubmitJob>(call) || std::holds_alternative<CancelJob>(call);
}

} // namespace

CallGateway::CallGateway(JobContext &context, Sender send)
    : m_context(context)
    , m_send(std::move(send))
    // The writer may still answer calls of an earlier process on this host.
    , m_lastNumber(uniformBelow(context.random(), maxFirstNumber))
{
}

void CallGateway::accept(CallerToken caller, CallerCall call, Milliseconds timeLeft)
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
    if (pending.isRefused) {
        return;
    }
    // A local writer may answer during m_send(), which invalidates pending; copy what is needed.
    const Milliseconds timeLeft = pending.deadline - m_context.now();
    const CallerCall call = pending.call;
    const std::optional<TimePoint> previouslySentAt = pending.sentAt;
    pending.sentAt = m_context.now();
    ++pending.unansweredCopies;
    if (!m_send(number, call, timeLeft)) {
        Pending &unsent = m_pending.at(number);
        unsent.sentAt = previouslySentAt;
        unsent.unansweredCopies -= std::min<std::size_t>(unsent.unansweredCopies, 1);
    }
}

void CallGateway::resend()
{
    std::vector<ForwardNumber> numbers;
    for (const auto &[number, pending] : m_pending) {
        numbers.push_back(number);
    }
    for (const ForwardNumber number : numbers) {
        if (const auto found = m_pending.find(number); found != m_pending.end()) {
            send(number, found->second);
        }
    }
}

void CallGateway::handleWriterChange()
{
    for (auto &[number, pending] : m_pending) {
        pending.unansweredCopies = 0;
        pending.isRefused = false;
    }
}

void CallGateway::complete(ForwardNumber number, const CallAnswer &answer)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
        return;
    }
    Pending &pending = found->second;
    pending.unansweredCopies -= std::min<std::size_t>(pending.unansweredCopies, 1);
    if (answer.outcome == CallOutcome::Refused && pending.unansweredCopies > 0 && isChange(pending.call)) {
        pending.isRefused = true;
        return;
    }
    finish(number, answer, "answered");
}

void CallGateway::finish(ForwardNumber number, const CallAnswer &answer, std::string_view reason)
{
    const auto pending = m_pending.extract(number);
    if (pending.empty()) {
        return;
    }
    const Pending &call = pending.mapped();
    m_context.count("calls_answered", callOutcomeName(answer.outcome));
    const bool isSuccess = answer.outcome == CallOutcome::Accepted || answer.outcome == CallOutcome::Found;
    if (!isSuccess || !std::holds_alternative<ReadJob>(call.call)) {
        JobContext::LogFields fields { { "call", std::string(callName(call.call)) },
                                       { "subject", callSubject(call.call) },
                                       { "outcome", std::string(callOutcomeName(answer.outcome)) },
                                       { "why", std::string(reason) },
                                       { "after_ms", std::to_string((m_context.now() - call.acceptedAt).count()) } };
        if (isSuccess && std::holds_alternative<CountWaiting>(call.call)) {
            fields.emplace_back("waiting", std::to_string(answer.waiting));
        }
        m_context.log(LogLevel::Info, events::callAnswered, std::move(fields));
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
        const auto found = m_pending.find(number);
        if (found == m_pending.end()) {
            continue;
        }
        Pending &pending = found->second;
        const bool isExpired =
            now >= pending.deadline || (isChange(pending.call) && now - pending.acceptedAt >= changeTimeout);
        if (!pending.sentAt && (isExpired || now - pending.acceptedAt >= writerTimeout)) {
            finish(number, { CallOutcome::Refused, {}, 0, retryAfter }, "no-writer");
        } else if (isExpired) {
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
