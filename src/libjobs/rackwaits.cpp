#include "rackwaits.h"

#include "jobevents.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace currantring {

namespace {

/** Minimum interval between reads of the runs on a rack; reading them in each pass takes half of the pass's time. */
constexpr Milliseconds expectedEndsInterval { 100 };

/** Rounds the value of a log field; -1 stands for an infinite or unknown value. */
std::string roundedValue(double value)
{
    return std::to_string(std::isfinite(value) ? std::llround(value) : -1);
}

std::string describeStep(const StepRef &step)
{
    return step.job.value() + "/" + std::to_string(step.occurrence) + "/" + std::to_string(step.step);
}

} // namespace

Milliseconds slackToObjective(const Job &job, std::uint32_t occurrence, const QueueEntry &queue, WallTime now)
{
    return Milliseconds(latestStartFor(job, occurrence, queue).value() - now.value());
}

RackWaits::RackWaits(double farFactor, const WorkerFleet &fleet, JobContext &context)
    : m_policy(farFactor)
    , m_fleet(fleet)
    , m_context(context)
{
}

void RackWaits::beginPass()
{
    m_survey.reset();
    m_ahead.clear();
    m_hasWaiting = false;
    m_lastShortage = std::exchange(m_shortage, {});
}

void RackWaits::beginOrder()
{
    m_survey.reset();
    m_ahead.clear();
}

void RackWaits::noteEnd(const WorkerLink &link, const LiveRun &run)
{
    // Capacity that comes free on a worker that takes no new work can't be used.
    if (run.step && m_fleet.isSchedulable(link)) {
        m_turnover.noteEnd(link.entry().rack, *run.step, m_context.now());
    }
}

void RackWaits::noteShortage(const StepSpec &step)
{
    bool &isShort = step.isFiller ? m_shortage.isOfFillers : m_shortage.isOfOthers;
    // A task that is too large for every worker doesn't compete with others for capacity.
    isShort = isShort || std::ranges::any_of(m_fleet.links(), [this, &step](const auto &entry) {
                  return step.isFiller
                      || (entry.second->entry().capacity.covers(step.need) && m_fleet.isSchedulable(*entry.second));
              });
}

bool RackWaits::isShort(const StepSpec &step) const
{
    return step.isFiller ? m_shortage.isOfFillers || m_lastShortage.isOfFillers
                         : m_shortage.isOfOthers || m_lastShortage.isOfOthers;
}

RackSurvey &RackWaits::survey()
{
    if (!m_survey) {
        m_survey.emplace(m_fleet, m_context.now());
    }
    return *m_survey;
}

const ExpectedEnds &RackWaits::expectedEnds(const Label &rack)
{
    const TimePoint now = m_context.now();
    const auto [found, isNew] = m_expected.try_emplace(rack);
    if (isNew || now - found->second.first >= expectedEndsInterval) {
        found->second = { now, survey().expectedEnds(rack) };
    }
    return found->second.second;
}

bool RackWaits::isFull(const StepSpec &step, const Label &rack)
{
    return survey().isFull(step, rack);
}

/** Applies the policy to one rack; at most @p maxFree of its free places are counted. */
RackWaits::Outlook RackWaits::outlookOn(const RackCandidate &candidate, const Label &rack, std::size_t maxFree)
{
    const StepSpec &step = candidate.step;
    const std::size_t needed = step.isGang ? candidate.tasks : 1;
    Outlook outlook { rack, {}, {} };
    RackWaitInputs &inputs = outlook.inputs;
    inputs.estimate = step.estimate;
    inputs.waited = candidate.waited;
    inputs.slack = candidate.slack;
    inputs.tasks = candidate.tasks;
    inputs.isGang = step.isGang;
    inputs.canEverFit = survey().capacityFor(step, candidate.service, rack, needed) >= needed;
    inputs.isCapacityShort = isShort(step);
    if (inputs.canEverFit) {
        const Resources need = survey().scarceNeed(step, rack);
        const ExpectedEnds &ends = expectedEnds(rack);
        const CapacitySum &expected = step.isFiller ? ends.ofFillers : ends.ofOthers;
        const auto ahead = m_ahead.find({ rack, step.isFiller });
        inputs.placesPerMs = m_turnover.rate(rack, step.isFiller, m_context.now(), expected).placesFor(need);
        inputs.placesAhead = ahead == m_ahead.end() ? 0 : ahead->second.placesFor(need);
        if (maxFree > 0) {
            const std::size_t free = survey().freePlaces(step, candidate.service, rack);
            inputs.freePlaces = static_cast<double>(std::min(free, maxFree));
        }
    }
    outlook.decision = m_policy.decide(inputs);
    return outlook;
}

