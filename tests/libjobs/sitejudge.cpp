#include "sitejudge.h"

#include <algorithm>

namespace currantring {

void SiteJudge::noteConfiguration(const SiteConfiguration &configuration)
{
    m_configuration = configuration;
}

void SiteJudge::noteWorker(const WorkerEntry &entry)
{
    m_workers.insert_or_assign(entry.id, entry);
}

void SiteJudge::noteWallStart(WallTime start)
{
    m_wallStart = start;
}

void SiteJudge::noteClockSteps(Milliseconds most)
{
    m_bounds.early += most;
}

void SiteJudge::noteSubmission(const std::shared_ptr<const JobSpec> &spec)
{
    m_jobs[spec->id].spec = spec;
}

void SiteJudge::noteFact(const WorkerRunEvent &fact)
{
    TaskTruth &task = m_tasks[fact.run.task];
    switch (fact.kind) {
    case WorkerRunEvent::Kind::Started:
        takeStart(fact);
        break;
    case WorkerRunEvent::Kind::Ended:
        task.running.erase(fact.run);
        if (fact.end == ListedEnd::Done) {
            task.isDone = true;
            task.doneRuns.emplace(fact.run, false);
        }
        task.failed += fact.end == ListedEnd::Failed ? 1 : 0;
        m_membersLeftAlone += fact.end == ListedEnd::Alone ? 1 : 0;
        break;
    case WorkerRunEvent::Kind::Acknowledged:
        if (fact.isLapsed) {
            break;
        }
        task.acknowledgedFailures += fact.end == ListedEnd::Failed ? 1 : 0;
        if (fact.end == ListedEnd::Done) {
            task.doneNotedAt = task.doneNotedAt.value_or(fact.at);
            if (task.doneRuns[fact.run]) {
                violation("TWICE", fact.at,
                          describe(fact.run.task) + " started again after an end that is taken note of");
            }
        }
        break;
    }
}

void SiteJudge::takeStart(const WorkerRunEvent &fact)
{
    ++m_starts;
    TaskTruth &task = m_tasks[fact.run.task];
    ++task.starts;
    const std::string name = describe(fact.run.task);
    const auto job = m_jobs.find(fact.run.task.step.job);
    const bool isKnown = job != m_jobs.end() && job->second.spec
        && fact.run.task.step.step < job->second.spec->steps.size() && job->second.spec->payload == fact.payload;
    if (!isKnown) {
        violation("UNASKED", fact.at, name + " was asked for by nobody");
        return;
    }
    const JobSpec &spec = *job->second.spec;
    const StepSpec &step = spec.steps.at(fact.run.task.step.step);
    if (job->second.cancelledAt && fact.at - *job->second.cancelledAt > m_bounds.cancel) {
        violation("UNASKED", fact.at, name + " starts long after its job was cancelled");
    }
    if (job->second.wasShownCompleted && !step.mayRunCopies) {
        violation("TWICE", fact.at, name + " starts after its job was shown as completed");
    }
    if (!step.mayRunCopies && !task.running.empty()) {
        violation("TWICE", fact.at,
                  name + " runs on " + task.running.begin()->second.value() + " and " + fact.worker.value());
    }
    if (task.doneNotedAt && (!step.mayRunCopies || fact.at - *task.doneNotedAt > m_bounds.noted)) {
        violation("TWICE", fact.at, name + " starts after its end was taken note of");
    }
    for (auto &[done, isFollowed] : task.doneRuns) {
        isFollowed = isFollowed || (!step.mayRunCopies && !step.isLasting);
    }
    if (!step.isLasting && failuresOf(fact.run.task, step) >= attemptLimit(spec)) {
        violation("BUDGET", fact.at, name + " starts after its last attempt");
    }
    task.running.emplace(fact.run, fact.worker);
    checkPlace(fact, step, spec);
    checkRoom(fact);
    checkOrder(fact, step);
    checkDue(fact, spec);
}

/** Failures that are taken note of: the task's own, or those of its whole gang. */
std::uint32_t SiteJudge::failuresOf(const TaskRef &task, const StepSpec &step)
{
    std::uint32_t failures = 0;
    for (std::uint32_t index = 0; index < step.count; ++index) {
        if (step.isGang || index == task.index) {
            failures += m_tasks[{ task.step, index }].acknowledgedFailures;
        }
    }
    return failures;
}

void SiteJudge::checkDue(const WorkerRunEvent &fact, const JobSpec &spec)
{
    if (!spec.schedule) {
        return;
    }
    const std::int64_t due =
        spec.schedule->first.value() + spec.schedule->interval.count() * fact.run.task.step.occurrence;
    const std::int64_t now = m_wallStart.value() + fact.at.time_since_epoch().count();
    if (now < due - m_bounds.early.count()) {
        violation("ORDER", fact.at, describe(fact.run.task) + " starts before its time");
    }
}

void SiteJudge::checkCompleted(const JobSpec &spec, TimePoint at)
{
    for (std::uint32_t occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < spec.steps.at(step).count; ++index) {
                if (!m_tasks[{ { spec.id, occurrence, step }, index }].isDone) {
                    violation("MIXED", at, spec.id.value() + " is shown as completed too early");
                    return;
                }
            }
        }
    }
}

void SiteJudge::checkPlace(const WorkerRunEvent &fact, const StepSpec &step, const JobSpec &job)
{
    const WorkerEntry &worker = m_workers.at(fact.worker);
    const QueueEntry *const queue = m_configuration.queue(job.queue);
    if (queue != nullptr && queue->service != worker.service) {
        violation("ROUTE", fact.at, describe(fact.run.task) + " starts on a worker of another service");
    }
    if (!step.requiredLabel.value().empty() && !worker.hasLabel(step.requiredLabel)) {
        violation("ROUTE", fact.at, describe(fact.run.task) + " starts on a worker without its label");
    }
    std::uint32_t together = 0;
    for (const auto &[ref, truth] : m_tasks) {
        for (const auto &[run, place] : truth.running) {
            together += ref.step == fact.run.task.step && place == fact.worker ? 1 : 0;
        }
    }
    if (step.spreadLimit > 0 && together > step.spreadLimit) {
        violation("ROUTE", fact.at, describe(fact.run.task) + " starts beside too many of its step");
    }
}

