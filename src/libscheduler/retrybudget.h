#pragma once

#include "ids.h"
#include "units.h"

#include <map>
#include <utility>

namespace currantring {

/**
 * Limits retries of each owner and service to a fraction of its recent requests.
 *
 * Recent means the present and the previous window of fixed length. A small allowance lets a service with few
 * requests retry at all. Thread safety: one thread at a time.
 */
class RetryBudget
{
public:
    /** Length of one window. */
    static constexpr Milliseconds window { 5000 };
    /** Retries allowed beyond the fraction, unless the fraction is 0. */
    static constexpr double allowance = 1;

    /** Counts a first send. */
    void noteRequest(TimePoint now, const OwnerId &owner, const ServiceName &service);
    /** Spends one retry when @p percent of the recent requests cover it. */
    [[nodiscard]] bool trySpend(TimePoint now, const OwnerId &owner, const ServiceName &service, std::int64_t percent);

private:
    struct Counts
    {
        std::int64_t window = 0;
        double requests = 0;
        double requestsBefore = 0;
        double retries = 0;
        double retriesBefore = 0;
    };

    Counts &at(TimePoint now, const OwnerId &owner, const ServiceName &service);

    std::map<std::pair<OwnerId, ServiceName>, Counts> m_counts;
};

} // namespace currantring
