#include "admissionloadmodel.h"

#include <algorithm>
#include <tuple>

namespace currantring {

namespace {

const ServiceName service("office");
constexpr double cores = 2000;
constexpr Milliseconds tick { 50 };
/** The burst begins once the writer knows the rate. */
constexpr TimePoint burstBegin { Milliseconds(6000) };
constexpr TimePoint lastArrival { Milliseconds(60'000) };
constexpr TimePoint end { Milliseconds(120'000) };
constexpr int maxAttempts = 5;
constexpr Milliseconds impatience { 200 };

double coreSeconds(Millicores processors, Milliseconds duration)
{
    return static_cast<double>(processors.value()) * static_cast<double>(duration.count()) / 1e6;
}

/** Precondition: the job's tasks of the step aren't all done. */
void finishTask(Job &job, std::uint32_t step)
{
    const std::uint32_t index = job.occurrences.front().steps.at(step).doneCount();
    job.markDone({ { job.spec->id, 0, step }, index });
}

} // namespace

AdmissionLoadModel::AdmissionLoadModel(const LoadPattern &pattern, bool refuses)
    : m_pattern(pattern)
    , m_refuses(refuses)
{
    for (const LoadKind &kind : m_pattern.kinds) {
        QueueEntry queue;
        queue.name = QueueName("queue" + std::to_string(kind.priority));
        queue.service = service;
        queue.priority = kind.priority;
        queue.stretch = kind.stretch;
        queue.targetLatency = kind.targetLatency;
        makeArrivals(kind, queue);
    }
}

void AdmissionLoadModel::makeArrivals(const LoadKind &kind, const QueueEntry &queue)
{
    const double meanWork = coreSeconds(kind.processors, kind.duration) * kind.steps * kind.width;
    const TimePoint burstEnd = burstBegin + m_pattern.burst;
    double due = 0;
    for (TimePoint at {}; at < lastArrival; at += tick) {
        const double load = at >= burstBegin && at < burstEnd ? kind.burstLoad : kind.usualLoad;
        for (due += load * cores * 0.05 / meanWork; due >= 1; due -= 1) {
            ModelJob job;
            job.kind = &kind;
            job.queue = queue;
            job.firstAttempt = at;
            JobSpec spec;
            spec.id = JobId("job" + std::to_string(m_jobs.size()));
            spec.queue = queue.name;
            // Widths vary so that jobs differ in their work.
            const auto width = static_cast<std::uint32_t>(kind.width / 2 + uniformBelow(m_random, kind.width + 1));
            for (std::uint32_t index = 0; index < kind.steps; ++index) {
                StepSpec step;
                step.count = std::max(width, 1U);
                step.need = { kind.processors, Mebibytes(100), AcceleratorCount(0) };
                const auto mean = static_cast<double>(kind.duration.count());
                step.estimate = Milliseconds(static_cast<std::int64_t>(mean * kind.estimateFactor));
                if (index > 0) {
                    step.after = { index - 1 };
                }
                spec.steps.push_back(step);
                job.unstarted.push_back(step.count);
                const double factor = 0.5 + uniformUnit(m_random);
                job.durations.emplace_back(static_cast<std::int64_t>(mean * factor));
            }
            job.spec = std::make_shared<const JobSpec>(std::move(spec));
            m_attempts.emplace(at, m_jobs.size());
            m_jobs.push_back(std::move(job));
        }
    }
}

LoadOutcome AdmissionLoadModel::play()
{
    for (m_now = TimePoint {}; m_now < end; m_now += tick) {
        endTasks();
        while (!m_attempts.empty() && m_attempts.begin()->first <= m_now) {
            const std::size_t index = m_attempts.begin()->second;
            m_attempts.erase(m_attempts.begin());
            attempt(index);
        }
        place();
    }
    for (const ModelJob &job : m_jobs) {
        judge(job);
    }
    for (const auto &[second, work] : m_returnsBySecond) {
        m_outcome.returnPeak = std::max(m_outcome.returnPeak, work / cores);
    }
    return m_outcome;
}

void AdmissionLoadModel::attempt(std::size_t index)
{
    ModelJob &job = m_jobs[index];
    ++job.attempts;
    if (job.attempts > 1) {
        m_returnsBySecond[m_now.time_since_epoch().count() / 1000] += trueWork(job);
    }
    job.job = std::make_unique<Job>(job.spec, WallTime(m_now.time_since_epoch().count()));
    job.job->beginOccurrence();
    if (m_refuses && m_admission.mayRefuse(*job.spec, m_now)) {
        const LoadDecision decision = m_admission.decide(*job.spec, job.queue, urgency(job), m_now);
        if (!decision.isAccepted) {
            ++m_outcome.refusals;
            job.job.reset();
            if (job.attempts < maxAttempts) {
                // Callers are told whole seconds.
                const Milliseconds told((decision.retryAfter.count() + 999) / 1000 * 1000);
                m_attempts.emplace(m_now + (m_pattern.habit == CallerHabit::Patient ? told : impatience), index);
            }
            return;
        }
    }
    m_admission.recordAccepted(*job.spec, job.queue, m_now);
    job.acceptedAt = m_now;
    m_open.push_back(index);
}

void AdmissionLoadModel::endTasks()
{
    while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
        const Running ended = m_ends.begin()->second;
        m_ends.erase(m_ends.begin());
        ModelJob &job = m_jobs[ended.job];
        const StepSpec &step = job.spec->steps[job.openStep];
        m_used -= static_cast<double>(step.need.processors.value()) / 1000;
        m_admission.recordDone({ service, false }, job.queue.name, step, m_now - ended.startedAt, m_now);
        finishTask(*job.job, job.openStep);
        --job.running;
        if (job.running == 0 && job.unstarted[job.openStep] == 0) {
            ++job.openStep;
            if (job.openStep == job.spec->steps.size()) {
                job.doneAt = m_now;
                std::erase(m_open, ended.job);
            }
        }
    }
}

JobUrgency AdmissionLoadModel::urgency(const ModelJob &job) const
{
    return urgencyOf(*job.job, 0, job.queue, WallTime(m_now.time_since_epoch().count()));
}

void AdmissionLoadModel::place()
{
    std::vector<std::tuple<std::uint32_t, DeadlineState, double, std::size_t>> order;
    for (const std::size_t index : m_open) {
        if (m_jobs[index].unstarted[m_jobs[index].openStep] > 0) {
            const JobUrgency rank = urgency(m_jobs[index]);
            order.emplace_back(rank.priority, rank.deadlineState, rank.scaledWork, index);
        }
    }
    std::ranges::sort(order);
    std::vector<std::size_t> waiting;
    for (const auto &[priority, state, work, index] : order) {
        ModelJob &job = m_jobs[index];
        const double each = static_cast<double>(job.kind->processors.value()) / 1000;
        std::uint32_t &unstarted = job.unstarted[job.openStep];
        for (; unstarted > 0 && m_used + each <= capacity(); --unstarted) {
            m_used += each;
            ++job.running;
            m_ends.emplace(m_now + job.durations[job.openStep], Running { index, m_now });
        }
        if (unstarted > 0) {
            waiting.push_back(index);
        }
    }
    m_outcome.waitingSteps = std::max(m_outcome.waitingSteps, waiting.size());
    if (m_admission.needsLeftWork(waiting.size(), m_now)) {
        reportLeft(waiting);
    }
}

void AdmissionLoadModel::reportLeft(const std::vector<std::size_t> &waiting)
{
    LeftWork left { m_now, {}, {} };
    for (const std::size_t index : waiting) {
        const ModelJob &job = m_jobs[index];
        const StepSpec &step = job.spec->steps[job.openStep];
        WaitingStep row { true,      { service, false }, urgency(job), job.queue.name, job.unstarted[job.openStep],
                          step.need, step.estimate };
        left.steps.push_back(row);
        row.isOpen = false;
        for (std::size_t later = job.openStep + 1; later < job.unstarted.size(); ++later) {
            row.tasks = job.unstarted[later];
            left.steps.push_back(row);
        }
    }
    const Millicores all(static_cast<std::int64_t>(capacity() * 1000));
    left.capacity[service] = { all, Millicores(static_cast<std::int64_t>(m_used * 1000)), Millicores(0) };
    m_admission.takeLeftWork(left);
}

double AdmissionLoadModel::capacity() const
{
    const bool isBurst = m_now >= burstBegin && m_now < burstBegin + m_pattern.burst;
    return isBurst ? cores * (1 - m_pattern.lostCapacity) : cores;
}

double AdmissionLoadModel::trueWork(const ModelJob &job) const
{
    double work = 0;
    for (std::size_t index = 0; index < job.durations.size(); ++index) {
        work += coreSeconds(job.kind->processors, job.durations[index]) * job.spec->steps[index].count;
    }
    return work;
}

Milliseconds AdmissionLoadModel::limitOf(const ModelJob &job) const
{
    const auto path = static_cast<double>(criticalPath(*job.spec).count());
    const double objective = path * job.kind->stretch + static_cast<double>(job.kind->targetLatency.count());
    return Milliseconds(static_cast<std::int64_t>(objective * lateFactor));
}

void AdmissionLoadModel::judge(const ModelJob &job)
{
    ++m_outcome.jobs;
    if (!job.job) {
        ++m_outcome.refused;
        return;
    }
    const bool isDone = job.doneAt != TimePoint {};
    const Milliseconds limit = limitOf(job);
    const Milliseconds took = job.doneAt - job.firstAttempt;
    if (isDone && took <= limit / 3) {
        ++m_outcome.onTime;
    } else if (isDone && took <= limit) {
        ++m_outcome.late;
    } else {
        ++m_outcome.never;
    }
    if (!isDone || job.doneAt - job.acceptedAt > limit) {
        ++m_outcome.acceptedInVain;
        m_outcome.acceptedInVainBehind += job.kind->priority > 0 ? 1 : 0;
    }
}

int AdmissionLoadModel::bestInTime() const
{
    // What arrives in the burst and is in time is done between its begin and the last limit; the smallest jobs make
    // the most of that. All other jobs may be in time.
    const TimePoint burstEnd = burstBegin + m_pattern.burst;
    std::vector<double> works;
    Milliseconds longest {};
    for (const ModelJob &job : m_jobs) {
        if (job.firstAttempt >= burstBegin && job.firstAttempt < burstEnd) {
            works.push_back(trueWork(job));
            longest = std::max(longest, limitOf(job));
        }
    }
    std::ranges::sort(works);
    const auto burstSeconds = static_cast<double>(m_pattern.burst.count()) / 1000;
    double left = cores * (burstSeconds * (1 - m_pattern.lostCapacity) + static_cast<double>(longest.count()) / 1000);
    std::size_t count = 0;
    while (count < works.size() && works[count] <= left) {
        left -= works[count];
        ++count;
    }
    return static_cast<int>(m_jobs.size() - works.size() + count);
}

} // namespace currantring
