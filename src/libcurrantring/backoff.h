#pragma once

#include "random.h"
#include "units.h"

#include <algorithm>

namespace currantring {

/**
 * Delays between repeated tries by decorrelated jitter: each is uniform between the base and three times the last.
 *
 * Thread safety: a value type; distinct objects may be used from distinct threads.
 */
class Backoff
{
public:
    /** Precondition: 0 < @p base <= @p cap. */
    Backoff(Milliseconds base, Milliseconds cap)
        : m_base(base)
        , m_cap(cap)
        , m_last(base)
    {
    }

    /** The delay before the next try, from the base to the cap. */
    Milliseconds next(Random &random)
    {
        const auto span = static_cast<std::uint64_t>((m_last * 3 - m_base).count()) + 1;
        m_last = std::min(m_cap, m_base + Milliseconds(static_cast<std::int64_t>(uniformBelow(random, span))));
        return m_last;
    }

    /** Starts anew after a success. */
    void reset()
    {
        m_last = m_base;
    }

private:
    Milliseconds m_base;
    Milliseconds m_cap;
    Milliseconds m_last;
};

} // namespace currantring
