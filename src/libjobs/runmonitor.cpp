#include "runmonitor.h"

#include <algorithm>

namespace currantring {

namespace {

/** A worker is unsound when all its serving tasks exceed their targets by this factor without filler interference. */
constexpr std::int64_t unsoundTailFactor = 8;
constexpr Milliseconds unsoundDelay { 600 };
/** Fillers that add more stress may be the reason for slow serving tasks. */
constexpr double maxInnocentStress = 0.1;
/** A filler kept at or below this pace for haltedDelay is moved. */
constexpr std::uint32_t haltedPacePercent = 30;
constexpr Milliseconds haltedDelay { 500 };
/** Limits on the progress, in percent, that a move of a run without checkpoints may discard. */
constexpr std::uint32_t lowProgressPercent = 30;
constexpr std::uint32_t maxProgressPercent = 70;
/** A run is stalled after this time, and this many times the expected time per percent, without progress. */
constexpr Milliseconds minStallTime { 1500 };
constexpr std::int64_t stallPercentCount = 10;
/** A lasting task that isn't ready and made no start-up progress for this time is moved. */
constexpr Milliseconds startProgressTimeout { 3000 };
constexpr std::size_t maxMovesPerReport = 2;
/** A draining worker that may leave within this time ends its tasks anyway, so all of them move. */
constexpr Milliseconds departureTime { 1500 };
/** Time for a lasting task to stop, and to be ready on another worker. */
constexpr Milliseconds waveTime { 2000 };
/** How long a failed search for a better place for halted fillers is cached. */
constexpr Milliseconds noBetterLifetime { 100 };
constexpr std::size_t minDurationSamples = 2;
/** Cost limits of the new place: for halted fillers, and for runs that can't continue on their worker. */
constexpr double maxHaltedMoveCost = 1.5;
constexpr double maxMoveCost = 1000;
constexpr std::string_view haltedReason = "halted";
constexpr std::string_view stalledReason = "stands-still";

bool isReady(const LiveRun &run)
{
    return run.phase == RunPhase::Running && run.isListed && run.percent == 100;
}

bool isAboutToLeave(const WorkerLink &link, TimePoint now)
{
    return link.leavesAt() && *link.leavesAt() - now < departureTime;
}

} // namespace

RunMonitor::RunMonitor(const NeighbourModel &neighbours, const RunPlacer &placer, WorkerHealth &health, Sources sources)
    : m_neighbours(neighbours)
    , m_placer(placer)
    , m_health(health)
    , m_sources(std::move(sources))
{
}

std::vector<RunMove> RunMonitor::decide(const WorkerLink &link, TimePoint now)
{
    const bool isWorkerUnsound = isUnsound(link, now);
    if (isWorkerUnsound) {
        m_health.noteUnhealthy(link.entry().id, now);
    }
    const std::size_t maxMoves = isAboutToLeave(link, now) ? link.runs().size() : maxMovesPerReport;
    std::vector<RunMove> moves;
    for (const auto &[ref, run] : link.runs()) {
        if (run.phase != RunPhase::Running || run.isEndPending() || moves.size() >= maxMoves) {
            continue;
        }
        const std::string_view reason = reasonToMove(run, link, isWorkerUnsound, now);
        if (reason.empty() || !mayMove(run, link, moves, now)) {
            continue;
        }
        if (hasBetterPlace(run, link, reason == haltedReason, now)) {
            moves.push_back({ ref, reason });
            if (reason == stalledReason) {
                // Prevents the task from being placed there again at once.
                m_health.noteFailure(link.entry().id, ref.task, now);
            }
        }
    }
    return moves;
}

bool RunMonitor::hasBetterPlace(const LiveRun &run, const WorkerLink &link, bool isHalted, TimePoint now)
{
    std::optional<PlacementRequest> request = m_sources.requestFor(run);
    if (!request) {
        return false;
    }
    if (!isHalted) {
        return m_placer.hasOther(*request, link, maxMoveCost, now);
    }
    if (now - m_noBetterSince >= noBetterLifetime) {
        m_noBetter.clear();
        m_noBetterSince = now;
    }
    if (m_noBetter.isKnownNotToFit(*request)) {
        return false;
    }
    // A throttled filler is moved only to a low-cost worker.
    const bool isFound = m_placer.hasOther(*request, link, maxHaltedMoveCost, now);
    if (!isFound) {
        // The present worker has no room for such a filler either, so the result holds for all workers.
        request->excludedWorkers.clear();
        m_noBetter.recordNoRoom(*request);
    }
    return isFound;
}

bool RunMonitor::isUnsound(const WorkerLink &link, TimePoint now)
{
    const auto serves = [](const LiveRun &run) {
        return run.isServing() && isReady(run) && run.gauge > 0;
    };
    bool isSlow = false;
    for (const auto &[ref, run] : link.runs()) {
        if (serves(run)) {
            isSlow = run.gauge > run.step->tailTarget.count() * unsoundTailFactor;
            if (!isSlow) {
                break;
            }
        }
    }
    // Fillers can saturate a serving task as well, which raises its tail latency in the same way.
    const bool isInterference =
        isSlow && std::ranges::any_of(link.runs(), [this, &link, &serves](const auto &entry) {
            return serves(entry.second) && m_neighbours.addedStress(link, entry.second.step->image) > maxInnocentStress;
        });
    if (!isSlow || isInterference) {
        m_slowSince.erase(link.entry().id);
        return false;
    }
    const TimePoint since = m_slowSince.try_emplace(link.entry().id, now).first->second;
    return now - since >= unsoundDelay;
}

std::string_view RunMonitor::reasonToMove(const LiveRun &run, const WorkerLink &link, bool isWorkerUnsound,
                                          TimePoint now) const
{
    const bool losesLittle = run.step->hasCheckpoints || run.percent < lowProgressPercent;
    if (run.step->isLasting) {
        // Start-up may take many seconds, so the time since the last progress counts.
        const TimePoint since = std::max(run.progressAt, run.settledAt.value_or(now));
        const bool isLate = run.percent < 100 && now - since > startProgressTimeout;
        if (isDueToLeave(run, link, now)) {
            return "worker-draining";
        }
        return isWorkerUnsound ? "worker-unsound" : isLate ? stalledReason : "";
    }
    if (isWorkerUnsound && (losesLittle || run.percent < maxProgressPercent)) {
        return "worker-unsound";
    }
    if (isStalled(run, now)) {
        return stalledReason;
    }
    if (isStraggler(run, now)) {
        return "straggler";
    }
    const bool isHalted = run.isFiller() && run.pace <= haltedPacePercent && now - run.pacedAt >= haltedDelay;
    return isHalted && losesLittle ? haltedReason : "";
}

/**
 * Whether the run has to leave its draining worker now, for all tasks of its step to leave in time.
 *
 * Until then it uses resources that no new run may use, and leaves those of other workers to waiting tasks.
 */
bool RunMonitor::isDueToLeave(const LiveRun &run, const WorkerLink &link, TimePoint now) const
{
    if (!link.leavesAt()) {
        return false;
    }
    std::uint32_t waves = 1;
    if (run.step->mayMiss > 0) {
        const std::uint32_t leaving = m_sources.siblingsLeavingBefore(run, *link.leavesAt() + Milliseconds(1));
        waves = (leaving + run.step->mayMiss - 1) / run.step->mayMiss;
    }
    return !isReady(run) || *link.leavesAt() - now < departureTime + waves * waveTime;
}

bool RunMonitor::isStalled(const LiveRun &run, TimePoint now)
{
    if (!run.wasReported || run.pace < haltedPacePercent) {
        return false;
    }
    const Milliseconds perPercent = run.step->estimate / run.pace;
    return now - std::max(run.progressAt, run.pacedAt) > std::max(minStallTime, perPercent * stallPercentCount);
}

/** Whether a task that allows copies takes much longer than the completed tasks of its step. */
bool RunMonitor::isStraggler(const LiveRun &run, TimePoint now) const
{
    const auto known = m_durations.find(run.ref.task.step);
    if (!run.step->mayRunCopies || known == m_durations.end() || known->second.size() < minDurationSamples) {
        return false;
    }
    const Milliseconds median = known->second[known->second.size() / 2];
    const Milliseconds age = now - run.settledAt.value_or(now);
    const Milliseconds estimatedTotal = age * 100 / std::max(run.percent, 1U);
    // A copy helps if the remaining time exceeds the median duration of a whole run.
    return age > median && estimatedTotal - age > median;
}

void RunMonitor::recordCompletion(const LiveRun &run, TimePoint now)
{
    if (run.settledAt && run.step->count > 1) {
        std::vector<Milliseconds> &durations = m_durations[run.ref.task.step];
        const Milliseconds duration = now - *run.settledAt;
        durations.insert(std::ranges::upper_bound(durations, duration), duration);
    }
}

void RunMonitor::forgetStep(const StepRef &step)
{
    m_durations.erase(step);
}

std::size_t RunMonitor::trackedSteps() const
{
    return m_durations.size();
}

void RunMonitor::forgetJob(const JobId &job)
{
    std::erase_if(m_durations, [&job](const auto &entry) { return entry.first.job == job; });
}

/**
 * Whether the step can spare the run. @p moves: the moves already decided, of which the runs are still available.
 *
 * Tasks on workers that leave earlier go first, as far as the step may miss only few.
 */
bool RunMonitor::mayMove(const LiveRun &run, const WorkerLink &link, const std::vector<RunMove> &moves,
                         TimePoint now) const
{
    if (run.step->mayMiss == 0 || !isReady(run) || isAboutToLeave(link, now)) {
        return true;
    }
    const auto siblings =
        std::ranges::count_if(moves, [&run](const RunMove &move) { return move.run.task.step == run.ref.task.step; });
    std::uint32_t spent = m_sources.unavailableSiblings(run) + static_cast<std::uint32_t>(siblings);
    if (spent < run.step->mayMiss && link.leavesAt()) {
        spent += m_sources.siblingsLeavingBefore(run, *link.leavesAt());
    }
    return spent < run.step->mayMiss;
}

} // namespace currantring
