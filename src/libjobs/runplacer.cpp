#include "runplacer.h"

#include <algorithm>

namespace currantring {

namespace {

/** Makes a worker where the task failed before the last choice. */
constexpr double failedHereCost = 1000;
constexpr double suspicionCost = 1;
/** A task that may not fail again waits rather than go to a worker that is more suspect. */
constexpr double lastAttemptSuspicion = 0.5;
/** Distance from its target's stress that a filler must leave to a serving task. */
constexpr double placementMargin = 0.03;
/** Part of their processors that serving tasks use at their load's mean. */
constexpr double servingUse = 0.5;
/** In thousandths of a processor. */
constexpr double leastUnused = 1000;
/** Fillers that have all the processors that they want don't get faster. */
constexpr double leastCrowding = 0.5;
/** Fillers wait rather than share processors beyond this, which would make all of them late. */
constexpr double mostCrowding = 1.15;
/** Stress beyond a target at peak load that pacing can be trusted with. */
constexpr double mostExcess = 0.05;
/** What stress beyond a target at peak load weighs, and the coefficient of a pair. */
constexpr double excessWeight = 10;
constexpr double coefficientWeight = 1.5;
/** What it costs to be away from the data or the other tasks of the step. */
constexpr double farCost = 5;
constexpr double mixingCost = 2;
constexpr double emptyCost = 0.5;
constexpr double disturbedWeight = 5;

double freePart(const WorkerLink &link)
{
    const auto capacity = static_cast<double>(link.entry().capacity.processors.value());
    return 1 - static_cast<double>(link.room().held().processors.value()) / capacity;
}

std::uint32_t tasksOfStep(const WorkerLink &link, const StepRef &step)
{
    const auto first = link.runs().lower_bound(RunRef { { step, 0 }, RunNumber(0) });
    std::uint32_t count = 0;
    for (auto run = first; run != link.runs().end() && run->first.task.step == step; ++run) {
        ++count;
    }
    return count;
}

/** How many times over the fillers would use the processors that are left to them. */
double crowdingWith(const StepSpec &filler, const WorkerLink &link)
{
    const auto servers = static_cast<double>(link.room().servingDemand().value());
    const double others = static_cast<double>(link.room().held().processors.value()) - servers;
    const double unused = static_cast<double>(link.entry().capacity.processors.value()) - others - servers * servingUse;
    const auto demand = static_cast<double>(link.room().fillerDemand().value() + filler.need.processors.value());
    return demand / std::max(unused, leastUnused);
}

} // namespace

RunPlacer::RunPlacer(WorkerFleet &fleet, const NeighbourModel &neighbours, const WorkerHealth &health)
    : m_fleet(fleet)
    , m_neighbours(neighbours)
    , m_health(health)
{
}

WorkerLink *RunPlacer::choose(const PlacementWish &wish, TimePoint now) const
{
    WorkerLink *best = nullptr;
    double bestPrice = 0;
    for (const auto &[id, link] : m_fleet.links()) {
        const std::optional<double> linkPrice = price(*link, wish, now);
        if (linkPrice && (best == nullptr || *linkPrice < bestPrice)) {
            best = link.get();
            bestPrice = *linkPrice;
        }
    }
    return best;
}

std::vector<WorkerId> RunPlacer::candidates(const PlacementWish &wish, std::size_t most, TimePoint now) const
{
    std::vector<std::pair<double, WorkerId>> priced;
    for (const auto &[id, link] : m_fleet.links()) {
        if (const std::optional<double> linkPrice = price(*link, wish, now)) {
            priced.emplace_back(*linkPrice, id);
        }
    }
    std::ranges::sort(priced);
    std::vector<WorkerId> workers;
    for (std::size_t index = 0; index < std::min(most, priced.size()); ++index) {
        workers.push_back(priced[index].second);
    }
    return workers;
}

std::vector<Label> RunPlacer::racks(const ServiceName &service) const
{
    std::map<Label, std::int64_t> free;
    for (const auto &[id, link] : m_fleet.links()) {
        if (link->entry().service == service && m_fleet.takesWork(*link)) {
            free[link->entry().rack] +=
                (link->entry().capacity.processors.value() - link->room().held().processors.value());
        }
    }
    std::vector<std::pair<std::int64_t, Label>> sorted;
    sorted.reserve(free.size());
    for (const auto &[rack, processors] : free) {
        sorted.emplace_back(-processors, rack);
    }
    std::ranges::sort(sorted);
    std::vector<Label> racks;
    racks.reserve(sorted.size());
    for (const auto &[processors, rack] : sorted) {
        racks.push_back(rack);
    }
    return racks;
}

std::optional<double> RunPlacer::price(const WorkerLink &link, const PlacementWish &wish, TimePoint now) const
{
    if (!mayTake(link, wish)) {
        return std::nullopt;
    }
    const std::optional<double> risk = riskCost(link, wish, now);
    const std::optional<double> load = risk ? cost(link, wish) : std::nullopt;
    if (!load) {
        return std::nullopt;
    }
    const bool isFar = !wish.rack.value().empty() && !link.entry().hasLabel(wish.rack);
    return *risk + *load + (isFar ? farCost : 0);
}

bool RunPlacer::hasOther(const PlacementWish &wish, const WorkerLink &present, double mostCost, TimePoint now) const
{
    const WorkerLink *const other = choose(wish, now);
    return other != nullptr && other != &present && cost(*other, wish).value_or(mostCost) < mostCost;
}

std::optional<double> RunPlacer::riskCost(const WorkerLink &link, const PlacementWish &wish, TimePoint now) const
{
    const WorkerId &worker = link.entry().id;
    const bool failedHere = wish.avoid != nullptr && wish.avoid->contains(worker);
    if (m_health.isQuarantined(worker, now) || (m_health.isOnProbation(worker, now) && !link.runs().empty())) {
        return std::nullopt;
    }
    const double suspicion = m_health.suspicion(worker, now);
    if (wish.isLastAttempt && suspicion > lastAttemptSuspicion) {
        return std::nullopt;
    }
    return (failedHere ? failedHereCost : 0) + suspicion * suspicionCost;
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
    if (wish.isRackNeeded && !entry.hasLabel(wish.rack)) {
        return false;
    }
    if (std::ranges::find(wish.taken, entry.id) != wish.taken.end()
        || (wish.isAdmitted && !wish.isAdmitted(entry.id))) {
        return false;
    }
    Resources need = step.need;
    if (step.isFiller) {
        need.processors = Millicores(0);
    }
    if (!(entry.capacity - link.room().held()).covers(need)) {
        return false;
    }
    return step.spreadLimit == 0 || tasksOfStep(link, wish.ref) < step.spreadLimit;
}

std::optional<double> RunPlacer::cost(const WorkerLink &link, const PlacementWish &wish) const
{
    if (wish.step.isFiller) {
        return fillerCost(link, wish);
    }
    return wish.step.isServing() ? serverCost(link, wish) : plainCost(link);
}

/** How much slower fillers get, and how far serving tasks would come to their targets. */
std::optional<double> RunPlacer::fillerCost(const WorkerLink &link, const PlacementWish &wish) const
{
    const double crowding = crowdingWith(wish.step, link);
    if (crowding > mostCrowding && link.room().fillerDemand().value() > 0) {
        return std::nullopt;
    }
    double disturbance = 0;
    for (const auto &[ref, run] : link.runs()) {
        if (!run.isServing()) {
            continue;
        }
        const StepSpec &server = *run.step;
        const double limit = m_neighbours.limit(server);
        const double added = m_neighbours.fillerStress(wish.step, link, server.image);
        if (m_neighbours.stress(run).value_or(0) + added > limit - placementMargin) {
            return std::nullopt;
        }
        const double atPeak =
            m_neighbours.expectedLoad(ref.task.step, server) + m_neighbours.addedStress(link, server.image) + added;
        const double excess = std::max(atPeak - limit, 0.0);
        if (excess > mostExcess) {
            return std::nullopt;
        }
        disturbance = std::max(disturbance,
                               excess * excessWeight
                                   + m_neighbours.coefficient(wish.step.image, server.image) * coefficientWeight);
    }
    return std::max(crowding, leastCrowding) + disturbance;
}

/** Serving tasks of one image gather, so that the fillers that don't disturb them find room beside them. */
double RunPlacer::serverCost(const WorkerLink &link, const PlacementWish &wish) const
{
    double same = 0;
    double other = 0;
    for (const auto &[ref, run] : link.runs()) {
        if (run.isServing()) {
            (run.step->image == wish.step.image ? same : other) += 1;
        }
    }
    const double mixing = (other > 0 ? mixingCost : 0.0) + (same > 0 ? 0.0 : emptyCost);
    const double disturbed = m_neighbours.addedStress(link, wish.step.image) * disturbedWeight;
    return mixing + disturbed + freePart(link);
}

double RunPlacer::plainCost(const WorkerLink &link)
{
    const auto capacity = static_cast<double>(link.entry().capacity.processors.value());
    return freePart(link) + static_cast<double>(link.room().fillerDemand().value()) / capacity
        - (link.room().servingRuns() > 0 ? 1.0 : 0.0);
}

} // namespace currantring