void SiteJudge::checkRoom(const WorkerRunEvent &fact)
{
    Resources used;
    for (const auto &[ref, truth] : m_tasks) {
        for (const auto &[run, place] : truth.running) {
            const auto job = m_jobs.find(ref.step.job);
            if (place != fact.worker || job == m_jobs.end()) {
                continue;
            }
            const StepSpec &step = job->second.spec->steps.at(ref.step.step);
            Resources need = step.need;
            if (step.isFiller) {
                need.processors = Millicores(0);
            }
            used += need;
        }
    }
    if (!m_workers.at(fact.worker).capacity.covers(used)) {
        violation("LIMIT", fact.at,
                  fact.worker.value() + " is asked for more than it has by " + describe(fact.run.task));
    }
}

void SiteJudge::checkOrder(const WorkerRunEvent &fact, const StepSpec &step)
{
    const JobSpec &spec = *m_jobs.at(fact.run.task.step.job).spec;
    for (const std::uint32_t earlier : step.after) {
        for (std::uint32_t index = 0; index < spec.steps.at(earlier).count; ++index) {
            const TaskRef needed { { spec.id, fact.run.task.step.occurrence, earlier }, index };
            if (!m_tasks[needed].isDone) {
                violation("ORDER", fact.at,
                          describe(fact.run.task) + " starts before " + describe(needed) + " is done");
                return;
            }
        }
    }
}

void SiteJudge::noteCancelSent(const JobId &job, TimePoint at)
{
    m_jobs[job].cancelSentAt = at;
}

void SiteJudge::noteAnswer(const CallerCall &call, const CallAnswer &answer, TimePoint sentAt, TimePoint at)
{
    const auto job = m_jobs.find(JobId(callSubject(call)));
    if (job == m_jobs.end()) {
        return;
    }
    JobTruth &truth = job->second;
    if (std::holds_alternative<SubmitJob>(call)) {
        if (answer.outcome == CallOutcome::Accepted) {
            truth.acceptedAt = truth.acceptedAt.value_or(at);
        }
        truth.mayHaveBeenAccepted = truth.mayHaveBeenAccepted || answer.outcome != CallOutcome::Refused;
    } else if (std::holds_alternative<CancelJob>(call)) {
        if (answer.outcome == CallOutcome::Accepted) {
            truth.cancelledAt = truth.cancelledAt.value_or(at);
        }
    } else if (answer.outcome == CallOutcome::Unknown && truth.acceptedAt && *truth.acceptedAt < sentAt) {
        violation("LOST", at, job->first.value() + " is said not to exist");
    } else if (answer.outcome == CallOutcome::Found && answer.phase == JobPhase::Completed) {
        truth.wasShownCompleted = true;
        checkCompleted(*truth.spec, at);
    } else if (answer.outcome == CallOutcome::Found && answer.phase == JobPhase::Cancelled && !truth.cancelledAt
               && !truth.cancelSentAt) {
        violation("LOST", at, job->first.value() + " is shown as cancelled, and nobody did");
    }
}

void SiteJudge::checkAllDone(const std::map<JobId, JobPhase> &shown)
{
    for (const auto &[id, truth] : m_jobs) {
        const bool lasts = std::ranges::any_of(truth.spec->steps, [](const StepSpec &step) { return step.isLasting; });
        if (!truth.acceptedAt || truth.cancelledAt || truth.cancelSentAt || lasts) {
            continue;
        }
        const bool canBeDone = parseBehaviour(truth.spec->payload).failingRuns < attemptLimit(*truth.spec);
        const auto phase = shown.find(id);
        const JobPhase wanted = canBeDone ? JobPhase::Completed : JobPhase::Failed;
        if (phase == shown.end() || phase->second != wanted) {
            m_violations.push_back("LOST: " + id.value() + " is shown as "
                                   + (phase == shown.end() ? "nothing" : std::string(jobPhaseName(phase->second))));
        }
    }
    for (const auto &[ref, truth] : m_tasks) {
        const auto job = m_jobs.find(ref.step.job);
        if (truth.starts > 0 && job != m_jobs.end() && !job->second.acceptedAt && !job->second.mayHaveBeenAccepted) {
            m_violations.push_back("REFUSED: " + describe(ref) + " started, and its job was refused");
        }
    }
}

std::uint32_t SiteJudge::attemptLimit(const JobSpec &spec) const
{
    const QueueEntry *const queue = m_configuration.queue(spec.queue);
    return queue == nullptr ? 1 : queue->attemptLimit;
}

void SiteJudge::violation(const std::string &rule, TimePoint at, const std::string &what)
{
    m_violations.push_back(rule + " at " + std::to_string(at.time_since_epoch().count()) + " ms: " + what);
}

bool SiteJudge::isAccepted(const JobId &job) const
{
    const auto found = m_jobs.find(job);
    return found != m_jobs.end() && found->second.acceptedAt;
}

const std::vector<std::string> &SiteJudge::violations() const
{
    return m_violations;
}

std::size_t SiteJudge::starts() const
{
    return m_starts;
}

std::size_t SiteJudge::membersLeftAlone() const
{
    return m_membersLeftAlone;
}

std::uint32_t SiteJudge::startsOf(const TaskRef &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? 0 : found->second.starts;
}

} // namespace currantring
