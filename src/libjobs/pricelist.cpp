#include "pricelist.h"

#include <algorithm>
#include <utility>

namespace currantring {

PriceList::PriceList(const RunPlacer &placer, const WorkerFleet &fleet, PlacementWish wish, TimePoint now)
    : m_placer(placer)
    , m_wish(std::move(wish))
    , m_now(now)
{
    for (const auto &[id, link] : fleet.links()) {
        if (const std::optional<double> price = placer.price(*link, m_wish, now)) {
            m_rows.push_back({ link.get(), *price });
        }
    }
}

bool PriceList::holdsFor(const PlacementWish &wish) const
{
    return wish.isPlain() && wish.rack == m_wish.rack && wish.isRackNeeded == m_wish.isRackNeeded;
}

WorkerLink *PriceList::best() const
{
    const auto cheapest = std::ranges::min_element(m_rows, {}, &Row::price);
    return cheapest == m_rows.end() ? nullptr : cheapest->link;
}

void PriceList::reprice(const WorkerLink &link)
{
    const auto row = std::ranges::find(m_rows, &link, &Row::link);
    if (row == m_rows.end()) {
        return;
    }
    if (const std::optional<double> price = m_placer.price(link, m_wish, m_now)) {
        row->price = *price;
    } else {
        m_rows.erase(row);
    }
}

} // namespace currantring
