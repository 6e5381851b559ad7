#include "endpointhealth.h"

namespace currantring {

namespace {

constexpr Milliseconds shortestProbeWait { 250 };
constexpr Milliseconds longestProbeWait { 30000 };

} // namespace

EndpointHealth::EndpointHealth(const Chart &chart)
    : m_chart(&chart)
    , m_state(chart.initial())
    , m_backoff(shortestProbeWait, longestProbeWait)
{
}

bool EndpointHealth::apply(std::string_view event)
{
    const auto target = m_chart->next(m_state, event);
    if (!target) {
        return false;
    }
    m_state = *target;
    return true;
}

bool EndpointHealth::noteSuccess()
{
    m_failures = 0;
    if (m_state != "probing") {
        return false;
    }
    m_backoff.reset();
    return apply("recover");
}

bool EndpointHealth::noteFailure(TimePoint now, Random &random)
{
    ++m_failures;
    const bool wasProbing = m_state == "probing";
    if (!wasProbing && (m_state != "live" || m_failures < failuresToShed)) {
        return false;
    }
    m_probeAt = now + m_backoff.next(random);
    return apply("fail");
}

void EndpointHealth::leave()
{
    apply("leave");
}

void EndpointHealth::comeBack()
{
    if (apply("return")) {
        m_failures = 0;
    }
}

void EndpointHealth::remove()
{
    apply("remove");
}

bool EndpointHealth::startProbe(TimePoint now)
{
    return m_state == "shed" && m_probeAt <= now && apply("probe");
}

void EndpointHealth::dropProbe(TimePoint now)
{
    if (m_state == "probing") {
        apply("fail");
        m_probeAt = now + shortestProbeWait;
    }
}

const std::string &EndpointHealth::state() const
{
    return m_state;
}

bool EndpointHealth::isLive() const
{
    return m_state == "live";
}

bool EndpointHealth::isLeaving() const
{
    return m_state == "leaving";
}

std::optional<TimePoint> EndpointHealth::probeDue() const
{
    if (m_state != "shed") {
        return std::nullopt;
    }
    return m_probeAt;
}

} // namespace currantring
