#include "roommemo.h"

#include <algorithm>

namespace currantring {

void RoomMemo::clear()
{
    m_kinds.clear();
}

void RoomMemo::noteNone(const PlacementWish &wish)
{
    const bool isFree =
        wish.isPlain() && !wish.isRackNeeded && wish.step.requiredLabel.value().empty() && wish.step.spreadLimit == 0;
    if (isFree && !isHopeless(wish)) {
        m_kinds.push_back({ wish.service, wish.step.isFiller, wish.step.image, wish.step.need });
    }
}

bool RoomMemo::isHopeless(const PlacementWish &wish) const
{
    const StepSpec &step = wish.step;
    return std::ranges::any_of(m_kinds, [&wish, &step](const Kind &kind) {
        // The image decides for fillers only: other tasks are never kept off serving ones.
        return kind.isFiller == step.isFiller && (!kind.isFiller || kind.image == step.image)
            && step.need.covers(kind.need) && kind.service == wish.service;
    });
}

} // namespace currantring
