#pragma once

#include "ids.h"
#include "units.h"

#include <memory>
#include <string>
#include <string_view>

namespace currantring {

/** Names and label values of one series; label values past the bound are folded into "other". */
struct SeriesLabels
{
    OwnerId owner;
    /** Class of work: `service`, `batch` or `watcher`. */
    std::string workClass;
};

/**
 * Counters, gauges and per-owner, per-class histograms of one process, on Boost.Accumulators.
 *
 * Thread safety: every method may be called from any thread.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** Adds @p amount to counter @p name. */
    void count(std::string_view name, std::uint64_t amount = 1);
    /** Adds 1 to counter @p name with label `reason`. Precondition: reasons are few and constant. */
    void countReason(std::string_view name, std::string_view reason);
    /** Sets gauge @p name. */
    void setGauge(std::string_view name, double value);
    /** Records @p duration in histogram @p name for @p labels. */
    void observe(std::string_view name, const SeriesLabels &labels, Milliseconds duration);
    /** The text exposition format of all series. */
    [[nodiscard]] std::string exposition() const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace currantring
