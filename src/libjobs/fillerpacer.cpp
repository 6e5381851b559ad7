#include "fillerpacer.h"

#include <algorithm>
#include <cmath>

namespace currantring {

namespace {

/** Stress margin below a serving task's limit that the controller aims for; placement leaves a larger one. */
constexpr double stressMargin = 0.02;
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
            paces.push_back({ &run, run.pace / 100.0 });
        }
    }
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
        for (Pace &pace : paces) {
            pace.value = 0;
        }
    } else if (headroom > stressDeadBand) {
        speedUp(link, headroom, paces);
    }
    std::vector<PaceChange> changes;
    for (const Pace &pace : paces) {
        if (toPercent(pace.value) != toPercent(pace.run->pace / 100.0)) {
            changes.push_back({ pace.run->ref, toPercent(pace.value) });
        }
    }
    return changes;
}

void FillerPacer::slowDown(const WorkerLink &link, const LiveRun &server, double excess, Paces &paces) const
{
    // Slows the most disruptive fillers first, then all others by the same factor.
    double lightStress = 0;
    std::vector<std::pair<double, std::size_t>> heavy;
    std::vector<std::size_t> light;
    for (std::size_t index = 0; index < paces.size(); ++index) {
        const StepSpec &filler = *paces[index].run->step;
        const double effect = m_model.fillerStress(filler, link, server.step->image);
        if (m_model.coefficient(filler.image, server.step->image) > heavyCoefficient) {
            heavy.emplace_back(effect, index);
        } else {
            light.push_back(index);
            lightStress += effect * paces[index].value;
        }
    }
    std::ranges::sort(heavy, std::greater<>());
    for (const auto &[effect, index] : heavy) {
        const double cut = std::min(paces[index].value, std::max(excess, 0.0) / effect);
        paces[index].value -= cut;
        excess -= cut * effect;
    }
    if (excess <= 0 || lightStress <= 0) {
        return;
    }
    for (const std::size_t index : light) {
        paces[index].value *= std::max(1 - excess / lightStress, minLightPaceFactor);
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
    std::vector<std::pair<double, std::size_t>> effects;
    for (std::size_t index = 0; index < paces.size(); ++index) {
        if (paces[index].value < 1) {
            const LiveRun &filler = *paces[index].run;
            const double fraction = static_cast<double>(filler.step->need.processors.value())
                / static_cast<double>(link.entry().capacity.processors.value());
            effects.emplace_back(maxCoefficient(link, filler.step->image) * fraction, index);
        }
    }
    std::ranges::sort(effects);
    for (const auto &[effect, index] : effects) {
        double &pace = paces[index].value;
        const double rise = effect > 0 ? std::min(1 - pace, headroom / effect) : 1 - pace;
        pace += rise;
        headroom -= rise * effect;
        if (headroom <= 0) {
            return;
        }
    }
}

} // namespace currantring
