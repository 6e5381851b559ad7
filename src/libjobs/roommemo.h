#pragma once

#include "runplacer.h"

#include <vector>

namespace currantring {

/**
 * Remembers for which kinds of task no worker had room, so that a queue of equal ones isn't priced on all workers.
 *
 * Holds as long as no room becomes free; its owner clears it. Thread safety: one thread at a time.
 */
class RoomMemo
{
public:
    void clear();
    /** No worker took @p wish. Wishes that exclude workers for reasons of their own aren't remembered. */
    void noteNone(const PlacementWish &wish);
    /** Whether a task that needs no more than this one, and may go wherever it may, found no room. */
    [[nodiscard]] bool isHopeless(const PlacementWish &wish) const;

private:
    struct Kind
    {
        ServiceName service;
        bool isFiller = false;
        ImageName image;
        Resources need;
    };

    std::vector<Kind> m_kinds;
};

} // namespace currantring
