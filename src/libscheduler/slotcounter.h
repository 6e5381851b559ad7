#pragma once

#include "units.h"

#include <optional>
#include <vector>

namespace currantring {

/**
 * Counts the request slots of one worker exactly: free, taken by requests of this host, and unaccounted.
 *
 * A slot is unaccounted when it may be taken by a request that this host doesn't follow: one of a former holder, or
 * one whose outcome is unknown. Such a slot counts as taken until its latest end has passed or a report shows it free.
 * Thread safety: one thread at a time.
 */
class SlotCounter
{
public:
    /** All of @p slots are free. */
    explicit SlotCounter(std::uint32_t slots);

    /**
     * Counts every slot as unaccounted until @p latestEnd at the latest; reports before @p reportsFrom may be too old
     * to show what runs. Precondition: none is taken.
     */
    void markAllUnaccounted(TimePoint reportsFrom, TimePoint latestEnd);
    /** Takes a free slot; false when there is none. */
    [[nodiscard]] bool tryTake(TimePoint now);
    /** Gives a taken slot back. Precondition: the request surely no longer runs. */
    void release();
    /**
     * Turns a taken slot into an unaccounted one, whose request has ended by @p latestEnd; it may still be on its way
     * to the worker until @p reportsFrom.
     */
    void abandon(TimePoint reportsFrom, TimePoint latestEnd);
    /**
     * Frees unaccounted slots that a report shows free: of those for which reports count by now, at most
     * @p activeRequests can still be taken. Requests of this host aren't subtracted, because an answer on its way
     * isn't active any more, so a subtraction could free a slot that is still taken.
     */
    void applyReport(TimePoint now, std::uint32_t activeRequests);
    /** Takes in a changed number of slots; the taken ones stay taken. */
    void resize(std::uint32_t slots);

    [[nodiscard]] std::uint32_t slots() const;
    [[nodiscard]] std::uint32_t taken() const;
    [[nodiscard]] std::uint32_t unaccounted(TimePoint now) const;
    [[nodiscard]] std::uint32_t free(TimePoint now) const;
    /** When the next unaccounted slot becomes free by itself; nullopt when there is none. */
    [[nodiscard]] std::optional<TimePoint> nextFree(TimePoint now) const;

private:
    struct Unaccounted
    {
        TimePoint reportsFrom;
        TimePoint latestEnd;
    };

    std::uint32_t m_slots;
    std::uint32_t m_taken = 0;
    std::vector<Unaccounted> m_unaccounted;
};

} // namespace currantring
