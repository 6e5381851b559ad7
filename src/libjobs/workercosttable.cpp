#include "workercosttable.h"

#include <algorithm>
#include <utility>

namespace currantring {

WorkerCostTable::WorkerCostTable(const RunPlacer &placer, const WorkerFleet &fleet, PlacementRequest request,
                                 TimePoint now)
    : m_placer(placer)
    , m_request(std::move(request))
    , m_now(now)
{
    for (const auto &[id, link] : fleet.links()) {
        if (const std::optional<double> totalCost = placer.totalCost(*link, m_request, now)) {
            m_rows.push_back({ link.get(), *totalCost });
        }
    }
}

bool WorkerCostTable::isValidFor(const PlacementRequest &request) const
{
    return request.hasOnlyStepConstraints() && request.rack == m_request.rack
        && request.isRackNeeded == m_request.isRackNeeded;
}

WorkerLink *WorkerCostTable::best() const
{
    const auto cheapest = std::ranges::min_element(m_rows, {}, &Row::totalCost);
    return cheapest == m_rows.end() ? nullptr : cheapest->link;
}

void WorkerCostTable::update(const WorkerLink &link)
{
    const auto row = std::ranges::find(m_rows, &link, &Row::link);
    if (row == m_rows.end()) {
        return;
    }
    if (const std::optional<double> totalCost = m_placer.totalCost(link, m_request, m_now)) {
        row->totalCost = *totalCost;
    } else {
        m_rows.erase(row);
    }
}

} // namespace currantring
