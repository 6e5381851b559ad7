#include "runplacer.h"

#include <algorithm>
#include <tuple>

namespace currantring {

namespace {

/** High enough that a worker where the task failed before is chosen only if no other is eligible. */
constexpr double failedOnWorkerCost = 1000;
/** High enough that a worker closed to other tasks gets a lasting one only if no other worker has room. */
constexpr double quarantinedCost = 10'000;
constexpr double suspicionWeight = 1;
/** A task on its last attempt isn't placed on a worker with a higher suspicion. */
constexpr double maxLastAttemptSuspicion = 0.5;
/** The same where the task itself has failed; low enough that the worker is avoided for some seconds after that. */
constexpr double maxRepeatedSuspicion = 0.05;
/** Fraction of their processors that serving tasks use at mean load. */
constexpr double servingUtilization = 0.5;
constexpr double minUnusedMillicores = 1000;
/** Cost of a worker outside the rack of the data or of the step's other tasks. */
constexpr double otherRackCost = 5;
constexpr double mixedImagesCost = 2;
constexpr double firstOfImageCost = 0.5;
constexpr double interferenceWeight = 5;

double fractionOf(Millicores processors, const WorkerLink &link)
{
    const auto capacity = static_cast<double>(link.entry().capacity.processors.value());
    return static_cast<double>(processors.value()) / std::max(capacity, 1.0);
}

double freeFraction(const WorkerLink &link)
{
    return 1 - fractionOf(link.reservedResources().held().processors, link);
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

/** Ratio of the fillers' processor demand, including @p filler, to the processors available to them. */
double contentionWith(const StepSpec &filler, const WorkerLink &link)
{
    const auto servers = static_cast<double>(link.reservedResources().servingDemand().value());
    const double others = static_cast<double>(link.reservedResources().held().processors.value()) - servers;
    const double unused =
        static_cast<double>(link.entry().capacity.processors.value()) - others - servers * servingUtilization;
    const auto demand =
        static_cast<double>(link.reservedResources().fillerDemand().value() + filler.need.processors.value());
    return demand / std::max(unused, minUnusedMillicores);
}

} // namespace

RunPlacer::RunPlacer(WorkerFleet &fleet, InterferenceTable &interference, const WorkerHealth &health)
    : m_fleet(fleet)
    , m_interference(interference)
    , m_health(health)
{
}

WorkerLink *RunPlacer::choose(const PlacementRequest &request, TimePoint now) const
{
    WorkerLink *best = nullptr;
    double bestCost = 0;
    for (const auto &[id, link] : m_fleet.links()) {
        const std::optional<double> linkCost = totalCost(*link, request, now);
        if (linkCost && (best == nullptr || *linkCost < bestCost)) {
            best = link.get();
            bestCost = *linkCost;
        }
    }
    return best;
}

std::vector<const WorkerLink *> RunPlacer::candidates(const PlacementRequest &request, TimePoint now) const
{
    std::vector<std::tuple<double, WorkerId, const WorkerLink *>> ranked;
    for (const auto &[id, link] : m_fleet.links()) {
        if (const std::optional<double> linkCost = totalCost(*link, request, now)) {
            ranked.emplace_back(*linkCost, id, link.get());
        }
    }
    std::ranges::sort(ranked);
    std::vector<const WorkerLink *> workers;
    workers.reserve(ranked.size());
    for (const auto &[cost, id, link] : ranked) {
        workers.push_back(link);
    }
    return workers;
}

std::size_t RunPlacer::roomFor(const PlacementRequest &request, const WorkerLink &link, std::size_t maxCount)
{
    const StepSpec &step = request.step;
    if (step.isFiller) {
        // How many fillers a worker can take depends on their interference, not on its capacity.
        return 1;
    }
    const Resources free = link.entry().capacity - link.reservedResources().held();
    std::size_t room = std::max<std::size_t>(maxCount, 1);
    const auto limitBy = [&room](std::int64_t available, std::int64_t needed) {
        if (needed > 0) {
            room = std::min(room, static_cast<std::size_t>(std::max<std::int64_t>(available / needed, 1)));
        }
    };
    limitBy(free.processors.value(), step.need.processors.value());
    limitBy(free.memory.value(), step.need.memory.value());
    limitBy(free.accelerators.value(), step.need.accelerators.value());
    if (step.spreadLimit > 0) {
        const std::uint32_t present = tasksOfStep(link, request.ref);
        limitBy(step.spreadLimit - std::min(present, step.spreadLimit), 1);
    }
    return room;
}

std::vector<Label> RunPlacer::racks(const ServiceName &service) const
{
    std::map<Label, std::int64_t> free;
    for (const auto &[id, link] : m_fleet.links()) {
        if (link->entry().service == service && m_fleet.isSchedulable(*link)) {
            free[link->entry().rack] +=
                (link->entry().capacity.processors.value() - link->reservedResources().held().processors.value());
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

bool RunPlacer::isMostlyUnused(const ServiceName &service) const
{
    std::int64_t capacity = 0;
    std::int64_t held = 0;
    for (const auto &[id, link] : m_fleet.links()) {
        if (link->entry().service == service && m_fleet.isSchedulable(*link)) {
            capacity += link->entry().capacity.processors.value();
            held += link->reservedResources().held().processors.value();
        }
    }
    return held * 2 <= capacity;
}

std::optional<double> RunPlacer::totalCost(const WorkerLink &link, const PlacementRequest &request, TimePoint now) const
{
    if (!isEligible(link, request)) {
        return std::nullopt;
    }
    const std::optional<double> risk = riskCost(link, request, now);
    const std::optional<double> loadPart = risk ? loadCost(link, request) : std::nullopt;
    if (!loadPart) {
        return std::nullopt;
    }
    const bool isOtherRack = !request.rack.value().empty() && !link.entry().hasLabel(request.rack);
    return *risk + *loadPart + (isOtherRack ? otherRackCost : 0);
}

bool RunPlacer::hasOther(const PlacementRequest &request, const WorkerLink &present, double maxCost,
                         TimePoint now) const
{
    const WorkerLink *const other = choose(request, now);
    return other != nullptr && other != &present && !isClosedByHealth(*other, now)
        && loadCost(*other, request).value_or(maxCost) < maxCost;
}

bool RunPlacer::isClosedByHealth(const WorkerLink &link, TimePoint now) const
{
    const WorkerId &worker = link.entry().id;
    return m_health.isQuarantined(worker, now) || (m_health.isOnProbation(worker, now) && !link.runs().empty());
}

bool RunPlacer::isClosedToLasting(const WorkerLink &link, TimePoint now) const
{
    const WorkerId &worker = link.entry().id;
    return m_health.isQuarantinedForLasting(worker, now)
        || (m_health.isOnProbationForLasting(worker, now) && !link.runs().empty());
}

std::optional<double> RunPlacer::riskCost(const WorkerLink &link, const PlacementRequest &request, TimePoint now) const
{
    const WorkerId &worker = link.entry().id;
    const bool failedOnWorker = request.failedWorkers != nullptr && request.failedWorkers->contains(worker);
    if (!m_health.hasRecord(worker)) {
        return failedOnWorker ? failedOnWorkerCost : 0;
    }
    const bool isClosed = isClosedByHealth(link, now);
    if (isClosed && (!request.step.isLasting || isClosedToLasting(link, now))) {
        return std::nullopt;
    }
    const double suspicion = m_health.failureScore(worker, now);
    if (request.isLastAttempt && suspicion > (failedOnWorker ? maxRepeatedSuspicion : maxLastAttemptSuspicion)) {
        return std::nullopt;
    }
    return (failedOnWorker ? failedOnWorkerCost : 0) + (isClosed ? quarantinedCost : 0) + suspicion * suspicionWeight;
}

bool RunPlacer::isEligible(const WorkerLink &link, const PlacementRequest &request) const
{
    const WorkerEntry &entry = link.entry();
    const StepSpec &step = request.step;
    if (!m_fleet.isSchedulable(link) || entry.service != request.service) {
        return false;
    }
    if (!step.requiredLabel.value().empty() && !entry.hasLabel(step.requiredLabel)) {
        return false;
    }
    if (request.isRackNeeded && !entry.hasLabel(request.rack)) {
        return false;
    }
    if (std::ranges::find(request.excludedWorkers, entry.id) != request.excludedWorkers.end()
        || (request.isAdmitted && !request.isAdmitted(link))) {
        return false;
    }
    Resources need = step.need;
    if (step.isFiller) {
        need.processors = Millicores(0);
    }
    if (!(entry.capacity - link.reservedResources().held()).covers(need)) {
        return false;
    }
    return step.spreadLimit == 0 || tasksOfStep(link, request.ref) < step.spreadLimit;
}

std::optional<double> RunPlacer::loadCost(const WorkerLink &link, const PlacementRequest &request) const
{
    if (request.step.isFiller) {
        return fillerCost(link, request);
    }
    return request.step.isServing() ? servingCost(link, request) : batchCost(link);
}

std::optional<double> RunPlacer::fillerCost(const WorkerLink &link, const PlacementRequest &request) const
{
    const bool isFirst = link.reservedResources().fillerDemand().value() == 0;
    FillerCost cost(contentionWith(request.step, link), isFirst, request.throttling);
    const double fraction = fractionOf(request.step.need.processors, link);
    for (const WorkerInterference::Servers &servers : m_interference.of(link).servers) {
        const double coefficient = m_interference.coefficient(request.step.image, servers);
        cost.add({ servers.stressOverLimit, servers.peakOverLimit, coefficient, coefficient * fraction });
    }
    return cost.total();
}

/** Packs serving tasks of one image together, which leaves room for fillers that don't interfere with that image. */
double RunPlacer::servingCost(const WorkerLink &link, const PlacementRequest &request) const
{
    const WorkerInterference &worker = m_interference.of(link);
    const bool hasSame = std::ranges::find(worker.servers, request.step.image, &WorkerInterference::Servers::image)
        != worker.servers.end();
    const bool hasOther = worker.servers.size() > (hasSame ? 1U : 0U);
    const double imageCost = (hasOther ? mixedImagesCost : 0.0) + (hasSame ? 0.0 : firstOfImageCost);
    const double interferenceCost = m_interference.addedStress(worker, request.step.image) * interferenceWeight;
    return imageCost + interferenceCost + freeFraction(link);
}

double RunPlacer::batchCost(const WorkerLink &link)
{
    return freeFraction(link) + fractionOf(link.reservedResources().fillerDemand(), link)
        - (link.reservedResources().servingRuns() > 0 ? 1.0 : 0.0);
}

} // namespace currantring
