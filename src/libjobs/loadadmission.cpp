#include "loadadmission.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/** Estimates may be missing; a task is taken to last at least this long. */
constexpr Milliseconds minEstimate { 50 };
/** A task isn't counted as longer than this multiple of the recent mean, as its estimate may be days. */
constexpr double maxMeanDurations = 4;
/** In units of the recent mean: how long tasks that have just started may run. */
constexpr double maxRunDurations = 2;
/** Estimates that are too high are corrected by at most this factor. */
constexpr double minRatio = 0.05;
/** A larger ratio of a duration to its estimate counts as this. */
constexpr double maxRatio = 20;
/** Weight of one run in the learnt means. */
constexpr double runWeight = 0.05;
/** A writer that hasn't been active for this long knows too little to refuse. */
constexpr Milliseconds minActive { 3000 };
/** Work has to be left waiting for this long: the rate is that of full workers only then. */
constexpr Milliseconds minBacklogTime { 2000 };
/** Bounds of the interval at which the waiting work is summed up, and steps summed up in each millisecond of it. */
constexpr Milliseconds minSumInterval { 100 };
constexpr Milliseconds maxSumInterval { 500 };
constexpr std::size_t stepsPerMillisecond = 10;
/** Sums older than this aren't used: the writer is late with its passes. */
constexpr Milliseconds maxSumAge { 1000 };
/** A shorter wait than the shortest retry time never leads to a refusal, which would cost the caller more. */
constexpr double minRetryMs = 1000;
constexpr double maxRetryMs = 60'000;
/** Lower bound of the drain rate as a fraction of the completion rate: a burst of arrivals above that rate ends. */
constexpr double minDrainFraction = 0.15;
/** The returns of callers are spread over this fraction of the retry time, and at least over minRetryMs. */
constexpr double spreadFraction = 0.25;
/** Bound for conversions to integers; sums of estimates may be years. */
constexpr double maxMs = 1e12;

double flooredMs(Milliseconds estimate)
{
    return static_cast<double>(std::max(estimate, minEstimate).count());
}

Milliseconds toMilliseconds(double ms)
{
    return Milliseconds(static_cast<std::int64_t>(std::min(ms, maxMs)));
}

void learn(double &mean, double sample)
{
    mean += (sample - mean) * runWeight;
}

CapacityClass classOf(const StepSpec &step, const QueueEntry &queue)
{
    return { queue.service, step.isFiller };
}

/** End of the critical path in milliseconds, when no step begins before @p earliest(step). */
template<typename Earliest>
double pathMs(const JobSpec &spec, Earliest earliest)
{
    std::vector<double> endsAt;
    double longest = 0;
    for (const StepSpec &step : spec.steps) {
        double beginsAt = earliest(step);
        for (const std::uint32_t earlier : step.after) {
            beginsAt = std::max(beginsAt, endsAt[earlier]);
        }
        endsAt.push_back(beginsAt + flooredMs(step.estimate));
        longest = std::max(longest, endsAt.back());
    }
    return longest;
}

} // namespace

LoadAdmission::LoadAdmission(TimePoint activeSince)
    : m_activeSince(activeSince)
{
}

bool LoadAdmission::needsLeftWork(std::size_t steps, TimePoint now) const
{
    const Milliseconds interval(static_cast<std::int64_t>(steps / stepsPerMillisecond));
    return steps == 0 ? !m_backlogs.empty() : now - m_leftAt >= std::clamp(interval, minSumInterval, maxSumInterval);
}

