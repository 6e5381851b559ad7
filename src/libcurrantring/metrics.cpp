#include "metrics.h"

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <set>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace currantring {

namespace {

namespace accumulators = boost::accumulators;

using Statistics = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::extended_p_square>>;

constexpr std::string_view prefix = "currantring_";
constexpr std::string_view otherLabel = "other";
constexpr std::size_t ownerLimit = 64;
constexpr std::size_t classLimit = 8;
constexpr std::size_t reasonLimit = 64;
/** Upper bounds of the cumulative buckets in ms. */
constexpr std::array<std::int64_t, 16> bucketBounds { 1,   2,    5,    10,   20,    50,    100,   200,
                                                      500, 1000, 2000, 5000, 10000, 30000, 60000, 600000 };
constexpr std::array<double, 3> quantiles { 0.5, 0.9, 0.99 };
/** Samples that the quantile estimate needs before it means anything. */
constexpr std::size_t quantileWarmUp = 2 * quantiles.size() + 3;

struct Histogram
{
    Statistics statistics { accumulators::tag::extended_p_square::probabilities = quantiles };
    std::array<std::uint64_t, bucketBounds.size()> buckets {};
};

/** All series of one histogram name, with a bound on their label values. */
struct HistogramFamily
{
    std::set<std::string> owners;
    std::set<std::string> classes;
    std::map<std::pair<std::string, std::string>, Histogram> series;
};

/** @p value, or "other" once @p known holds @p limit other values. */
std::string boundedLabel(std::set<std::string> &known, const std::string &value, std::size_t limit)
{
    if (known.contains(value)) {
        return value;
    }
    if (known.size() >= limit) {
        return std::string(otherLabel);
    }
    return *known.insert(value).first;
}

std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char letter : value) {
        if (letter == '\n') {
            escaped += "\\n";
            continue;
        }
        if (letter == '\\' || letter == '"') {
            escaped += '\\';
        }
        escaped += letter;
    }
    return escaped;
}

void writeType(std::ostream &stream, const std::string &name, std::string_view type)
{
    stream << "# TYPE " << prefix << name << ' ' << type << '\n';
}

void writeHistogram(std::ostream &stream, const std::string &name, const std::string &labels,
                    const Histogram &histogram)
{
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < bucketBounds.size(); ++bucket) {
        cumulative += histogram.buckets.at(bucket);
        stream << prefix << name << "_bucket{" << labels << ",le=\"" << bucketBounds.at(bucket) << "\"} " << cumulative
               << '\n';
    }
    const std::size_t count = accumulators::count(histogram.statistics);
    stream << prefix << name << "_bucket{" << labels << ",le=\"+Inf\"} " << count << '\n';
    stream << prefix << name << "_sum{" << labels << "} " << accumulators::sum(histogram.statistics) << '\n';
    stream << prefix << name << "_count{" << labels << "} " << count << '\n';
}

void writeQuantiles(std::ostream &stream, const std::string &name, const std::string &labels,
                    const Histogram &histogram)
{
    if (accumulators::count(histogram.statistics) < quantileWarmUp) {
        return;
    }
    const auto estimates = accumulators::extended_p_square(histogram.statistics);
    for (std::size_t index = 0; index < quantiles.size(); ++index) {
        stream << prefix << name << "_quantile{" << labels << ",quantile=\"" << quantiles.at(index) << "\"} "
               << estimates[static_cast<std::ptrdiff_t>(index)] << '\n';
    }
}

void writeFamily(std::ostream &stream, const std::string &name, const HistogramFamily &family)
{
    std::ostringstream estimates;
    estimates.precision(stream.precision());
    writeType(stream, name, "histogram");
    for (const auto &[key, histogram] : family.series) {
        const std::string labels = "owner=\"" + escapeLabel(key.first) + "\",class=\"" + escapeLabel(key.second) + '"';
        writeHistogram(stream, name, labels, histogram);
        writeQuantiles(estimates, name, labels, histogram);
    }
    const std::string text = estimates.str();
    if (!text.empty()) {
        writeType(stream, name + "_quantile", "gauge");
        stream << text;
    }
}

} // namespace

struct Metrics::Data
{
    mutable std::mutex mutex;
    /** By name, then by reason; an empty reason is the series without a label. */
    std::map<std::string, std::map<std::string, std::uint64_t>, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, HistogramFamily, std::less<>> histograms;
};

Metrics::Metrics()
    : m_data(std::make_unique<Data>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::uint64_t amount)
{
    const std::lock_guard<std::mutex> lock(m_data->mutex);
    m_data->counters[std::string(name)][""] += amount;
}

void Metrics::countReason(std::string_view name, std::string_view reason)
{
    const std::lock_guard<std::mutex> lock(m_data->mutex);
    auto &series = m_data->counters[std::string(name)];
    std::string label(reason);
    if (!series.contains(label) && series.size() >= reasonLimit) {
        label = otherLabel;
    }
    ++series[label];
}

void Metrics::setGauge(std::string_view name, double value)
{
    const std::lock_guard<std::mutex> lock(m_data->mutex);
    m_data->gauges.insert_or_assign(std::string(name), value);
}

void Metrics::observe(std::string_view name, const SeriesLabels &labels, Milliseconds duration)
{
    const std::lock_guard<std::mutex> lock(m_data->mutex);
    HistogramFamily &family = m_data->histograms[std::string(name)];
    const std::string owner = boundedLabel(family.owners, labels.owner.value(), ownerLimit);
    const std::string workClass = boundedLabel(family.classes, labels.workClass, classLimit);
    Histogram &histogram = family.series[{ owner, workClass }];
    histogram.statistics(static_cast<double>(duration.count()));
    const auto bound = std::ranges::lower_bound(bucketBounds, duration.count());
    if (bound != bucketBounds.end()) {
        ++histogram.buckets.at(static_cast<std::size_t>(bound - bucketBounds.begin()));
    }
}

std::string Metrics::exposition() const
{
    const std::lock_guard<std::mutex> lock(m_data->mutex);
    std::ostringstream stream;
    stream.precision(15);
    for (const auto &[name, series] : m_data->counters) {
        writeType(stream, name, "counter");
        for (const auto &[reason, value] : series) {
            const std::string label = reason.empty() ? "" : "{reason=\"" + escapeLabel(reason) + "\"}";
            stream << prefix << name << label << ' ' << value << '\n';
        }
    }
    for (const auto &[name, value] : m_data->gauges) {
        writeType(stream, name, "gauge");
        stream << prefix << name << ' ' << value << '\n';
    }
    for (const auto &[name, family] : m_data->histograms) {
        writeFamily(stream, name, family);
    }
    return stream.str();
}

} // namespace currantring
