#include "runplacer.h"

#include <algorithm>

namespace currantring {

namespace {

std::uint32_t tasksOfStep(const WorkerLink &link, const StepRef &step)
{
    const auto first = link.runs().lower_bound(RunRef { { step, 0 }, RunNumber(0) });
    std::uint32_t count = 0;
    for (auto run = first; run != link.runs().end() && run->first.task.step == step; ++run) {
        ++count;
    }
    return count;
}

bool hostsServing(const WorkerLink &link)
{
    return std::ranges::any_of(link.runs(), [](const auto &entry) { return entry.second.isServing(); });
}

} // namespace

RunPlacer::RunPlacer(WorkerFleet &fleet)
    : m_fleet(fleet)
{
}

WorkerLink *RunPlacer::choose(const PlacementWish &wish) const
{
    WorkerLink *best = nullptr;
    double bestCost = 0;
    for (const auto &[id, link] : m_fleet.links()) {
        if (!mayTake(*link, wish)) {
            continue;
        }
        const double linkCost = cost(*link, wish);
        if (best == nullptr || linkCost < bestCost) {
            best = link.get();
            bestCost = linkCost;
        }
    }
    return best;
}

bool RunPlacer::mayTake(const WorkerLink &link, const PlacementWish &wish) const
{
    const WorkerEntry &entry = link.entry();
    const StepSpec &step = wish.step;
    if (!m_fleet.takesWork(link) || entry.service != wish.service) {
        return false;
    }
    if (!step.requiredLabel.value().empty() && !entry.hasLabel(step.requiredLabel)) {
        return false;
    }
    Resources need = step.need;
    if (step.isFiller) {
        need.processors = Millicores(0);
    }
    if (!(entry.capacity - link.held()).covers(need)) {
        return false;
    }
    return step.spreadLimit == 0 || tasksOfStep(link, wish.ref) < step.spreadLimit;
}

double RunPlacer::cost(const WorkerLink &link, const PlacementWish &wish)
{
    const auto capacity = static_cast<double>(link.entry().capacity.processors.value());
    const double free = capacity - static_cast<double>(link.held().processors.value());
    const auto fillers = static_cast<double>(link.fillerDemand().value());
    const double failedHere = wish.avoid != nullptr && wish.avoid->contains(link.entry().id) ? 1000 : 0;
    if (wish.step.isFiller) {
        const double crowding =
            (fillers + static_cast<double>(wish.step.need.processors.value())) / std::max(free, 1000.0);
        return failedHere + crowding + (hostsServing(link) ? 10 : 0);
    }
    return failedHere + free / capacity + fillers / capacity - (hostsServing(link) ? 1 : 0);
}

} // namespace currantring