void LoadAdmission::takeLeftWork(const LeftWork &left)
{
    std::map<CapacityClass, Backlog> backlogs;
    for (const WaitingStep &step : left.steps) {
        Backlog &backlog = backlogs[step.capacity];
        const auto processors = static_cast<double>(step.need.processors.value());
        const double work = countedMs(step.capacity, step.queue, step.estimate) * processors;
        const double all = work * static_cast<double>(step.tasks);
        backlog.work.add(step.urgency, step.isOpen ? WaitingWork::Amount { all, 0 } : WaitingWork::Amount { 0, all });
        if (!step.isOpen) {
            continue;
        }
        backlog.hasOpenTasks = true;
        backlog.leastProcessors = std::min(backlog.leastProcessors, step.need.processors);
        backlog.leastMemory = std::min(backlog.leastMemory, step.need.memory);
    }
    std::erase_if(backlogs, [](const auto &entry) { return !entry.second.hasOpenTasks; });
    for (auto &[capacity, backlog] : backlogs) {
        backlog.work.sum();
        const auto before = m_backlogs.find(capacity);
        backlog.since = before == m_backlogs.end() ? left.at : before->second.since;
        const auto service = left.capacity.find(capacity.service);
        if (service != left.capacity.end() && service->second.total.value() > 0) {
            const Millicores running = capacity.isBestEffort ? service->second.bestEffort : service->second.counted;
            backlog.hasCapacity = running.value() > 0;
        }
    }
    m_backlogs = std::move(backlogs);
    m_leftAt = left.at;
}

void LoadAdmission::recordDone(const CapacityClass &capacity, const QueueName &queue, const StepSpec &step,
                               Milliseconds took, TimePoint now)
{
    const auto tookMs = static_cast<double>(std::max(took, Milliseconds(1)).count());
    const double ratio = std::min(tookMs / flooredMs(step.estimate), maxRatio);
    const Ratio sample { std::min(ratio, 1.0), ratio };
    Ratio &mean = m_ratios.try_emplace(queue, sample).first->second;
    learn(mean.lowering, sample.lowering);
    learn(mean.full, sample.full);
    Learnt &learnt = m_learnt[capacity];
    if (!learnt.meanMs) {
        learnt.meanMs = tookMs;
    }
    learn(*learnt.meanMs, tookMs);
    const auto processors = static_cast<double>(step.need.processors.value());
    learnt.completed.record(countedMs(capacity, queue, step.estimate) * processors, now);
}

/** Duration at which a task is counted, both while it waits and in the rate. */
double LoadAdmission::countedMs(const CapacityClass &capacity, const QueueName &queue, Milliseconds estimate) const
{
    const auto ratio = m_ratios.find(queue);
    const double corrected =
        flooredMs(estimate) * (ratio == m_ratios.end() ? 1 : std::max(ratio->second.lowering, minRatio));
    const auto learnt = m_learnt.find(capacity);
    const bool hasMean = learnt != m_learnt.end() && learnt->second.meanMs;
    return hasMean ? std::min(corrected, *learnt->second.meanMs * maxMeanDurations) : corrected;
}

double LoadAdmission::countedWork(const JobSpec &spec, const QueueEntry &queue, const CapacityClass &capacity) const
{
    double work = 0;
    for (const StepSpec &step : spec.steps) {
        if (classOf(step, queue) == capacity && !step.isLasting) {
            work += countedMs(capacity, queue.name, step.estimate) * static_cast<double>(step.need.processors.value())
                * static_cast<double>(step.count);
        }
    }
    return work;
}

void LoadAdmission::recordAccepted(const JobSpec &spec, const QueueEntry &queue, TimePoint now)
{
    for (const bool isBestEffort : { false, true }) {
        const CapacityClass capacity { queue.service, isBestEffort };
        if (const double work = countedWork(spec, queue, capacity); work > 0) {
            m_learnt[capacity].accepted.record(work, now);
        }
    }
}

bool LoadAdmission::mayRefuse(const JobSpec &spec, TimePoint now) const
{
    return !m_backlogs.empty() && now - m_leftAt <= maxSumAge && now - m_activeSince >= minActive && !spec.schedule
        && std::ranges::none_of(spec.steps, &StepSpec::isLasting);
}

