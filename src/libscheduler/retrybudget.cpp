#include "retrybudget.h"

namespace currantring {

RetryBudget::Counts &RetryBudget::at(TimePoint now, const OwnerId &owner, const ServiceName &service)
{
    Counts &counts = m_counts[std::pair(owner, service)];
    const std::int64_t current = now.time_since_epoch() / window;
    if (current != counts.window) {
        const bool follows = current == counts.window + 1;
        counts.requestsBefore = follows ? counts.requests : 0;
        counts.retriesBefore = follows ? counts.retries : 0;
        counts.requests = 0;
        counts.retries = 0;
        counts.window = current;
    }
    return counts;
}

void RetryBudget::noteRequest(TimePoint now, const OwnerId &owner, const ServiceName &service)
{
    at(now, owner, service).requests += 1;
}

bool RetryBudget::trySpend(TimePoint now, const OwnerId &owner, const ServiceName &service, std::int64_t percent)
{
    if (percent <= 0) {
        return false;
    }
    Counts &counts = at(now, owner, service);
    constexpr double wholePercent = 100;
    const double recent = counts.requests + counts.requestsBefore;
    const double limit = allowance + recent * static_cast<double>(percent) / wholePercent;
    if (counts.retries + counts.retriesBefore + 1 > limit) {
        return false;
    }
    counts.retries += 1;
    return true;
}

} // namespace currantring
