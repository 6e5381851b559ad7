#pragma once

#include "units.h"

#include <deque>
#include <optional>

namespace currantring {

/**
 * Work that was completed, or accepted, in the last 6 s.
 *
 * Thread safety: one thread at a time.
 */
class WorkRate
{
public:
    /** Adds @p work, in millicore-milliseconds. */
    void record(double work, TimePoint now);
    /**
     * The highest mean over 2 s, in millicores; nullopt when there were too few records to tell. It shows what the
     * workers can do, which a time in which they weren't full, or in which ends were reported late, doesn't.
     */
    [[nodiscard]] std::optional<double> highest(TimePoint now) const;
    /** The mean, in millicores. */
    [[nodiscard]] double mean(TimePoint now) const;

private:
    struct Slot
    {
        std::int64_t number = 0;
        double work = 0;
        std::size_t records = 0;
    };

    std::deque<Slot> m_slots;
};

} // namespace currantring
