#include "neighbourmodel.h"

#include <algorithm>
#include <cmath>

namespace currantring {

namespace {

/** A task's tail isn't typical before this age. */
constexpr Milliseconds serverWarmUp { 1500 };
/** A report tells of this time before it, and a change of pace has its effect after the other. */
constexpr Milliseconds reportSpan { 500 };
constexpr Milliseconds reportDelay { 50 };
constexpr Milliseconds paceDelay { 100 };
/** A tail this many times the target comes from a worker that stands still, not from its neighbours. */
constexpr std::int64_t brokenTail = 50;
constexpr Milliseconds slopeSpan { 600 };
constexpr double steepestSlope = 0.15;
constexpr Milliseconds loadForgotten { 20'000 };

/** What is expected of a pair that was never seen together. */
constexpr Estimate unknownCoefficient { 0.7, 0.8 };
constexpr Estimate unknownLoad { 0.35, 0.1 };
/** A tail is read to this part of itself, and its stress a little worse. */
constexpr double readingError = 0.1;
constexpr double leastReadingError = 0.02;
/** Variance that what is learnt gains per second. */
constexpr double loadDrift = 0.02;
constexpr double coefficientDrift = 0.002;
constexpr double leastCoefficientVariance = 0.01;
/** A filler's effect varies from task to task and within seconds by this part of itself. */
constexpr double effectSpread = 0.6;
/** The load to reckon with is tracked as this quantile of the loads read without much disturbance. */
constexpr double peakQuantile = 0.93;
constexpr double peakStep = 0.02;
constexpr double littleDisturbance = 0.04;
/** Tails shorter than this are taken as this, in ms. */
constexpr double leastTail = 0.5;

/** Part of the time that a report tells of, up to @p end, that lies between two moments. */
double overlap(TimePoint from, TimePoint to, TimePoint end)
{
    const TimePoint begin = std::max(from, end - reportSpan);
    const Milliseconds common = std::min(to, end) - begin;
    return std::max(static_cast<double>(common.count()) / static_cast<double>(reportSpan.count()), 0.0);
}

double part(Millicores amount, Millicores capacity)
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
}

void NeighbourModel::learn(const WorkerLink &link, TimePoint now)
{
    const std::vector<Share> shares = fillerShares(link, now);
    for (const auto &[ref, run] : link.runs()) {
        const bool isTelling = run.isServing() && run.wasReported && run.phase == RunPhase::Running && run.gauge > 0
            && run.gauge < run.step->tailTarget.count() * brokenTail && run.percent == 100
            && now - run.progressAt > serverWarmUp;
        if (!isTelling) {
            continue;
        }
        ServerImage &image = m_known.servers[run.step->image];
        const double tail = std::max(static_cast<double>(run.gauge), leastTail);
        image.baseTail = image.baseTail == 0 ? tail : std::min(image.baseTail, tail);
        learnServer(run, shares, now);
    }
}

void NeighbourModel::noteEnded(const WorkerLink &link, const LiveRun &run, TimePoint now)
{
    if (run.isFiller() && run.settledAt) {
        const double size = part(run.step->need.processors, link.entry().capacity.processors) * run.pace / 100;
        m_ended[link.entry().id].push_back({ { run.step->image, size }, *run.settledAt, now });
    }
}

/** The fillers' parts of a worker's processors, as means over the time that the report tells of. */
std::vector<NeighbourModel::Share> NeighbourModel::fillerShares(const WorkerLink &link, TimePoint now)
{
    std::vector<Share> shares;
    const auto add = [&shares](const ImageName &image, double size) {
        const auto known = std::ranges::find(shares, image, &Share::image);
        if (known != shares.end()) {
            known->part += size;
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
            overlap(*run.settledAt, change, end) * run.earlierPace + overlap(change, end, end) * run.pace;
        add(run.step->image, part(run.step->need.processors, link.entry().capacity.processors) * pace / 100);
    }
    if (const auto ended = m_ended.find(link.entry().id); ended != m_ended.end()) {
        std::erase_if(ended->second, [end](const EndedFiller &filler) { return filler.endedAt < end - reportSpan; });
        for (const EndedFiller &filler : ended->second) {
            add(filler.share.image, filler.share.part * overlap(filler.startedAt, filler.endedAt, end));
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

void NeighbourModel::learnServer(const LiveRun &run, const std::vector<Share> &shares, TimePoint now)
{
    const double observed = *stress(run);
    StepLoad &load = predictLoad(run, now);
    double expected = load.load.mean;
    const double error = readingError * (1 - observed) + leastReadingError;
    double spread = load.load.variance + error * error;
    std::vector<Estimate> estimates;
    for (const Share &share : shares) {
        const Estimate &estimate = estimates.emplace_back(coefficientEstimate({ share.image, run.step->image }));
        const double effect = estimate.mean * share.part;
        expected += effect;
        spread += estimate.variance * share.part * share.part + effect * effect * effectSpread * effectSpread;
    }
    const double surprise = observed - expected;
    const bool isClean = expected - load.load.mean < littleDisturbance;
    const double loadGain = load.load.variance / spread;
    load.load.mean = std::clamp(load.load.mean + loadGain * surprise, 0.0, 1.0);
    load.load.variance *= 1 - loadGain;
    updateSlope(load, now);
    for (std::size_t index = 0; index < shares.size(); ++index) {
        Estimate &estimate = estimates[index];
        const double gain = estimate.variance * shares[index].part / spread;
        estimate.mean = std::max(estimate.mean + gain * surprise, 0.0);
        estimate.variance =
            std::max(estimate.variance * (1 - gain * shares[index].part) + coefficientDrift * shares[index].part,
                     leastCoefficientVariance);
        m_known.coefficients[{ shares[index].image, run.step->image }] = estimate;
    }
    if (isClean) {
        ServerImage &image = m_known.servers[run.step->image];
        image.peakLoad += load.load.mean > image.peakLoad ? peakStep * peakQuantile : -peakStep * (1 - peakQuantile);
    }
}

void NeighbourModel::updateSlope(StepLoad &load, TimePoint now)
{
    if (now - load.earlierAt < slopeSpan) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - load.earlierAt).count();
    const double slope = (load.load.mean - load.earlierMean) / seconds;
    // The first span begins at a guess.
    load.slope = load.earlierMean == 0 ? 0 : (load.slope + slope) / 2;
    load.earlierMean = load.load.mean;
    load.earlierAt = now;
}

double NeighbourModel::loadSlope(const StepRef &step) const
{
    const auto load = m_loads.find(step);
    return load == m_loads.end() ? 0 : std::clamp(load->second.slope, -steepestSlope, steepestSlope);
}

void NeighbourModel::forgetOld(TimePoint now)
{
    std::erase_if(m_loads, [now](const auto &entry) { return now - entry.second.at > loadForgotten; });
}

Estimate NeighbourModel::coefficientEstimate(const Pair &pair) const
{
    const auto found = m_known.coefficients.find(pair);
    return found == m_known.coefficients.end() ? unknownCoefficient : found->second;
}

double NeighbourModel::coefficient(const ImageName &filler, const ImageName &server) const
{
    return coefficientEstimate({ filler, server }).mean;
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
    return coefficient(filler.image, server) * part(filler.need.processors, link.entry().capacity.processors);
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

std::optional<double> NeighbourModel::stress(const LiveRun &run) const
{
    const auto found = m_known.servers.find(run.step->image);
    if (found == m_known.servers.end() || found->second.baseTail == 0 || run.gauge <= 0) {
        return std::nullopt;
    }
    return std::max(1 - found->second.baseTail / static_cast<double>(run.gauge), 0.0);
}

} // namespace currantring
