#pragma once

#include "units.h"

namespace currantring {

/** Mean duration, learned by exponential smoothing. Thread safety: one thread at a time. */
class LearnedTime
{
public:
    /** Takes in one measurement. */
    void learn(Milliseconds duration)
    {
        constexpr double share = 0.1;
        const auto sample = static_cast<double>(duration.count());
        m_meanMs = m_known ? m_meanMs + share * (sample - m_meanMs) : sample;
        m_known = true;
    }

    /** Mean in milliseconds; 0 when nothing is learned yet. */
    [[nodiscard]] double meanMs() const
    {
        return m_meanMs;
    }

private:
    double m_meanMs = 0;
    bool m_known = false;
};

} // namespace currantring