/** The rack where the most tasks wait, and of these the one with the shortest wait. */
RackWaits::Outlook RackWaits::bestOutlook(const RackCandidate &candidate)
{
    // The step has just found no room: free places are closed to it, and those for a gang are too few.
    const std::size_t maxFree = candidate.step.isGang ? candidate.tasks - 1 : 0;
    Outlook best;
    for (const Label &rack : candidate.racks) {
        Outlook outlook = outlookOn(candidate, rack, maxFree);
        const bool isBetter = outlook.decision.waiting > best.decision.waiting
            || (outlook.decision.waiting == best.decision.waiting
                && outlook.decision.expectedWait < best.decision.expectedWait);
        if (best.rack.value().empty() || isBetter) {
            best = std::move(outlook);
        }
    }
    return best;
}

std::size_t RackWaits::decide(const RackCandidate &candidate)
{
    if (candidate.racks.empty() || candidate.tasks == 0) {
        return 0;
    }
    const Outlook outlook = bestOutlook(candidate);
    const std::size_t waiting = outlook.decision.waiting;
    const auto [before, isFirst] = m_waiting.try_emplace(candidate.ref, waiting);
    if (isFirst) {
        report(candidate, outlook);
    }
    for (std::size_t task = waiting; task < before->second; ++task) {
        m_context.count("rack_waits_in_vain");
    }
    before->second = waiting;
    m_hasWaiting = m_hasWaiting || waiting > 0;
    return waiting;
}

bool RackWaits::wantsOnlyRack(const RackCandidate &candidate)
{
    return std::ranges::any_of(candidate.racks, [this, &candidate](const Label &rack) {
        return outlookOn(candidate, rack, candidate.tasks).decision.waiting >= candidate.tasks;
    });
}

void RackWaits::report(const RackCandidate &candidate, const Outlook &outlook)
{
    const RackWaitInputs &inputs = outlook.inputs;
    constexpr double msPerSecond = 1000;
    m_context.log(LogLevel::Info, events::rackWaitDecided,
                  { { "step", describeStep(candidate.ref) },
                    { "rack", outlook.rack.value() },
                    { "tasks", std::to_string(candidate.tasks) },
                    { "waiting", std::to_string(outlook.decision.waiting) },
                    { "reason", std::string(rackWaitReasonName(outlook.decision.reason)) },
                    { "expected_ms", roundedValue(outlook.decision.expectedWait) },
                    { "elsewhere_ms", roundedValue(outlook.decision.costElsewhere) },
                    { "slack_ms", inputs.slack ? std::to_string(inputs.slack->count()) : "none" },
                    { "ahead", roundedValue(inputs.placesAhead) },
                    { "freed_per_s", roundedValue(inputs.placesPerMs * msPerSecond) },
                    { "short", inputs.isCapacityShort ? "yes" : "no" } });
}

void RackWaits::addWaiting(const Label &rack, const StepSpec &step, std::size_t tasks)
{
    if (!rack.value().empty() && tasks > 0) {
        m_ahead[{ rack, step.isFiller }].add(step.need, static_cast<double>(tasks));
    }
}

void RackWaits::notePlaced(const StepRef &step, const Label &rack, const WorkerLink &link)
{
    if (rack.value().empty()) {
        return;
    }
    if (!link.entry().hasLabel(rack)) {
        m_context.count("tasks_off_rack");
        return;
    }
    const auto waiting = m_waiting.find(step);
    if (waiting != m_waiting.end() && waiting->second > 0) {
        --waiting->second;
        m_context.count("rack_waits_paid");
    }
}

void RackWaits::forgetStep(const StepRef &step)
{
    m_waiting.erase(step);
}

void RackWaits::forgetJob(const JobId &job)
{
    const auto first = m_waiting.lower_bound(StepRef { job, 0, 0 });
    auto last = first;
    while (last != m_waiting.end() && last->first.job == job) {
        ++last;
    }
    m_waiting.erase(first, last);
}

std::size_t RackWaits::trackedSteps() const
{
    return m_waiting.size();
}

bool RackWaits::hasWaiting() const
{
    return m_hasWaiting;
}

} // namespace currantring
