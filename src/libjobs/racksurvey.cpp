#include "racksurvey.h"

#include <algorithm>

namespace currantring {

namespace {

/** A run that has lasted for this multiple of its estimate is ignored: the estimate doesn't predict its end. */
constexpr std::int64_t overdueFactor = 2;

/** What a task of @p step takes of a worker's capacity, where the processors of fillers don't count. */
Resources countedNeed(const StepSpec &step)
{
    Resources need = step.need;
    if (step.isFiller) {
        need.processors = Millicores(0);
    }
    return need;
}

std::size_t placesIn(const Resources &available, const StepSpec &step, std::size_t maxCount)
{
    const Resources need = countedNeed(step);
    if (!available.covers(need)) {
        return 0;
    }
    std::size_t places = step.spreadLimit > 0 ? std::min<std::size_t>(maxCount, step.spreadLimit) : maxCount;
    const auto limitBy = [&places](std::int64_t amount, std::int64_t needed) {
        if (needed > 0) {
            places = std::min(places, static_cast<std::size_t>(amount / needed));
        }
    };
    limitBy(available.processors.value(), need.processors.value());
    limitBy(available.memory.value(), need.memory.value());
    limitBy(available.accelerators.value(), need.accelerators.value());
    return places;
}

bool isOpenTo(const WorkerEntry &entry, const StepSpec &step, const ServiceName &service)
{
    return entry.service == service && (step.requiredLabel.value().empty() || entry.hasLabel(step.requiredLabel));
}

template<typename Amount>
void raise(Amount &most, Amount amount)
{
    most = std::max(most, amount);
}

} // namespace

RackSurvey::RackSurvey(const WorkerFleet &fleet, TimePoint now)
    : m_fleet(fleet)
    , m_now(now)
{
}

std::size_t RackSurvey::capacityFor(const StepSpec &step, const ServiceName &service, const Label &rack,
                                    std::size_t maxCount)
{
    std::size_t tasks = 0;
    for (const WorkerLink *const worker : read(rack).workers) {
        if (isOpenTo(worker->entry(), step, service)) {
            tasks += placesIn(worker->entry().capacity - worker->reservedResources().heldByLasting(), step, maxCount);
        }
        if (tasks >= maxCount) {
            return maxCount;
        }
    }
    return tasks;
}

std::size_t RackSurvey::freePlaces(const StepSpec &step, const ServiceName &service, const Label &rack)
{
    std::size_t places = 0;
    if (!step.isFiller) {
        for (const WorkerLink *const worker : read(rack).workers) {
            const Resources free = worker->entry().capacity - worker->reservedResources().held();
            places += isOpenTo(worker->entry(), step, service) ? placesIn(free, step, step.count) : 0;
        }
    }
    return places;
}

bool RackSurvey::isFull(const StepSpec &step, const Label &rack)
{
    const Rack &known = read(rack);
    return known.workers.empty() || !known.mostFree.covers(countedNeed(step));
}

ExpectedEnds RackSurvey::expectedEnds(const Label &rack)
{
    ExpectedEnds expected;
    for (const WorkerLink *const worker : read(rack).workers) {
        for (const auto &[ref, run] : worker->runs()) {
            if (!run.step || run.step->isLasting) {
                continue;
            }
            const Milliseconds estimate = run.step->estimate;
            if (estimate.count() > 0 && m_now - run.placedAt < overdueFactor * estimate) {
                CapacitySum &sum = run.step->isFiller ? expected.ofFillers : expected.ofOthers;
                sum.add(run.step->need, 1 / static_cast<double>(estimate.count()));
            }
        }
    }
    return expected;
}

Resources RackSurvey::scarceNeed(const StepSpec &step, const Label &rack)
{
    const Resources &free = read(rack).mostFree;
    Resources scarce = step.need;
    if (!step.isFiller && free.processors.value() >= scarce.processors.value()) {
        scarce.processors = Millicores(0);
    }
    if (free.memory.value() >= scarce.memory.value()) {
        scarce.memory = Mebibytes(0);
    }
    if (free.accelerators.value() >= scarce.accelerators.value()) {
        scarce.accelerators = AcceleratorCount(0);
    }
    // No worker has enough of all, though some have enough of each.
    return scarce == Resources() ? step.need : scarce;
}

const RackSurvey::Rack &RackSurvey::read(const Label &rack)
{
    const auto [found, isNew] = m_racks.try_emplace(rack);
    if (isNew && !rack.value().empty()) {
        for (const auto &[id, link] : m_fleet.links()) {
            if (link->entry().rack == rack && m_fleet.isSchedulable(*link)) {
                const Resources free = link->entry().capacity - link->reservedResources().held();
                raise(found->second.mostFree.processors, free.processors);
                raise(found->second.mostFree.memory, free.memory);
                raise(found->second.mostFree.accelerators, free.accelerators);
                found->second.workers.push_back(link.get());
            }
        }
    }
    return found->second;
}

} // namespace currantring
