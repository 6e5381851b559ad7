#include "neighbourmodel.h"

#include <algorithm>
#include <cmath>

namespace currantring {

namespace {

/** Time after the start of a serving task during which its tail isn't representative. */
constexpr Milliseconds serverWarmUp { 1500 };
/** A report covers this time, ending reportDelay before it arrives; a pace change takes effect after paceDelay. */
constexpr Milliseconds reportWindow { 500 };
constexpr Milliseconds reportDelay { 50 };
constexpr Milliseconds paceDelay { 100 };
/** A tail above this multiple of the target is ascribed to a stalled worker rather than to fillers. */
constexpr std::int64_t stalledTailFactor = 50;
constexpr Milliseconds slopeWindow { 600 };
constexpr double maxSlope = 0.15;
constexpr Milliseconds loadExpiry { 20'000 };

/** Prior estimates for an image pair or step without observations. */
constexpr Estimate unknownCoefficient { 0.7, 0.8 };
constexpr Estimate unknownLoad { 0.35, 0.1 };
/** Relative measurement error of a tail, and the additional absolute error of the stress derived from it. */
constexpr double relativeTailError = 0.1;
constexpr double minStressError = 0.02;
/** Process noise: variance added to a load per second, and to a coefficient per update at full use of a worker. */
constexpr double loadDrift = 0.02;
constexpr double coefficientDrift = 0.002;
constexpr double minCoefficientVariance = 0.01;
/** Relative standard deviation of a filler's effect, which varies between tasks and within seconds. */
constexpr double effectDeviation = 0.6;
/** The peak load is tracked as this quantile of the loads observed with little filler interference. */
constexpr double peakQuantile = 0.93;
constexpr double peakStep = 0.02;
constexpr double maxCleanInterference = 0.04;
/** Lower bound of the tails used for the base. */
constexpr double minTailMs = 0.5;

/** Fraction of the report window ending at @p end that lies between @p from and @p to. */
double overlap(TimePoint from, TimePoint to, TimePoint end)
{
    const TimePoint begin = std::max(from, end - reportWindow);
    const Milliseconds common = std::min(to, end) - begin;
    return std::max(static_cast<double>(common.count()) / static_cast<double>(reportWindow.count()), 0.0);
}

double fraction(Millicores amount, Millicores capacity)
{
    return static_cast<double>(amount.value()) / std::max(static_cast<double>(capacity.value()), 1.0);
}

} // namespace

const NeighbourKnowledge &NeighbourModel::knowledge() const
{
    return m_known;
}

void NeighbourModel::adopt(const NeighbourKnowledge &knowledge)
{
    m_known.servers.insert(knowledge.servers.begin(), knowledge.servers.end());
    m_known.coefficients.insert(knowledge.coefficients.begin(), knowledge.coefficients.end());
    ++m_coefficientRevision;
}

void NeighbourModel::learn(const WorkerLink &link, TimePoint now)
{
    const std::vector<Share> shares = fillerShares(link, now);
    for (const auto &[ref, run] : link.runs()) {
        const bool isUsable = run.isServing() && run.wasReported && run.phase == RunPhase::Running && run.gauge > 0
            && run.gauge < run.step->tailTarget.count() * stalledTailFactor && run.percent == 100
            && now - run.progressAt > serverWarmUp;
        if (!isUsable) {
            continue;
        }
        ServerImage &image = m_known.servers[run.step->image];
        const double tail = std::max(static_cast<double>(run.gauge), minTailMs);
        image.baseTail = image.baseTail == 0 ? tail : std::min(image.baseTail, tail);
        learnServer(run, image, shares, now);
    }
}

void NeighbourModel::recordFillerEnd(const WorkerLink &link, const LiveRun &run, TimePoint now)
{
    if (run.isFiller() && run.settledAt) {
        const double size = fraction(run.step->need.processors, link.entry().capacity.processors) * run.pace / 100;
        m_ended[link.entry().id].push_back({ { run.step->image, size }, *run.settledAt, now });
    }
}

/** The fillers' fractions of a worker's processors, averaged over the report window. */
std::vector<NeighbourModel::Share> NeighbourModel::fillerShares(const WorkerLink &link, TimePoint now)
{
    std::vector<Share> shares;
    const auto add = [&shares](const ImageName &image, double size) {
        const auto known = std::ranges::find(shares, image, &Share::image);
        if (known != shares.end()) {
            known->fraction += size;
        } else if (size > 0) {
            shares.push_back({ image, size });
        }
    };
    const TimePoint end = now - reportDelay;
    for (const auto &[ref, run] : link.runs()) {
        if (!run.isFiller() || !run.settledAt) {
            continue;
        }
        const TimePoint change = std::max(run.pacedAt + paceDelay, *run.settledAt);
        const double pace =
            overlap(*run.settledAt, change, end) * run.previousPace + overlap(change, end, end) * run.pace;
        add(run.step->image, fraction(run.step->need.processors, link.entry().capacity.processors) * pace / 100);
    }
    if (const auto ended = m_ended.find(link.entry().id); ended != m_ended.end()) {
        std::erase_if(ended->second, [end](const EndedFiller &filler) { return filler.endedAt < end - reportWindow; });
        for (const EndedFiller &filler : ended->second) {
            add(filler.share.image, filler.share.fraction * overlap(filler.startedAt, filler.endedAt, end));
        }
    }
    return shares;
}

NeighbourModel::StepLoad &NeighbourModel::predictLoad(const LiveRun &run, TimePoint now)
{
    const auto [place, isNew] = m_loads.try_emplace(run.ref.task.step);
    StepLoad &load = place->second;
    if (isNew) {
        load.load = unknownLoad;
        load.earlierAt = now;
    } else {
        const double seconds = std::chrono::duration<double>(now - load.at).count();
        load.load.variance = std::min(load.load.variance + loadDrift * seconds, unknownLoad.variance);
    }
    load.at = now;
    return load;
}

void NeighbourModel::learnServer(const LiveRun &run, ServerImage &image, const std::vector<Share> &shares,
                                 TimePoint now)
{
    const double observed = stressOf(image, run);
    StepLoad &load = predictLoad(run, now);
    double expected = load.load.mean;
    const double error = relativeTailError * (1 - observed) + minStressError;
    double innovationVariance = load.load.variance + error * error;
    std::vector<Estimate *> estimates;
    estimates.reserve(shares.size());
    for (const Share &share : shares) {
        const Estimate &estimate = *estimates.emplace_back(&coefficientFor(share.image, run.step->image));
        const double effect = estimate.mean * share.fraction;
        expected += effect;
        innovationVariance +=
            estimate.variance * share.fraction * share.fraction + effect * effect * effectDeviation * effectDeviation;
    }
    const double innovation = observed - expected;
    const bool isClean = expected - load.load.mean < maxCleanInterference;
    const double loadGain = load.load.variance / innovationVariance;
    load.load.mean = std::clamp(load.load.mean + loadGain * innovation, 0.0, 1.0);
    load.load.variance *= 1 - loadGain;
    updateSlope(load, now);
    m_coefficientRevision += shares.empty() ? 0 : 1;
    for (std::size_t index = 0; index < shares.size(); ++index) {
        Estimate &estimate = *estimates[index];
        const double gain = estimate.variance * shares[index].fraction / innovationVariance;
        estimate.mean = std::max(estimate.mean + gain * innovation, 0.0);
        estimate.variance = std::max(estimate.variance * (1 - gain * shares[index].fraction)
                                         + coefficientDrift * shares[index].fraction,
                                     minCoefficientVariance);
    }
    if (isClean) {
        image.peakLoad += load.load.mean > image.peakLoad ? peakStep * peakQuantile : -peakStep * (1 - peakQuantile);
    }
}

void NeighbourModel::updateSlope(StepLoad &load, TimePoint now)
{
    if (now - load.earlierAt < slopeWindow) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - load.earlierAt).count();
    const double slope = (load.load.mean - load.earlierMean) / seconds;
    // The first window starts without a measured load, so it gives no slope.
    load.slope = load.earlierMean == 0 ? 0 : (load.slope + slope) / 2;
    load.earlierMean = load.load.mean;
    load.earlierAt = now;
}

double NeighbourModel::loadSlope(const StepRef &step) const
{
    const auto load = m_loads.find(step);
    return load == m_loads.end() ? 0 : std::clamp(load->second.slope, -maxSlope, maxSlope);
}

void NeighbourModel::expireLoads(TimePoint now)
{
    std::erase_if(m_loads, [now](const auto &entry) { return now - entry.second.at > loadExpiry; });
}

/** The estimate of a pair, which is added when there is none yet. */
Estimate &NeighbourModel::coefficientFor(const ImageName &filler, const ImageName &server)
{
    const auto found = m_known.coefficients.find(NeighbourKnowledge::PairView(filler, server));
    if (found != m_known.coefficients.end()) {
        return found->second;
    }
    return m_known.coefficients.emplace(NeighbourKnowledge::Pair(filler, server), unknownCoefficient).first->second;
}

Estimate NeighbourModel::coefficientEstimate(const ImageName &filler, const ImageName &server) const
{
    const auto found = m_known.coefficients.find(NeighbourKnowledge::PairView(filler, server));
    return found == m_known.coefficients.end() ? unknownCoefficient : found->second;
}

std::uint64_t NeighbourModel::coefficientRevision() const
{
    return m_coefficientRevision;
}

double NeighbourModel::coefficient(const ImageName &filler, const ImageName &server) const
{
    return coefficientEstimate(filler, server).mean;
}

double NeighbourModel::limit(const StepSpec &server) const
{
    const auto found = m_known.servers.find(server.image);
    if (found == m_known.servers.end() || found->second.baseTail == 0) {
        return 1;
    }
    return std::max(1 - found->second.baseTail / static_cast<double>(server.tailTarget.count()), 0.0);
}

double NeighbourModel::expectedLoad(const StepRef &step, const StepSpec &server) const
{
    const auto image = m_known.servers.find(server.image);
    const double peak = image == m_known.servers.end() ? unknownLoad.mean : image->second.peakLoad;
    const auto load = m_loads.find(step);
    return load == m_loads.end() ? peak : std::min(std::max(peak, load->second.load.mean), 1.0);
}

double NeighbourModel::fillerStress(const StepSpec &filler, const WorkerLink &link, const ImageName &server) const
{
    return coefficient(filler.image, server) * fraction(filler.need.processors, link.entry().capacity.processors);
}

double NeighbourModel::addedStress(const WorkerLink &link, const ImageName &server) const
{
    double added = 0;
    for (const auto &[ref, run] : link.runs()) {
        if (run.isFiller()) {
            added += fillerStress(*run.step, link, server) * run.pace / 100;
        }
    }
    return added;
}

/** Precondition: the image has a base, and the run a tail. */
double NeighbourModel::stressOf(const ServerImage &image, const LiveRun &run)
{
    return std::max(1 - image.baseTail / static_cast<double>(run.gauge), 0.0);
}

std::optional<double> NeighbourModel::stress(const LiveRun &run) const
{
    const auto found = m_known.servers.find(run.step->image);
    if (found == m_known.servers.end() || found->second.baseTail == 0 || run.gauge <= 0) {
        return std::nullopt;
    }
    return stressOf(found->second, run);
}

} // namespace currantring
