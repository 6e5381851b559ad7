#include "loadmodel.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <tuple>
#include <utility>

namespace currantring {

namespace {

constexpr std::int64_t burstAt = 5000;
constexpr std::int64_t lastArrival = 20'000;
constexpr std::int64_t tick = 20;
/** Part of the capacity beyond which best-effort tasks are slowed down. */
constexpr double crowdedShare = 0.9;

} // namespace

std::int64_t objectiveOf(const JobSpec &spec, const QueueEntry &queue)
{
    const auto path = static_cast<double>(criticalPath(spec).count());
    return static_cast<std::int64_t>(path * queue.stretch) + queue.targetLatency.count();
}

LoadModel::LoadModel(Load load)
    : m_load(std::move(load))
    , m_random(m_load.seed)
{
    m_queue.priority = 2;
    m_queue.stretch = m_load.stretch;
    m_queue.targetLatency = Milliseconds(m_load.targetMs);
    double due = 0;
    for (std::int64_t now = 0; now < lastArrival; now += tick) {
        due += m_load.jobsPerSecond * (isBurst(now) ? m_load.burstFactor : 1) * tick / 1000;
        for (; due >= 1; --due) {
            addJob(now);
        }
    }
    double work = 0;
    for (const ModelJob &job : m_jobs) {
        work += job.trueWork;
    }
    m_capacity = work / static_cast<double>(m_jobs.size()) * m_load.jobsPerSecond / 1000 / m_load.usualLoad;
}

Outcome LoadModel::play(const Order &order)
{
    constexpr std::int64_t horizon = 600'000;
    std::vector<ModelJob> jobs = m_jobs;
    m_runs.clear();
    m_used = 0;
    std::size_t arrived = 0;
    std::vector<std::size_t> open;
    for (std::int64_t now = 0; now < horizon && (arrived < jobs.size() || !open.empty()); now += tick) {
        endRuns(jobs, now);
        for (; arrived < jobs.size() && jobs[arrived].job.acceptedAt.value() <= now; ++arrived) {
            open.push_back(arrived);
        }
        std::erase_if(open, [&jobs](std::size_t number) { return jobs[number].finishedAt.has_value(); });
        place(jobs, open, order, now);
    }
    return outcomeOf(jobs);
}

int LoadModel::bound() const
{
    constexpr std::int64_t step = 200;
    int best = static_cast<int>(m_jobs.size());
    for (std::int64_t first = 0; first < lastArrival; first += step) {
        for (std::int64_t last = first + step; last < lastArrival + 15'000; last += step) {
            best = std::min(best, boundWithin(first, last));
        }
    }
    return best;
}

bool LoadModel::isBurst(std::int64_t now) const
{
    return now >= burstAt && now < burstAt + m_load.burstMs;
}

double LoadModel::capacityAt(std::int64_t now) const
{
    const bool isLost = isBurst(now) && now >= burstAt + m_load.burstMs / 2;
    return m_capacity * (isLost ? 1 - m_load.lostCapacity : 1);
}

void LoadModel::addJob(std::int64_t now)
{
    const std::size_t number = m_jobs.size();
    const bool isHuge = m_load.hugeOneIn > 0 && number % static_cast<std::size_t>(m_load.hugeOneIn) == 0;
    auto spec = std::make_shared<JobSpec>();
    spec->id = JobId(std::to_string(number));
    const double whole = std::floor(m_load.steps);
    const auto steps = static_cast<std::uint32_t>(whole) + (m_random.next() < m_load.steps - whole ? 1 : 0);
    for (std::uint32_t index = 0; index < steps; ++index) {
        spec->steps.push_back(randomStep(isHuge ? 10 : 1));
        if (index > 0) {
            spec->steps.back().after = { index - 1 };
        }
    }
    Job job(spec, WallTime(now));
    job.beginOccurrence();
    ModelJob &added = m_jobs.emplace_back(std::move(job));
    added.waiting.resize(steps);
    added.isOpened.resize(steps);
    added.objective = objectiveOf(*spec, m_queue);
    for (const StepSpec &step : spec->steps) {
        std::vector<std::int64_t> &durations = added.durations.emplace_back();
        const auto processors = static_cast<double>(step.need.processors.value());
        for (std::uint32_t task = 0; task < step.count; ++task) {
            durations.push_back(durationOf(step));
            added.estimatedWork += static_cast<double>(step.estimate.count()) * processors;
            added.trueWork += static_cast<double>(durations.back()) * processors;
        }
    }
}

StepSpec LoadModel::randomStep(double widthFactor)
{
    StepSpec step;
    step.isFiller = m_load.isFiller;
    const double width = m_random.skewed(m_load.width, 5 * m_load.width) * widthFactor;
    step.count = std::max(static_cast<std::uint32_t>(width), 1U);
    step.need.processors = Millicores(static_cast<std::int64_t>(m_random.around(m_load.processors, 0.4)));
    step.estimate = Milliseconds(static_cast<std::int64_t>(m_random.around(m_load.estimateMs, 0.5)));
    return step;
}

std::int64_t LoadModel::durationOf(const StepSpec &step)
{
    const bool isSlow = m_load.slowOneIn > 0 && m_random.next() * m_load.slowOneIn < 1;
    const double duration = m_random.around(static_cast<double>(step.estimate.count()), m_load.error);
    return std::max<std::int64_t>(static_cast<std::int64_t>(duration * (isSlow ? 7 : 1)), 1);
}

void LoadModel::endRuns(std::vector<ModelJob> &jobs, std::int64_t now)
{
    while (!m_runs.empty() && m_runs.begin()->first <= now) {
        const Run run = m_runs.begin()->second;
        m_runs.erase(m_runs.begin());
        ModelJob &ended = jobs[run.job];
        m_used -= processorsOf(ended, run.step);
        ended.job.markDone({ { ended.job.spec->id, 0, run.step }, run.task });
        if (ended.job.areAllTasksDone()) {
            ended.finishedAt = now;
        }
    }
    // Workers that fail end their runs, which are placed again from the start.
    while (m_used > capacityAt(now)) {
        const auto last = std::prev(m_runs.end());
        m_used -= processorsOf(jobs[last->second.job], last->second.step);
        jobs[last->second.job].waiting[last->second.step].push_back(last->second.task);
        m_runs.erase(last);
    }
}

double LoadModel::processorsOf(const ModelJob &job, std::uint32_t step)
{
    return static_cast<double>(job.job.spec->steps[step].need.processors.value());
}

void LoadModel::place(std::vector<ModelJob> &jobs, const std::vector<std::size_t> &open, const Order &order,
                      std::int64_t now)
{
    std::vector<std::tuple<JobUrgency, std::size_t, std::uint32_t>> steps;
    for (const std::size_t number : open) {
        ModelJob &job = jobs[number];
        for (std::uint32_t step = 0; step < job.waiting.size(); ++step) {
            if (!job.isOpened[step] && job.job.isStepOpen(0, step)) {
                job.isOpened[step] = true;
                for (std::uint32_t task = 0; task < job.durations[step].size(); ++task) {
                    job.waiting[step].push_back(task);
                }
            }
            if (!job.waiting[step].empty()) {
                steps.emplace_back(order(job.job, 0, m_queue, WallTime(now)), number, step);
            }
        }
    }
    std::ranges::sort(steps);
    for (const auto &[urgency, number, step] : steps) {
        placeStep(jobs[number], number, step, now);
    }
}

void LoadModel::placeStep(ModelJob &job, std::size_t number, std::uint32_t step, std::int64_t now)
{
    const double processors = processorsOf(job, step);
    std::vector<std::uint32_t> &waiting = job.waiting[step];
    while (!waiting.empty() && m_used + processors <= capacityAt(now)) {
        m_used += processors;
        const bool isCrowded = m_load.isFiller && m_used > crowdedShare * capacityAt(now);
        const double duration =
            static_cast<double>(job.durations[step][waiting.back()]) * (isCrowded ? m_load.slowdown : 1);
        m_runs.emplace(now + static_cast<std::int64_t>(duration), Run { number, step, waiting.back() });
        waiting.pop_back();
    }
}

void LoadModel::add(Count &count, const ModelJob &job)
{
    ++count.jobs;
    const std::int64_t due = job.job.acceptedAt.value() + job.objective;
    if (job.finishedAt && *job.finishedAt <= due) {
        ++count.onTime;
    } else if (job.finishedAt && *job.finishedAt <= due + (lateFactor - 1) * job.objective) {
        ++count.late;
    } else {
        ++count.never;
    }
}

Outcome LoadModel::outcomeOf(std::vector<ModelJob> &jobs)
{
    std::ranges::stable_sort(jobs, std::greater(), &ModelJob::estimatedWork);
    Outcome outcome;
    for (std::size_t rank = 0; rank < jobs.size(); ++rank) {
        add(outcome.all, jobs[rank]);
        if (rank * 10 < jobs.size()) {
            add(outcome.largestTenth, jobs[rank]);
        } else if (rank * 10 < jobs.size() * 3) {
            add(outcome.fifthBelow, jobs[rank]);
        }
        outcome.unfinished += jobs[rank].finishedAt ? 0 : 1;
    }
    return outcome;
}

int LoadModel::boundWithin(std::int64_t first, std::int64_t last) const
{
    std::vector<double> work;
    for (const ModelJob &job : m_jobs) {
        if (job.job.acceptedAt.value() >= first && job.job.acceptedAt.value() + job.objective <= last) {
            work.push_back(job.trueWork);
        }
    }
    double left = 0;
    for (std::int64_t now = first; now < last; now += tick) {
        left += capacityAt(now) * tick;
    }
    std::ranges::sort(work);
    auto fitting = work.begin();
    for (; fitting != work.end() && *fitting <= left; ++fitting) {
        left -= *fitting;
    }
    return static_cast<int>(m_jobs.size()) - static_cast<int>(work.end() - fitting);
}

} // namespace currantring
