#pragma once

#include "backoff.h"
#include "chart.h"
#include "random.h"
#include "units.h"

#include <optional>

namespace currantring {

/**
 * Follows one endpoint through the `endpoint` chart: sheds it after consecutive failures, lets one request probe it
 * after a backoff with jitter, and brings it back when the probe succeeds.
 *
 * Thread safety: one thread at a time.
 */
class EndpointHealth
{
public:
    /** Failures in a row after which a live endpoint is shed. */
    static constexpr std::uint32_t failuresToShed = 3;

    /** Precondition: @p chart has the states and events of the endpoint's life cycle and outlives the object. */
    explicit EndpointHealth(const Chart &chart);

    /** The endpoint's answer was whole and its own. True when this brought it back. */
    bool noteSuccess();
    /** A send failed in a way that speaks against the endpoint. True when this shed it. */
    bool noteFailure(TimePoint now, Random &random);
    /** The endpoint wants no new requests. */
    void leave();
    /** The endpoint takes requests again after leaving. */
    void comeBack();
    /** The endpoint is no longer this host's. */
    void remove();
    /** Starts a probe of a shed endpoint whose backoff has passed; false when it isn't due. */
    bool startProbe(TimePoint now);
    /** The probe told nothing (it was refused or withdrawn); the next one is due after the shortest backoff. */
    void dropProbe(TimePoint now);

    [[nodiscard]] const std::string &state() const;
    [[nodiscard]] bool isLive() const;
    [[nodiscard]] bool isLeaving() const;
    /** When the next probe is due; nullopt when the endpoint isn't shed. */
    [[nodiscard]] std::optional<TimePoint> probeDue() const;

private:
    /** Moves along the chart; false when the chart has no such transition. */
    bool apply(std::string_view event);

    const Chart *m_chart;
    std::string m_state;
    std::uint32_t m_failures = 0;
    Backoff m_backoff;
    TimePoint m_probeAt {};
};

} // namespace currantring
