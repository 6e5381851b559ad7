#include "rackturnover.h"

#include <algorithm>
#include <limits>

namespace currantring {

namespace {

/** Time over which ends are averaged, when enough runs end in it. */
constexpr Milliseconds window { 2000 };
/** Ends that follow each other within this time share a bucket, which bounds the memory for each rack. */
constexpr Milliseconds bucketLength { 100 };
/** Ends before the window are kept up to this number, so that the rate of a slow rack has an error of about 25 %. */
constexpr double minEnds = 16;

/** Weight of the observed rate against the estimated one, once observations cover the window. */
constexpr double maxObservedWeight = 0.5;

double asDouble(Milliseconds duration)
{
    return static_cast<double>(duration.count());
}

} // namespace

void CapacitySum::add(const Resources &need, double weight)
{
    processors += static_cast<double>(need.processors.value()) * weight;
    memory += static_cast<double>(need.memory.value()) * weight;
    accelerators += static_cast<double>(need.accelerators.value()) * weight;
    tasks += weight;
}

CapacitySum &CapacitySum::operator+=(const CapacitySum &other)
{
    processors += other.processors;
    memory += other.memory;
    accelerators += other.accelerators;
    tasks += other.tasks;
    return *this;
}

CapacitySum CapacitySum::times(double factor) const
{
    return { processors * factor, memory * factor, accelerators * factor, tasks * factor };
}

double CapacitySum::placesFor(const Resources &need) const
{
    double places = std::numeric_limits<double>::infinity();
    const auto limitBy = [&places](double available, std::int64_t needed) {
        if (needed > 0) {
            places = std::min(places, available / static_cast<double>(needed));
        }
    };
    limitBy(processors, need.processors.value());
    limitBy(memory, need.memory.value());
    limitBy(accelerators, need.accelerators.value());
    return places == std::numeric_limits<double>::infinity() ? tasks : places;
}

void RackTurnover::noteEnd(const Label &rack, const StepSpec &step, TimePoint now)
{
    const auto [found, isFirst] = m_histories.try_emplace({ rack, step.isFiller }, History { {}, {}, now });
    if (isFirst) {
        // The first end begins the observation: an idle time before it tells nothing of a rack that has work.
        return;
    }
    History &history = found->second;
    if (history.buckets.empty() || now - history.buckets.back().from >= bucketLength) {
        history.buckets.push_back({ now, {} });
    }
    CapacitySum freed;
    freed.add(step.need, 1);
    history.buckets.back().freed += freed;
    history.freed += freed;
    dropOld(history, now);
}

/** Drops buckets before the window, as long as the rest contains enough ends. */
void RackTurnover::dropOld(History &history, TimePoint now)
{
    while (history.buckets.size() > 1 && now - history.buckets.front().from > window
           && history.freed.tasks - history.buckets.front().freed.tasks >= minEnds) {
        history.freed += history.buckets.front().freed.times(-1);
        history.buckets.pop_front();
        history.since = history.buckets.front().from;
    }
}

CapacitySum RackTurnover::rate(const Label &rack, bool isFiller, TimePoint now, const CapacitySum &expected) const
{
    const auto found = m_histories.find({ rack, isFiller });
    if (found == m_histories.end() || now <= found->second.since) {
        return expected;
    }
    const double span = asDouble(now - found->second.since);
    const double weight = maxObservedWeight * std::min(span / asDouble(window), 1.0);
    CapacitySum mean = found->second.freed.times(weight / span);
    mean += expected.times(1 - weight);
    return mean;
}

} // namespace currantring
