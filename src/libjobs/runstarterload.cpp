// The part of RunStarter that tells LoadAdmission what a pass left waiting.

#include "runstarter.h"

namespace currantring {

namespace {

/** A step that has waited for longer is taken to lack something other than capacity that running tasks hold. */
constexpr Milliseconds maxCapacityWait { 30'000 };

} // namespace

/** Passes on what this pass left waiting, which the admission of further jobs under load depends on. */
void RunStarter::reportLeftWork()
{
    if (m_parts.loadAdmission.needsLeftWork(m_ready.steps().size(), m_parts.context.now())) {
        m_parts.loadAdmission.takeLeftWork(leftWork());
    }
}

LeftWork RunStarter::leftWork() const
{
    LeftWork left { m_parts.context.now(), {}, {} };
    const StepRef *previous = nullptr;
    for (const auto &[step, ready] : m_ready.steps()) {
        const Job *const job = m_parts.log.table().find(step.job);
        const QueueEntry *const queue = m_parts.queues.find(ready.queue);
        if (job == nullptr || queue == nullptr || mayLackOtherThanProcessors(ready, *queue)) {
            continue;
        }
        const bool isFirstOfJob =
            previous == nullptr || previous->job != step.job || previous->occurrence != step.occurrence;
        previous = &step;
        const WaitingStep waiting { true,
                                    { queue->service, ready.step->isFiller },
                                    urgencyOfStep(step, ready, *job, *queue),
                                    ready.queue,
                                    ready.tasks.size(),
                                    ready.step->need,
                                    ready.step->estimate };
        left.steps.push_back(waiting);
        if (isFirstOfJob) {
            addLaterSteps(*job, step.occurrence, waiting, left);
        }
    }
    if (!left.steps.empty()) {
        left.capacity = capacityOfServices();
    }
    return left;
}

/** Adds the steps of the job that aren't open yet; @p like: one of its steps that is. */
void RunStarter::addLaterSteps(const Job &job, std::uint32_t occurrence, WaitingStep like, LeftWork &left)
{
    like.isOpen = false;
    for (std::uint32_t index = 0; index < job.spec->steps.size(); ++index) {
        const StepSpec &step = job.spec->steps[index];
        if (!job.isStepOpen(occurrence, index) && !step.isLasting) {
            like.capacity.isBestEffort = step.isFiller;
            like.tasks = step.count;
            like.need = step.need;
            like.estimate = step.estimate;
            left.steps.push_back(like);
        }
    }
}

/** Whether the step may wait for something other than processors; load admission doesn't count such steps. */
bool RunStarter::mayLackOtherThanProcessors(const ReadyStep &ready, const QueueEntry &queue) const
{
    const StepSpec &step = *ready.step;
    const Milliseconds waited = m_parts.context.now() - ready.since;
    const bool prefersRack = !step.dataRack.value().empty() || step.wantsOneRack;
    return step.isLasting || step.isGang || queue.admission || !step.requiredLabel.value().empty()
        || step.need.accelerators.value() > 0 || step.spreadLimit > 0 || (prefersRack && waited < maxRackWait)
        || waited > maxCapacityWait;
}

std::map<ServiceName, ServiceCapacity> RunStarter::capacityOfServices() const
{
    std::map<ServiceName, ServiceCapacity> services;
    for (const auto &[id, link] : m_parts.fleet.links()) {
        if (m_parts.fleet.isSchedulable(*link)) {
            ServiceCapacity &service = services[link->entry().service];
            const ReservedResources &reserved = link->reservedResources();
            service.total = Millicores(service.total.value() + link->entry().capacity.processors.value());
            service.counted = Millicores(service.counted.value() + reserved.held().processors.value());
            service.bestEffort = Millicores(service.bestEffort.value() + reserved.fillerDemand().value());
        }
    }
    return services;
}

} // namespace currantring
