#pragma once

#include "units.h"

#include <optional>

namespace currantring {

/**
 * Decides when a writer gives the shard up because it can't do the work: it reaches the store and the other hosts, but
 * hardly any worker. For some time after that the host doesn't take the shard if another one can.
 *
 * Thread safety: one thread at a time.
 */
class WriterSuitability
{
public:
    /** Records how many of the listed workers the active writer reaches; true when it should give the shard up. */
    bool recordReach(std::size_t reachable, std::size_t listed, TimePoint now);
    /** This host isn't the writer, or its log isn't loaded. */
    void recordInactive();
    void recordGivenUp(TimePoint now);
    /** Whether this host has given the shard up recently. */
    [[nodiscard]] bool isUnsuited(TimePoint now) const;

private:
    /** Since when the writer reaches hardly any worker. */
    std::optional<TimePoint> m_unreachingSince;
    std::optional<TimePoint> m_givenUpAt;
};

} // namespace currantring
