#include "fillerpacer.h"

#include <algorithm>
#include <cmath>

namespace currantring {

namespace {

/** Stress margin below a serving task's limit that the controller aims for. */
constexpr double stressMargin = 0.05;
/** Deviation from the wanted stress that causes no pace change. */
constexpr double stressDeadBand = 0.02;
/** Approximate delay until a load change shows in the reports, or a pace change in the load. */
constexpr double controlLagSeconds = 0.6;
/** Fillers with a coefficient above this are slowed before all others. */
constexpr double heavyCoefficient = 0.6;
/** Smallest factor by which one decision slows the other fillers. */
constexpr double minLightPaceFactor = 0.3;
/** All fillers of a worker are halted after a serving task exceeds its target for this time. */
constexpr Milliseconds haltDelay { 1000 };
/** Paces are rounded down to a multiple of this. */
constexpr double paceStepPercent = 10;

std::uint32_t toPercent(double pace)
{
    return static_cast<std::uint32_t>(
        std::clamp(std::floor(pace * 100 / paceStepPercent) * paceStepPercent, 0.0, 100.0));
}

} // namespace

FillerPacer::FillerPacer(const NeighbourModel &model)
    : m_model(model)
{
}

std::vector<PaceChange> FillerPacer::decide(const WorkerLink &link, TimePoint now)
{
    Paces paces;
    for (const auto &[ref, run] : link.runs()) {
        if (run.isFiller() && run.phase == RunPhase::Running) {
            paces[ref] = run.pace / 100.0;
        }
    }
    const Paces before = paces;
    double headroom = 1;
    bool mustHalt = false;
    for (const auto &[ref, run] : link.runs()) {
        const std::optional<double> stress = run.isServing() ? m_model.stress(run) : std::nullopt;
        if (!stress || run.percent < 100) {
            m_overSince.erase(ref);
            continue;
        }
        const double wanted = m_model.limit(*run.step) - stressMargin;
        const double expected = *stress + m_model.loadSlope(ref.task.step) * controlLagSeconds;
        headroom = std::min(headroom, wanted - expected);
        if (expected > wanted + stressDeadBand) {
            slowDown(link, run, expected - wanted, paces);
        }
        if (run.gauge > run.step->tailTarget.count()) {
            const TimePoint since = m_overSince.try_emplace(ref, now).first->second;
            mustHalt = mustHalt || now - since >= haltDelay;
        } else {
            m_overSince.erase(ref);
        }
    }
    if (mustHalt) {
        for (auto &[ref, pace] : paces) {
            pace = 0;
        }
    } else if (headroom > stressDeadBand) {
        speedUp(link, headroom, paces);
    }
    std::vector<PaceChange> changes;
    for (const auto &[ref, pace] : paces) {
        if (toPercent(pace) != toPercent(before.at(ref))) {
            changes.push_back({ ref, toPercent(pace) });
        }
    }
    return changes;
}

void FillerPacer::slowDown(const WorkerLink &link, const LiveRun &server, double excess, Paces &paces) const
{
    // Slows the most disruptive fillers first, then all others by the same factor.
    double lightStress = 0;
    std::vector<std::pair<double, RunRef>> heavy;
    std::vector<RunRef> light;
    for (const auto &[ref, pace] : paces) {
        const StepSpec &filler = *link.runs().at(ref).step;
        const double effect = m_model.fillerStress(filler, link, server.step->image);
        if (m_model.coefficient(filler.image, server.step->image) > heavyCoefficient) {
            heavy.emplace_back(effect, ref);
        } else {
            light.push_back(ref);
            lightStress += effect * pace;
        }
    }
    std::ranges::sort(heavy, std::greater<>());
    for (const auto &[effect, ref] : heavy) {
        const double cut = std::min(paces[ref], std::max(excess, 0.0) / effect);
        paces[ref] -= cut;
        excess -= cut * effect;
    }
    if (excess <= 0 || lightStress <= 0) {
        return;
    }
    for (const RunRef &ref : light) {
        paces[ref] *= std::max(1 - excess / lightStress, minLightPaceFactor);
    }
}

double FillerPacer::maxCoefficient(const WorkerLink &link, const ImageName &filler) const
{
    double largest = 0;
    for (const auto &[ref, run] : link.runs()) {
        if (run.isServing()) {
            largest = std::max(largest, m_model.coefficient(filler, run.step->image));
        }
    }
    return largest;
}

void FillerPacer::speedUp(const WorkerLink &link, double headroom, Paces &paces) const
{
    std::vector<std::pair<double, RunRef>> effects;
    for (const auto &[ref, pace] : paces) {
        if (pace < 1) {
            const LiveRun &filler = link.runs().at(ref);
            const double fraction = static_cast<double>(filler.step->need.processors.value())
                / static_cast<double>(link.entry().capacity.processors.value());
            effects.emplace_back(maxCoefficient(link, filler.step->image) * fraction, ref);
        }
    }
    std::ranges::sort(effects);
    for (const auto &[effect, ref] : effects) {
        const double rise = effect > 0 ? std::min(1 - paces[ref], headroom / effect) : 1 - paces[ref];
        paces[ref] += rise;
        headroom -= rise * effect;
        if (headroom <= 0) {
            return;
        }
    }
}

} // namespace currantring
