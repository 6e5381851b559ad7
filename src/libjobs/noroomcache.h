#pragma once

#include "runplacer.h"

#include <vector>

namespace currantring {

/**
 * Negative cache of placement requests that no worker had room for, which avoids evaluating all workers for each of
 * many equivalent tasks.
 *
 * Entries are valid until capacity is freed; the owner clears the cache. Thread safety: one thread at a time.
 */
class NoRoomCache
{
public:
    void clear();
    /** Records that no worker had room for @p request; ignored if it excludes workers by other constraints. */
    void recordNoRoom(const PlacementRequest &request);
    /** Whether a request for no more resources, and with no fewer eligible workers, is known to have found no room. */
    [[nodiscard]] bool isKnownNotToFit(const PlacementRequest &request) const;

private:
    struct Kind
    {
        ServiceName service;
        /** The rack whose workers had no room; empty when no worker had. */
        Label rack;
        bool isFiller = false;
        bool isLasting = false;
        ImageName image;
        Resources need;
        FillerThrottling throttling = FillerThrottling::Avoided;
    };

    std::vector<Kind> m_kinds;
};

} // namespace currantring
