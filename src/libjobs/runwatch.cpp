#include "runwatch.h"

#include <algorithm>

namespace currantring {

namespace {

/** A worker is unsound when all its serving tasks are over their targets by this factor, with nothing beside them. */
constexpr std::int64_t unsoundTail = 8;
constexpr Milliseconds unsoundPatience { 600 };
/** A filler at this pace or below for so long is worth moving. */
constexpr std::uint32_t haltedPace = 30;
constexpr Milliseconds haltedPatience { 500 };
/** Percent of a run that may be thrown away by a move. */
constexpr std::uint32_t littleProgress = 30;
constexpr std::uint32_t mostProgress = 70;
/** A run without any progress for this time, and for so many times what a percent should take, stands still. */
constexpr Milliseconds stallPatience { 1500 };
constexpr std::int64_t stallPercents = 10;
/** A lasting task that isn't at work and hasn't got on for so long won't be. */
constexpr Milliseconds startPatience { 3000 };
constexpr std::size_t movesAtOnce = 2;
/** A better place for halted fillers is looked for so often. */
constexpr Milliseconds betterInterval { 100 };
constexpr std::size_t tellingDurations = 2;
/** What the new place may cost at most; what can't go on here takes any. */
constexpr double goodCost = 1.5;
constexpr double anyCost = 1000;
constexpr std::string_view haltedReason = "halted";
constexpr std::string_view standsReason = "stands-still";

bool isAtWork(const LiveRun &run)
{
    return run.phase == RunPhase::Running && run.wasReported && run.percent == 100;
}

} // namespace

RunWatch::RunWatch(const NeighbourModel &neighbours, const RunPlacer &placer, WorkerHealth &health, Sources sources)
    : m_neighbours(neighbours)
    , m_placer(placer)
    , m_health(health)
    , m_sources(std::move(sources))
{
}

std::vector<RunMove> RunWatch::decide(const WorkerLink &link, TimePoint now)
{
    const bool isWorkerUnsound = isUnsound(link, now);
    if (isWorkerUnsound) {
        m_health.noteUnsound(link.entry().id, now);
    }
    std::vector<RunMove> moves;
    for (const auto &[ref, run] : link.runs()) {
        if (run.phase != RunPhase::Running || moves.size() >= movesAtOnce) {
            continue;
        }
        const std::string_view reason = reasonToMove(run, isWorkerUnsound, now);
        if (reason.empty() || !mayMove(run)) {
            continue;
        }
        if (hasBetter(run, link, reason == haltedReason, now)) {
            moves.push_back({ ref, reason });
            if (reason == standsReason) {
                // So that it isn't placed there again at once.
                m_health.noteFailure(link.entry().id, ref.task, now);
            }
        }
    }
    return moves;
}

bool RunWatch::hasBetter(const LiveRun &run, const WorkerLink &link, bool isHalted, TimePoint now)
{
    std::optional<PlacementWish> wish = m_sources.wishFor(run);
    if (!wish) {
        return false;
    }
    if (!isHalted) {
        return m_placer.hasOther(*wish, link, anyCost, now);
    }
    if (now - m_noBetterSince >= betterInterval) {
        m_noBetter.clear();
        m_noBetterSince = now;
    }
    if (m_noBetter.isHopeless(*wish)) {
        return false;
    }
    // A filler that gets on slowly is moved for the better only.
    const bool isThere = m_placer.hasOther(*wish, link, goodCost, now);
    if (!isThere) {
        // Its present worker is no place for its like either.
        wish->taken.clear();
        m_noBetter.noteNone(*wish);
    }
    return isThere;
}

bool RunWatch::isUnsound(const WorkerLink &link, TimePoint now)
{
    std::size_t serving = 0;
    std::size_t slow = 0;
    double disturbance = 0;
    for (const auto &[ref, run] : link.runs()) {
        if (!run.isServing() || !isAtWork(run) || run.gauge <= 0) {
            continue;
        }
        ++serving;
        slow += run.gauge > run.step->tailTarget.count() * unsoundTail ? 1 : 0;
        disturbance = std::max(disturbance, m_neighbours.addedStress(link, run.step->image));
    }
    // Tails explode beside fillers, too, when these press a task past what it bears.
    const bool isExplained = disturbance > 0.1;
    if (serving == 0 || slow < serving || isExplained) {
        m_slowSince.erase(link.entry().id);
        return false;
    }
    const TimePoint since = m_slowSince.try_emplace(link.entry().id, now).first->second;
    return now - since >= unsoundPatience;
}

std::string_view RunWatch::reasonToMove(const LiveRun &run, bool isWorkerUnsound, TimePoint now) const
{
    const bool isKept = run.step->hasCheckpoints || run.percent < littleProgress;
    if (run.step->isLasting) {
        // Some take many seconds to start, and get on meanwhile.
        const TimePoint since = std::max(run.progressAt, run.settledAt.value_or(now));
        const bool isLate = run.percent < 100 && now - since > startPatience;
        return isWorkerUnsound ? "worker-unsound" : isLate ? standsReason : "";
    }
    if (isWorkerUnsound && (isKept || run.percent < mostProgress)) {
        return "worker-unsound";
    }
    if (isStalled(run, now)) {
        return standsReason;
    }
    if (isStraggler(run, now)) {
        return "straggler";
    }
    const bool isHalted = run.isFiller() && run.pace <= haltedPace && now - run.pacedAt >= haltedPatience;
    return isHalted && isKept ? haltedReason : "";
}

bool RunWatch::isStalled(const LiveRun &run, TimePoint now)
{
    if (!run.wasReported || run.pace < haltedPace) {
        return false;
    }
    const Milliseconds perPercent = run.step->estimate / run.pace;
    return now - std::max(run.progressAt, run.pacedAt) > std::max(stallPatience, perPercent * stallPercents);
}

/** Whether a task that may run twice takes much longer than the others of its step did. */
bool RunWatch::isStraggler(const LiveRun &run, TimePoint now) const
{
    const auto known = m_durations.find(run.ref.task.step);
    if (!run.step->mayRunCopies || known == m_durations.end() || known->second.size() < tellingDurations) {
        return false;
    }
    std::vector<Milliseconds> durations = known->second;
    std::ranges::sort(durations);
    const Milliseconds median = durations[durations.size() / 2];
    const Milliseconds age = now - run.settledAt.value_or(now);
    const Milliseconds whole = age * 100 / std::max(run.percent, 1U);
    // A copy pays where the rest of the run takes longer than a whole one elsewhere.
    return age > median && whole - age > median;
}

void RunWatch::noteDone(const LiveRun &run, TimePoint now)
{
    if (run.settledAt && run.step->count > 1) {
        m_durations[run.ref.task.step].push_back(now - *run.settledAt);
    }
}

void RunWatch::forgetStep(const StepRef &step)
{
    m_durations.erase(step);
}

void RunWatch::forgetJob(const JobId &job)
{
    std::erase_if(m_durations, [&job](const auto &entry) { return entry.first.job == job; });
}

bool RunWatch::mayMove(const LiveRun &run) const
{
    return run.step->mayMiss == 0 || !isAtWork(run) || m_sources.awayBeside(run) < run.step->mayMiss;
}

} // namespace currantring
