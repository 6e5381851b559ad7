#pragma once

#include "jobspec.h"

#include <deque>
#include <map>
#include <utility>

namespace currantring {

/** Sum or rate of capacity in fractional amounts, with the number of tasks that it belongs to. */
struct CapacitySum
{
    double processors = 0;
    double memory = 0;
    double accelerators = 0;
    double tasks = 0;

    /** Adds @p weight times the capacity that one task needs. */
    void add(const Resources &need, double weight);
    CapacitySum &operator+=(const CapacitySum &other);
    [[nodiscard]] CapacitySum times(double factor) const;
    /**
     * How many tasks that need @p need this capacity is for: by the resource that it has least of, or by the number of
     * tasks when nothing is needed.
     */
    [[nodiscard]] double placesFor(const Resources &need) const;
};

/**
 * Learns how fast capacity comes free on each rack, from the ends of runs.
 *
 * Fillers and other tasks are learnt apart, as they don't take each other's processors. Recent ends count: those of
 * the last two seconds, or more where less than a minimum number ended in them, so that slow racks have a rate as well.
 * State is in memory only; a new writer learns again. Thread safety: one thread at a time.
 */
class RackTurnover
{
public:
    /** A run that needed @p step's resources has ended on @p rack. */
    void noteEnd(const Label &rack, const StepSpec &step, TimePoint now);
    /**
     * Capacity that comes free on the rack in a millisecond, by what was observed and by @p expected, which is the same
     * by the estimates of the runs there. Observations count as much as the estimates once they cover the window, and
     * less before; never more, since the ends of the past don't show that a rack has just filled.
     */
    [[nodiscard]] CapacitySum rate(const Label &rack, bool isFiller, TimePoint now, const CapacitySum &expected) const;

private:
    /** Ends within a short interval. */
    struct Bucket
    {
        TimePoint from;
        CapacitySum freed;
    };
    struct History
    {
        std::deque<Bucket> buckets;
        CapacitySum freed;
        /** Ends up to this time don't count. */
        TimePoint since;
    };

    static void dropOld(History &history, TimePoint now);

    std::map<std::pair<Label, bool>, History> m_histories;
};

} // namespace currantring
