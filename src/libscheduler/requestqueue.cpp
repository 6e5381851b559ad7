#include "requestqueue.h"

#include "requestoutcome.h"

#include <algorithm>

namespace currantring {

void FairRequestQueue::push(const QueuedRequest &request, std::uint32_t weight)
{
    Lane &lane = m_lanes[request.owner];
    if (lane.waiting.empty()) {
        lane.start = std::max(lane.start, m_virtualTime);
    }
    lane.weight = std::max(weight, 1U);
    lane.waiting.insert(Key { request.deadline, request.number });
    m_requests.emplace(request.number, request);
}

std::optional<QueuedRequest> FairRequestQueue::pop()
{
    auto next = m_lanes.end();
    for (auto lane = m_lanes.begin(); lane != m_lanes.end(); ++lane) {
        if (!lane->second.waiting.empty() && (next == m_lanes.end() || lane->second.start < next->second.start)) {
            next = lane;
        }
    }
    if (next == m_lanes.end()) {
        return std::nullopt;
    }
    Lane &lane = next->second;
    const std::uint64_t number = lane.waiting.begin()->number;
    lane.waiting.erase(lane.waiting.begin());
    m_virtualTime = std::max(m_virtualTime, lane.start);
    lane.start += 1.0 / lane.weight;
    return std::move(m_requests.extract(number).mapped());
}

bool FairRequestQueue::remove(std::uint64_t number)
{
    const auto request = m_requests.find(number);
    if (request == m_requests.end()) {
        return false;
    }
    m_lanes[request->second.owner].waiting.erase(Key { request->second.deadline, number });
    m_requests.erase(request);
    return true;
}

std::size_t FairRequestQueue::size() const
{
    return m_requests.size();
}

std::size_t FairRequestQueue::sizeOf(const OwnerId &owner) const
{
    const auto lane = m_lanes.find(owner);
    return lane == m_lanes.end() ? 0 : lane->second.waiting.size();
}

double FairRequestQueue::position(const OwnerId &owner, std::uint32_t weight, TimePoint deadline) const
{
    const double ownWeight = std::max(weight, 1U);
    double ahead = 0;
    if (const auto own = m_lanes.find(owner); own != m_lanes.end()) {
        const auto behind = own->second.waiting.upper_bound(Key { deadline, ~std::uint64_t { 0 } });
        ahead = static_cast<double>(std::distance(own->second.waiting.begin(), behind));
    }
    double others = 0;
    for (const auto &[id, lane] : m_lanes) {
        if (id != owner) {
            // Of each other owner go first what it has, and at most its share while this owner's are served.
            const double share = (ahead + 1) * lane.weight / ownWeight;
            others += std::min(static_cast<double>(lane.waiting.size()), share);
        }
    }
    return ahead + others;
}

void FifoRequestQueue::push(const QueuedRequest &request, std::uint32_t)
{
    m_requests.push_back(request);
}

std::optional<QueuedRequest> FifoRequestQueue::pop()
{
    if (m_requests.empty()) {
        return std::nullopt;
    }
    QueuedRequest request = std::move(m_requests.front());
    m_requests.pop_front();
    return request;
}

bool FifoRequestQueue::remove(std::uint64_t number)
{
    return std::erase_if(m_requests, [number](const QueuedRequest &request) { return request.number == number; }) > 0;
}

std::size_t FifoRequestQueue::size() const
{
    return m_requests.size();
}

std::size_t FifoRequestQueue::sizeOf(const OwnerId &owner) const
{
    const auto isOwners = [&owner](const QueuedRequest &request) {
        return request.owner == owner;
    };
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), isOwners));
}

double FifoRequestQueue::position(const OwnerId &, std::uint32_t, TimePoint) const
{
    return static_cast<double>(m_requests.size());
}

std::optional<std::string_view> refusalReason(const QueueConditions &conditions, TimePoint deadline,
                                              std::size_t ownerWaiting, double position)
{
    if (deadline <= conditions.now) {
        return requestreason::deadlineTooShort;
    }
    if (ownerWaiting >= conditions.ownerLimit) {
        return requestreason::queueFull;
    }
    const auto remaining = static_cast<double>((deadline - conditions.now).count());
    const double parallel = std::max(conditions.slots, 1U);
    const double expectedEnd = conditions.meanServiceMs * (1 + position / parallel);
    if (expectedEnd > remaining) {
        return requestreason::deadlineTooShort;
    }
    return std::nullopt;
}

} // namespace currantring
