#include "standinsite.h"

#include "standinhttpserver.h"

#include <algorithm>
#include <utility>

namespace currantring {

StandinSite::StandinSite(StandinPlatformOptions options)
    : m_platform(std::move(options))
{
}

StandinStoreCall StandinSite::watch(const StoreWatch &request)
{
    std::unique_lock lock(m_mutex);
    StandinStoreCall call = m_platform.callStore(request, now());
    const TimePoint deadline = now() + request.wait;
    while (call.delivery == StandinDelivery::Answered && call.result && call.result->entries.empty()) {
        const TimePoint present = now();
        if (m_closed || present >= deadline) {
            break;
        }
        if (m_platform.isOut()) {
            call.delivery = StandinDelivery::Outage;
            break;
        }
        const TimePoint event = m_platform.nextEvent().value_or(deadline);
        m_changed.wait_until(lock, toClock(std::min(deadline, event)));
        m_platform.advance(now());
        if (std::optional<StoreReply> changes = m_platform.store().changesAfter(request.prefix, request.after)) {
            call.result = std::move(*changes);
        }
    }
    return call;
}

void StandinSite::pass(Milliseconds delay)
{
    if (delay.count() <= 0) {
        return;
    }
    std::unique_lock lock(m_mutex);
    m_closing.wait_until(lock, toClock(now() + delay), [this] { return m_closed; });
}

void StandinSite::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
    m_closing.notify_all();
}

TimePoint StandinSite::now() const
{
    return TimePoint(std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - m_start));
}

std::chrono::steady_clock::time_point StandinSite::toClock(TimePoint time) const
{
    return m_start + time.time_since_epoch();
}

void answerJson(httplib::Response &response, int status, const nlohmann::json &body)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

bool deliver(StandinDelivery delivery, httplib::Response &response)
{
    StandinConnection &connection = StandinHttpServer::currentConnection();
    switch (delivery) {
    case StandinDelivery::Answered:
        return true;
    case StandinDelivery::Truncated:
        connection.setAnswer(StandinConnection::Answer::Truncated);
        return true;
    case StandinDelivery::Lost:
        connection.setAnswer(StandinConnection::Answer::Dropped);
        return false;
    case StandinDelivery::Silent:
        connection.goSilent();
        return false;
    case StandinDelivery::Outage:
        answerJson(response, 503, { { "refused", "outage" } });
        return false;
    }
    return false;
}

} // namespace currantring
