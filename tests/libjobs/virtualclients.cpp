#include "virtualclients.h"
#include "virtualjobs.h"

#include <algorithm>

namespace currantring {

namespace {

constexpr Milliseconds answerTimeout { 3100 };
constexpr Milliseconds retryDelay { 200 };
constexpr Milliseconds retryTimeout { 12'000 };
constexpr Milliseconds pollInterval { 700 };
constexpr Milliseconds lastingInterval { 250 };

/** More occurrences than are stored in full, so that those that are over are forgotten; copies of tasks may run. */
JobSpec withManyOccurrences(JobSpec spec)
{
    constexpr std::uint32_t occurrences = 110;
    constexpr Milliseconds interval { 40 };
    spec.schedule->repetitions = occurrences;
    spec.schedule->interval = interval;
    spec.steps.resize(1);
    spec.steps.front().count = 1;
    spec.steps.front().mayRunCopies = true;
    spec.steps.front().need.processors = Millicores(500);
    return spec;
}

} // namespace

VirtualClients::VirtualClients(VirtualSite &site, std::uint64_t seed)
    : m_site(site)
    , m_random(seed)
{
    pollCounts();
    checkLasting();
}

HostId VirtualClients::randomHost()
{
    const std::vector<HostId> hosts = m_site.hosts();
    return hosts[uniformBelow(m_random, hosts.size())];
}

void VirtualClients::submit(const JobSpec &spec, Milliseconds delay)
{
    const auto shared = std::make_shared<const JobSpec>(spec);
    m_jobs.push_back(shared);
    m_site.after(delay, [this, shared] {
        trySubmit(shared, m_site.now() + retryTimeout);
        pollPhase(shared->id);
    });
}

void VirtualClients::trySubmit(const std::shared_ptr<const JobSpec> &spec, TimePoint until)
{
    const std::size_t call = m_site.send(randomHost(), SubmitJob { spec });
    m_site.after(answerTimeout, [this, spec, until, call] {
        const std::optional<CallAnswer> &answer = m_site.calls()[call].answer;
        const bool isAccepted = answer && answer->outcome == CallOutcome::Accepted;
        if (!isAccepted && m_site.now() < until) {
            m_site.after(retryDelay, [this, spec, until] { trySubmit(spec, until); });
        }
    });
}

void VirtualClients::cancel(const JobId &job, Milliseconds delay)
{
    m_site.after(delay, [this, job] { tryCancel(job, m_site.now() + retryTimeout); });
}

void VirtualClients::tryCancel(const JobId &job, TimePoint until)
{
    const std::size_t call = m_site.send(randomHost(), CancelJob { job });
    m_site.after(answerTimeout, [this, job, until, call] {
        const std::optional<CallAnswer> &answer = m_site.calls()[call].answer;
        const bool isAccepted = answer && answer->outcome == CallOutcome::Accepted;
        if (!isAccepted && m_site.now() < until) {
            tryCancel(job, until);
        }
    });
}

void VirtualClients::pollPhase(const JobId &job)
{
    if (isFinished(job)) {
        return;
    }
    const std::size_t call = m_site.send(randomHost(), ReadJob { job });
    m_site.after(pollInterval, [this, job, call] {
        const std::optional<CallAnswer> &answer = m_site.calls()[call].answer;
        if (answer && answer->outcome == CallOutcome::Found) {
            m_lastPhases[job] = answer->phase;
        }
        pollPhase(job);
    });
}

void VirtualClients::pollCounts()
{
    if (m_isFinishing) {
        return;
    }
    for (const QueueEntry &queue : m_site.configuration().queues) {
        m_site.send(randomHost(), CountWaiting { queue.name });
    }
    m_site.after(pollInterval, [this] { pollCounts(); });
}

void VirtualClients::checkLasting()
{
    if (m_isFinishing) {
        return;
    }
    m_site.judge().checkLasting(m_site.now(), m_site.soundWorkers());
    m_site.after(lastingInterval, [this] { checkLasting(); });
}

bool VirtualClients::isFinished(const JobId &job) const
{
    const auto found = m_lastPhases.find(job);
    return found != m_lastPhases.end() && found->second != JobPhase::Queued && found->second != JobPhase::Running;
}

void VirtualClients::finish(Milliseconds limit)
{
    m_site.runUntil(
        [this] {
            const InvariantChecker &judge = m_site.judge();
            const bool areLastingChecked = !judge.hasLastingTasks() || m_site.now() >= judge.lastingCheckedAt();
            return areLastingChecked && std::ranges::all_of(m_jobs, [this](const auto &spec) {
                       return !m_site.judge().isAccepted(spec->id) || spec->steps.front().isLasting
                           || isFinished(spec->id);
                   });
        },
        limit);
    m_isFinishing = true;
    for (const auto &spec : m_jobs) {
        if (m_site.judge().isAccepted(spec->id) && !isFinished(spec->id)) {
            if (const std::optional<JobPhase> phase = m_site.phaseOf(spec->id)) {
                m_lastPhases[spec->id] = *phase;
            }
        }
    }
    m_site.judge().checkAllCompleted(m_lastPhases);
}

void VirtualClients::submitMixedJobs(std::uint64_t jobs, Milliseconds duration)
{
    const std::uint64_t first = m_jobs.size() + 1;
    for (std::uint64_t number = first; number < first + jobs; ++number) {
        const Milliseconds delay(
            static_cast<std::int64_t>(uniformBelow(m_random, static_cast<std::uint64_t>(duration.count()))));
        const std::uint64_t kind = uniformBelow(m_random, 10);
        JobSpec spec = batchJob(number, 1 + static_cast<std::uint32_t>(uniformBelow(m_random, 3)),
                                1 + static_cast<std::uint32_t>(uniformBelow(m_random, 6)),
                                Milliseconds(100 + static_cast<std::int64_t>(uniformBelow(m_random, 900))));
        if (kind < 2) {
            spec = lastingJob(number, 2);
            spec.steps.front().spreadLimit = kind == 0 ? 1 : 0;
        } else if (kind == 2) {
            spec = withPayload(spec, "fail=1");
        } else if (kind == 3) {
            spec = withPayload(spec, "fail=99");
        } else if (kind == 4) {
            spec.queue = QueueName("urgent");
        } else if (kind == 5) {
            for (StepSpec &step : spec.steps) {
                step.isFiller = true;
                step.image = ImageName("fill");
            }
        }
        submit(spec, delay);
        if (kind == 6) {
            cancel(spec.id, delay + Milliseconds(static_cast<std::int64_t>(uniformBelow(m_random, 2000))));
        }
    }
}

void VirtualClients::submitSpecialJobs(std::uint64_t jobs, Milliseconds duration)
{
    const std::uint64_t first = m_jobs.size() + 1;
    for (std::uint64_t number = first; number < first + jobs; ++number) {
        const Milliseconds delay(
            static_cast<std::int64_t>(uniformBelow(m_random, static_cast<std::uint64_t>(duration.count()))));
        const auto width = 2 + static_cast<std::uint32_t>(uniformBelow(m_random, 3));
        JobSpec spec;
        switch (number % 4) {
        case 0:
            spec = gangJob(number, width);
            break;
        case 1:
            spec = copiedJob(number, width);
            break;
        case 2:
            spec = admittedJob(number, width);
            break;
        default:
            spec = repeatedJob(number, WallTime(m_site.wallNow().value() + delay.count() + 800));
            if (number % 8 == 7) {
                spec = withManyOccurrences(spec);
            }
        }
        if (uniformBelow(m_random, 4) == 0) {
            spec = withPayload(spec, "fail=1");
        }
        submit(spec, delay);
        if (uniformBelow(m_random, 6) == 0) {
            cancel(spec.id, delay + Milliseconds(static_cast<std::int64_t>(uniformBelow(m_random, 2000))));
        }
    }
}

} // namespace currantring
