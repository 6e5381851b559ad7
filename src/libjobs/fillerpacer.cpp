#include "fillerpacer.h"

#include <algorithm>
#include <cmath>

namespace currantring {

namespace {

/** Distance from its target's stress that a serving task is held at. */
constexpr double wantedMargin = 0.05;
/** Stress is let be within this distance of what is wanted. */
constexpr double deadBand = 0.02;
/** A change of a load shows in the reports, and a change of pace in the load, after about this time. */
constexpr double lagSeconds = 0.6;
/** Fillers of pairs above this are slowed before all others. */
constexpr double heavyCoefficient = 0.6;
/** Others are slowed to this part of their pace at most in one decision. */
constexpr double leastLightPace = 0.3;
/** A task that is over its target for longer has all fillers beside it halted. */
constexpr Milliseconds haltAfter { 1000 };
/** Paces are ordered in steps of this, in percent. */
constexpr double paceStep = 10;

std::uint32_t toPercent(double pace)
{
    return static_cast<std::uint32_t>(std::clamp(std::floor(pace * 100 / paceStep) * paceStep, 0.0, 100.0));
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
    double slack = 1;
    bool mustHalt = false;
    for (const auto &[ref, run] : link.runs()) {
        const std::optional<double> stress = run.isServing() ? m_model.stress(run) : std::nullopt;
        if (!stress || run.percent < 100) {
            m_overSince.erase(ref);
            continue;
        }
        const double wanted = m_model.limit(*run.step) - wantedMargin;
        const double expected = *stress + m_model.loadSlope(ref.task.step) * lagSeconds;
        slack = std::min(slack, wanted - expected);
        if (expected > wanted + deadBand) {
            slowDown(link, run, expected - wanted, paces);
        }
        if (run.gauge > run.step->tailTarget.count()) {
            const TimePoint since = m_overSince.try_emplace(ref, now).first->second;
            mustHalt = mustHalt || now - since >= haltAfter;
        } else {
            m_overSince.erase(ref);
        }
    }
    if (mustHalt) {
        for (auto &[ref, pace] : paces) {
            pace = 0;
        }
    } else if (slack > deadBand) {
        speedUp(link, slack, paces);
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
    // First those that disturb most, then all others alike.
    double rest = 0;
    std::vector<std::pair<double, RunRef>> heavy;
    std::vector<RunRef> light;
    for (const auto &[ref, pace] : paces) {
        const StepSpec &filler = *link.runs().at(ref).step;
        const double effect = m_model.fillerStress(filler, link, server.step->image);
        if (m_model.coefficient(filler.image, server.step->image) > heavyCoefficient) {
            heavy.emplace_back(effect, ref);
        } else {
            light.push_back(ref);
            rest += effect * pace;
        }
    }
    std::ranges::sort(heavy, std::greater<>());
    for (const auto &[effect, ref] : heavy) {
        const double cut = std::min(paces[ref], std::max(excess, 0.0) / effect);
        paces[ref] -= cut;
        excess -= cut * effect;
    }
    if (excess <= 0 || rest <= 0) {
        return;
    }
    for (const RunRef &ref : light) {
        paces[ref] *= std::max(1 - excess / rest, leastLightPace);
    }
}

double FillerPacer::worstCoefficient(const WorkerLink &link, const ImageName &filler) const
{
    double worst = 0;
    for (const auto &[ref, run] : link.runs()) {
        if (run.isServing()) {
            worst = std::max(worst, m_model.coefficient(filler, run.step->image));
        }
    }
    return worst;
}

void FillerPacer::speedUp(const WorkerLink &link, double slack, Paces &paces) const
{
    std::vector<std::pair<double, RunRef>> effects;
    for (const auto &[ref, pace] : paces) {
        if (pace < 1) {
            const LiveRun &filler = link.runs().at(ref);
            const double part = static_cast<double>(filler.step->need.processors.value())
                / static_cast<double>(link.entry().capacity.processors.value());
            effects.emplace_back(worstCoefficient(link, filler.step->image) * part, ref);
        }
    }
    std::ranges::sort(effects);
    for (const auto &[effect, ref] : effects) {
        const double rise = effect > 0 ? std::min(1 - paces[ref], slack / effect) : 1 - paces[ref];
        paces[ref] += rise;
        slack -= rise * effect;
        if (slack <= 0) {
            return;
        }
    }
}

} // namespace currantring
