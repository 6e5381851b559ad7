#pragma once

#include "units.h"

#include <deque>
#include <optional>

namespace currantring {

/**
 * The rate at which work was completed lately: the highest mean over 2 s within the last 6 s.
 *
 * The highest mean, as the rate is compared with waiting work: a time in which the workers weren't full, or ends were
 * reported late, doesn't show what they can do. Thread safety: one thread at a time.
 */
class CompletionRate
{
public:
    /** Records a task that ended with its work done. @p work: its processors times its duration. */
    void record(double work, TimePoint now);
    /** Work completed in each millisecond; nullopt when too few tasks ended lately to tell. */
    [[nodiscard]] std::optional<double> rate(TimePoint now) const;

private:
    struct Slot
    {
        std::int64_t number = 0;
        double work = 0;
        std::size_t tasks = 0;
    };

    std::deque<Slot> m_slots;
};

} // namespace currantring
