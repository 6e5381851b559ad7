#include "noroomcache.h"

#include <algorithm>

namespace currantring {

void NoRoomCache::clear()
{
    m_kinds.clear();
}

void NoRoomCache::recordNoRoom(const PlacementRequest &request)
{
    const bool isUnconstrained =
        request.hasOnlyStepConstraints() && request.step.requiredLabel.value().empty() && request.step.spreadLimit == 0;
    if (isUnconstrained && !isKnownNotToFit(request)) {
        m_kinds.push_back({ request.service, request.isRackNeeded ? request.rack : Label(), request.step.isFiller,
                            request.step.isLasting, request.step.image, request.step.need, request.throttling });
    }
}

bool NoRoomCache::isKnownNotToFit(const PlacementRequest &request) const
{
    const StepSpec &step = request.step;
    return std::ranges::any_of(m_kinds, [&request, &step](const Kind &kind) {
        // More workers are open to lasting tasks than to others, and to fillers that may be throttled.
        const bool coversWorkers = (kind.isLasting || !step.isLasting)
            && (kind.throttling == FillerThrottling::Accepted || request.throttling == FillerThrottling::Avoided)
            && (kind.rack.value().empty() || (request.isRackNeeded && request.rack == kind.rack));
        // Only fillers are excluded from a worker by interference with serving tasks, which depends on the image.
        return coversWorkers && kind.isFiller == step.isFiller && (!kind.isFiller || kind.image == step.image)
            && step.need.covers(kind.need) && kind.service == request.service;
    });
}

} // namespace currantring