LoadAdmission::Wait LoadAdmission::waitOf(const CapacityClass &capacity, const StepSpec &step,
                                          const JobUrgency &urgency, TimePoint now) const
{
    const auto found = m_backlogs.find(capacity);
    const auto learnt = m_learnt.find(capacity);
    if (found == m_backlogs.end() || learnt == m_learnt.end()) {
        return {};
    }
    const Backlog &backlog = found->second;
    // A task that needs less than each one that waits may fit where they don't.
    const bool mayFit = step.need.processors < backlog.leastProcessors || step.need.memory < backlog.leastMemory;
    const std::optional<double> rate = learnt->second.completed.highest(now);
    if (mayFit || !backlog.hasCapacity || now - backlog.since < minBacklogTime || !rate) {
        return {};
    }
    const WaitingWork::Amount preceding = backlog.work.preceding(urgency);
    const double openMs = preceding.open / *rate;
    if (openMs <= 0) {
        return {};
    }
    // When the last open task starts, the later steps of those that run then can't precede the job.
    const double runningShare = std::min(*learnt->second.meanMs * maxRunDurations / openMs, 1.0);
    const double laterMs = preceding.later / *rate * (1 - runningShare);
    return { openMs + laterMs, preceding.open + preceding.later, *rate, learnt->second.accepted.mean(now), capacity };
}

LoadAdmission::Prediction LoadAdmission::predict(const JobSpec &spec, const QueueEntry &queue,
                                                 const JobUrgency &urgency, TimePoint now) const
{
    Prediction prediction;
    prediction.finishMs = pathMs(spec, [&](const StepSpec &step) {
        const Wait wait = waitOf(classOf(step, queue), step, urgency, now);
        if (wait.ms > prediction.longest.ms) {
            prediction.longest = wait;
        }
        return wait.ms;
    });
    return prediction;
}

LoadDecision LoadAdmission::decide(const JobSpec &spec, const QueueEntry &queue, const JobUrgency &urgency,
                                   TimePoint now)
{
    m_refused.forgetReturned(now);
    m_refused.forget(spec.id);
    const Prediction prediction = predict(spec, queue, urgency, now);
    const double path = pathMs(spec, [](const StepSpec &) { return 0.0; });
    const double objective = path * queue.stretch + static_cast<double>(queue.targetLatency.count());
    const double limit = std::max(lateFactor * objective, path + minRetryMs);
    LoadDecision decision;
    decision.isPredicted = prediction.longest.rate > 0;
    decision.isAccepted = prediction.finishMs <= limit;
    decision.wait = toMilliseconds(prediction.longest.ms);
    decision.finish = toMilliseconds(prediction.finishMs);
    decision.objective = toMilliseconds(objective);
    constexpr double msPerSecond = 1000;
    decision.backlog = prediction.longest.preceding / msPerSecond / msPerSecond;
    decision.rate = prediction.longest.rate / msPerSecond;
    decision.inputAge = now - m_leftAt;
    if (!decision.isAccepted) {
        decision.retryAfter = scheduleReturn(spec, queue, prediction.longest, std::max(objective - path, 0.0), now);
    }
    return decision;
}

/**
 * When the work before the job, and that of the jobs refused before it, has drained so far that the job can be on time,
 * counted from its return. Unlike the prediction it isn't optimistic: it expects further arrivals at the recent rate.
 */
Milliseconds LoadAdmission::scheduleReturn(const JobSpec &spec, const QueueEntry &queue, const Wait &wait,
                                           double slackMs, TimePoint now)
{
    const double expected = m_refused.expected(wait.capacity, queue.priority);
    const double drainRate = std::max(wait.rate - wait.arrivalRate, wait.rate * minDrainFraction);
    const double drainedMs = std::clamp((wait.preceding + expected) / drainRate - slackMs, minRetryMs, maxRetryMs);
    const auto window = static_cast<std::uint64_t>(std::max(drainedMs * spreadFraction, minRetryMs));
    const auto spread = static_cast<std::int64_t>(stableHash(spec.id.value()) % window);
    const Milliseconds retryAfter = toMilliseconds(drainedMs) + Milliseconds(spread);
    const auto ratio = m_ratios.find(queue.name);
    const double underestimate =
        ratio == m_ratios.end() ? 1 : std::max(ratio->second.full / std::max(ratio->second.lowering, minRatio), 1.0);
    const double work = countedWork(spec, queue, wait.capacity) * underestimate;
    m_refused.note(spec.id, wait.capacity, queue.priority, work, now + retryAfter);
    return retryAfter;
}

} // namespace currantring
