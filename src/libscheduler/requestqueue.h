#pragma once

#include "ids.h"
#include "units.h"

#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace currantring {

/** One request that waits for a slot. */
struct QueuedRequest
{
    /** Number by which the router knows the request; unique in one queue. */
    std::uint64_t number = 0;
    OwnerId owner;
    TimePoint deadline;
};

/** Order in which waiting requests of one service get slots. */
template<typename T>
concept RequestQueuePolicy = requires(T queue, const T &constQueue, QueuedRequest request, std::uint32_t weight,
                                      std::uint64_t number, const OwnerId &owner, TimePoint deadline)
{
    {
        queue.push(request, weight)
        } -> std::same_as<void>;
    {
        queue.pop()
        } -> std::same_as<std::optional<QueuedRequest>>;
    {
        queue.remove(number)
        } -> std::same_as<bool>;
    {
        constQueue.size()
        } -> std::convertible_to<std::size_t>;
    {
        constQueue.sizeOf(owner)
        } -> std::convertible_to<std::size_t>;
    {
        constQueue.position(owner, weight, deadline)
        } -> std::convertible_to<double>;
};

/**
 * Earliest deadline first within an owner, start-time fair queueing by weight between owners.
 *
 * Every request costs its owner 1 / weight of virtual time. An owner that was idle starts at the present virtual
 * time, so idleness saves up no claim. Thread safety: one thread at a time.
 */
class FairRequestQueue
{
public:
    /** Precondition: @p request's number isn't queued. A @p weight of 0 counts as 1. */
    void push(const QueuedRequest &request, std::uint32_t weight);
    /** Takes the next request; nullopt when none waits. */
    std::optional<QueuedRequest> pop();
    /** Takes out one request; false when it doesn't wait. */
    bool remove(std::uint64_t number);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t sizeOf(const OwnerId &owner) const;
    /** Estimate of the requests served before one with @p deadline that @p owner would push now. */
    [[nodiscard]] double position(const OwnerId &owner, std::uint32_t weight, TimePoint deadline) const;

private:
    struct Key
    {
        TimePoint deadline;
        std::uint64_t number = 0;
        auto operator<=>(const Key &) const = default;
    };
    struct Lane
    {
        std::set<Key> waiting;
        std::uint32_t weight = 1;
        /** Virtual time at which the owner's next request starts. */
        double start = 0;
    };

    std::map<OwnerId, Lane> m_lanes;
    std::map<std::uint64_t, QueuedRequest> m_requests;
    double m_virtualTime = 0;
};

/** The baseline: one queue in order of arrival, whoever the owner. Thread safety: one thread at a time. */
class FifoRequestQueue
{
public:
    void push(const QueuedRequest &request, std::uint32_t weight);
    std::optional<QueuedRequest> pop();
    bool remove(std::uint64_t number);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t sizeOf(const OwnerId &owner) const;
    [[nodiscard]] double position(const OwnerId &owner, std::uint32_t weight, TimePoint deadline) const;

private:
    std::deque<QueuedRequest> m_requests;
};

static_assert(RequestQueuePolicy<FairRequestQueue>);
static_assert(RequestQueuePolicy<FifoRequestQueue>);

/** What admission knows about the service at the moment. */
struct QueueConditions
{
    TimePoint now;
    /** Most requests of one owner that may wait. */
    std::size_t ownerLimit = 0;
    /** Slots that serve the queue, free or taken. */
    std::uint32_t slots = 0;
    /** Mean service time as learned; 0 when nothing is learned yet. */
    double meanServiceMs = 0;
};

/** Why a request with @p position requests ahead would be refused; nullopt when it may wait. Reentrant. */
std::optional<std::string_view> refusalReason(const QueueConditions &conditions, TimePoint deadline,
                                              std::size_t ownerWaiting, double position);

/** Queues @p request, or says why it can't be served in time. The request wasn't queued when a reason is given. */
template<RequestQueuePolicy Queue>
std::optional<std::string_view> admit(Queue &queue, const QueuedRequest &request, std::uint32_t weight,
                                      const QueueConditions &conditions)
{
    const double ahead = queue.position(request.owner, weight, request.deadline);
    const auto reason = refusalReason(conditions, request.deadline, queue.sizeOf(request.owner), ahead);
    if (!reason) {
        queue.push(request, weight);
    }
    return reason;
}

} // namespace currantring
