#include "inheritedleases.h"

#include <algorithm>

namespace currantring {

Milliseconds RemainingLeases::longest() const
{
    Milliseconds longest = elsewhere;
    for (const OnWorker &lease : listed) {
        longest = std::max(longest, lease.remaining);
    }
    return longest;
}

TimePoint InheritedLeases::on(const WorkerId &worker) const
{
    const auto known = listed.find(worker);
    return known == listed.end() ? elsewhere : known->second;
}

TimePoint InheritedLeases::latest() const
{
    TimePoint latest = elsewhere;
    for (const auto &[worker, bound] : listed) {
        latest = std::max(latest, bound);
    }
    return latest;
}

void InheritedLeases::limit(TimePoint until)
{
    elsewhere = std::min(elsewhere, until);
    for (auto &[worker, bound] : listed) {
        bound = std::min(bound, until);
    }
}

} // namespace currantring
